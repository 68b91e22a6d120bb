"""What all part runs on a node share: connections, limits and metrics."""

from collections.abc import Callable
from dataclasses import dataclass

from parsleyrouter.ids import NodeId
from parsleyrouter.process.batch_limits import BatchLimits
from parsleyrouter.process.batch_metrics import BatchMetrics
from parsleyrouter.process.call_port import CallExecutor
from parsleyrouter.process.chunk_client import ChunkClient
from parsleyrouter.process.item_durations import ItemDurations
from parsleyrouter.process.job_records import PartRecord
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.record_store import RecordStore
from parsleyrouter.version.schema import KindClass, KindSettings, TeamSettings

__all__ = ["CommitPace", "RunnerContext"]


@dataclass
class CommitPace:
    """Divide the fleet's budget of group commits among the running parts."""

    limits: BatchLimits
    nodes: int = 1
    parts: int = 1

    def commit_s(self) -> float:
        """Return the seconds between two commits of a part, if all nodes run as many parts."""
        shared_s = self.nodes * self.parts / self.limits.fleet_commits_per_s
        return max(self.limits.commit_s, shared_s)


@dataclass(frozen=True)
class RunnerContext:
    """Connections, limits and metrics of a batch process."""

    loop: Loop
    node: NodeId
    calls: CallExecutor
    chunks: ChunkClient
    records: RecordStore
    limits: BatchLimits
    times: ItemDurations
    metrics: BatchMetrics
    team_settings: Callable[[PartRecord], TeamSettings]
    pace: CommitPace

    def kind_settings(self, part: PartRecord) -> KindSettings:
        """Return the settings of a part's kind."""
        default = KindSettings(kind_class=KindClass.BATCH)
        return self.team_settings(part).kinds.get(part.kind, default)
