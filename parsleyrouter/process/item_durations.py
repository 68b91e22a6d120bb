"""Estimate how long batch items take, to detect early which part will be late."""

from parsleyrouter.process.job_records import PartRecord

__all__ = ["ItemDurations"]

SMOOTHING = 0.05
INITIAL_MEAN_S = 1.0


class ItemDurations:
    """Keep a moving mean of item durations by team and kind; ``concurrency`` run in parallel."""

    def __init__(self, concurrency: int) -> None:
        self.concurrency = concurrency
        self.means_s: dict[tuple[str, str], float] = {}

    def add_duration(self, part: PartRecord, seconds: float) -> None:
        """Add the duration of one item, from its first attempt to its result."""
        key = (part.team, part.kind)
        mean_s = self.means_s.get(key)
        self.means_s[key] = seconds if mean_s is None else mean_s + SMOOTHING * (seconds - mean_s)

    def estimate_s(self, part: PartRecord, items: int) -> float:
        """Return how long the remaining items of a part will take on this node."""
        mean_s = self.means_s.get((part.team, part.kind), INITIAL_MEAN_S)
        return items * mean_s / self.concurrency
