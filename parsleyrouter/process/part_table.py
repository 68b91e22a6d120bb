"""Remember the parts of the shards that a node is home of, as last seen."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from parsleyrouter.ids import NodeId, Revision
from parsleyrouter.process.job_keys import shard_of
from parsleyrouter.process.job_records import PartRecord
from parsleyrouter.process.part_claims import Step, next_step
from parsleyrouter.process.record_store import Held

__all__ = ["KnownPart", "PartTable"]


@dataclass
class KnownPart:
    """A part record as last seen; times are monotonic seconds.

    ``abandoned`` says that the owner named in the record does not run the part.
    """

    held: Held[PartRecord]
    since_s: float
    busy: bool = False
    not_before_s: float = 0.0
    abandoned: bool = False


@dataclass
class PartTable:
    """Hold known parts; the table may be old, every change is checked by compare-and-swap.

    ``settled`` says that ``live`` has had time to name all nodes; until then an owner that it does
    not name is not held to be lost.
    """

    node: NodeId
    shard_digits: int
    patience_s: float
    parts: dict[str, KnownPart] = field(default_factory=dict)
    homes: frozenset[str] = frozenset()
    live: frozenset[NodeId] = frozenset()
    settled: bool = True

    def learn(self, key: str, held: Held[PartRecord], now: float) -> None:
        """Take a record as read or told; an older one changes nothing."""
        known = self.parts.get(key)
        if known is None:
            self.parts[key] = KnownPart(held, now)
        elif known.held.revision < held.revision:
            known.held = held
            known.since_s = now
            known.abandoned = False

    def abandon(self, key: str, revision: Revision) -> None:
        """Note that the owner named at a revision does not run a part."""
        known = self.parts.get(key)
        if known is not None and known.held.revision == revision:
            known.abandoned = True

    def forget(self, key: str) -> None:
        """Drop a part whose record is gone."""
        self.parts.pop(key, None)

    def is_home(self, key: str) -> bool:
        """Say whether this node looks after a part."""
        return shard_of(key, self.shard_digits) in self.homes

    def keep_only(self, shard: str, present: Iterable[str], running: Iterable[str]) -> None:
        """Drop the parts of a scanned shard that the scan did not find."""
        kept = {*present, *running}
        self._drop(
            key
            for key in self.parts
            if shard_of(key, self.shard_digits) == shard and key not in kept
        )

    def set_homes(self, homes: frozenset[str], running: Iterable[str]) -> None:
        """Take the shards that this node is home of now and drop the parts of others."""
        self.homes = homes
        kept = set(running)
        self._drop(key for key in self.parts if not self.is_home(key) and key not in kept)

    def touch(self, now: float) -> None:
        """Start counting anew how long records have been unchanged."""
        for known in self.parts.values():
            known.since_s = now

    def step(self, key: str, now: float, *, running_here: bool) -> Step:
        """Return what this node should do with a part now."""
        known = self.parts[key]
        if known.busy or now < known.not_before_s or not self.is_home(key):
            return Step.WATCH
        record = known.held.record
        return next_step(
            record,
            self.node,
            self._live_for(known),
            running_here=running_here,
            unchanged_s=now - known.since_s,
            patience_s=self.patience_s,
        )

    def _live_for(self, known: KnownPart) -> frozenset[NodeId]:
        owner = known.held.record.owner
        if known.abandoned:
            return self.live - {owner}
        return self.live if self.settled else self.live | {owner}

    def due(self, now: float, running: Iterable[str]) -> list[tuple[str, Step]]:
        """Return what is to be done, the earliest deadline first."""
        here = set(running)
        steps = [(key, self.step(key, now, running_here=key in here)) for key in self.parts]
        wanted = [(key, step) for key, step in steps if step is not Step.WATCH]
        return sorted(wanted, key=lambda pair: self.parts[pair[0]].held.record.deadline_s)

    def _drop(self, keys: Iterable[str]) -> None:
        for key in list(keys):
            if not self.parts[key].busy:
                del self.parts[key]
