"""Settings of the processes that accept and run batch jobs."""

from dataclasses import dataclass

__all__ = ["BatchLimits"]


@dataclass(frozen=True)
class BatchLimits:
    """Limits for the parts of one batch process; times are in seconds.

    ``shard_digits`` must be equal on all VMs: 2 up to about 60 nodes, 3 above, so that every node
    is the home of some shards.
    """

    part_items: int = 2048
    parts: int = 8
    items_at_once: int = 32
    wave_items: int = 32
    careful_wave_items: int = 16
    attempts: int = 3
    flush_items: int = 64
    flush_s: float = 1.0
    commit_items: int = 512
    commit_s: float = 10.0
    idle_commit_s: float = 60.0
    unchanged_s: float = 240.0
    scan_s: float = 60.0
    shard_digits: int = 2
    fleet_commits_per_s: float = 100.0
    retry_s: float = 0.25
    retry_limit_s: float = 5.0
    chunks_before_merge: int = 16
