"""The parts of a node's home shards, as last seen."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from parsleyrouter.ids import NodeId, Revision
from parsleyrouter.process.job_keys import shard_of
from parsleyrouter.process.job_records import PartRecord
from parsleyrouter.process.part_claims import Step, next_step
from parsleyrouter.process.record_store import VersionedRecord

__all__ = ["KnownPart", "PartTable"]


@dataclass
class KnownPart:
    """A part record as last seen; times are monotonic seconds.

    ``abandoned`` means that the owner named in the record does not run the part.
    """

    versioned: VersionedRecord[PartRecord]
    unchanged_since_s: float
    busy: bool = False
    not_before_s: float = 0.0
    abandoned: bool = False


@dataclass
class PartTable:
    """Hold known parts; entries may be outdated, which every compare-and-swap detects.

    ``view_complete`` means that ``live`` has had time to include all nodes; until then an owner
    that is missing there is not considered lost.
    """

    node: NodeId
    shard_digits: int
    owner_timeout_s: float
    parts: dict[str, KnownPart] = field(default_factory=dict)
    home_shards: frozenset[str] = frozenset()
    live: frozenset[NodeId] = frozenset()
    view_complete: bool = True

    def learn(self, key: str, versioned: VersionedRecord[PartRecord], now: float) -> None:
        """Update a part from a record; an older revision changes nothing."""
        known = self.parts.get(key)
        if known is None:
            self.parts[key] = KnownPart(versioned, now)
        elif known.versioned.revision < versioned.revision:
            known.versioned = versioned
            known.unchanged_since_s = now
            known.abandoned = False

    def abandon(self, key: str, revision: Revision) -> None:
        """Record that the owner named at a revision does not run a part."""
        known = self.parts.get(key)
        if known is not None and known.versioned.revision == revision:
            known.abandoned = True

    def forget(self, key: str) -> None:
        """Drop a part whose record is gone."""
        self.parts.pop(key, None)

    def is_home(self, key: str) -> bool:
        """Return whether this node is the home of a part."""
        return shard_of(key, self.shard_digits) in self.home_shards

    def keep_only(self, shard: str, present: Iterable[str], running: Iterable[str]) -> None:
        """Drop the parts of a scanned shard that the scan did not find."""
        kept = {*present, *running}
        self._drop(
            key
            for key in self.parts
            if shard_of(key, self.shard_digits) == shard and key not in kept
        )

    def set_home_shards(self, home_shards: frozenset[str], running: Iterable[str]) -> None:
        """Replace the home shards of this node and drop the parts of other shards."""
        self.home_shards = home_shards
        kept = set(running)
        self._drop(key for key in self.parts if not self.is_home(key) and key not in kept)

    def restart_unchanged(self, now: float) -> None:
        """Restart the time for which records are known to be unchanged."""
        for known in self.parts.values():
            known.unchanged_since_s = now

    def step(self, key: str, now: float, *, running_here: bool) -> Step:
        """Return the next step of this node for a part."""
        known = self.parts[key]
        if known.busy or now < known.not_before_s or not self.is_home(key):
            return Step.WATCH
        record = known.versioned.record
        return next_step(
            record,
            self.node,
            self._live_for(known),
            running_here=running_here,
            unchanged_s=now - known.unchanged_since_s,
            owner_timeout_s=self.owner_timeout_s,
        )

    def _live_for(self, known: KnownPart) -> frozenset[NodeId]:
        owner = known.versioned.record.owner
        if known.abandoned:
            return self.live - {owner}
        return self.live if self.view_complete else self.live | {owner}

    def due(self, now: float, running: Iterable[str]) -> list[tuple[str, Step]]:
        """Return the parts that need a step, the earliest deadline first."""
        here = set(running)
        steps = [(key, self.step(key, now, running_here=key in here)) for key in self.parts]
        wanted = [(key, step) for key, step in steps if step is not Step.WATCH]
        return sorted(wanted, key=lambda pair: self.parts[pair[0]].versioned.record.deadline_s)

    def _drop(self, keys: Iterable[str]) -> None:
        for key in list(keys):
            if not self.parts[key].busy:
                del self.parts[key]
