"""Keep the quarantine of prompt parts in the key-value service, for all nodes."""

import logging
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random

import msgspec
from xxhash import xxh3_64_hexdigest

from parsleyrouter.connection.key_value import (
    ABSENT,
    Entry,
    KeyChange,
    KeyValueFailure,
    Transaction,
    TransactionalKeyValue,
    TransactionConflict,
    Write,
    WriteApplied,
)
from parsleyrouter.decoding import InvalidData, decode_json
from parsleyrouter.ids import EndpointId, NodeId, PromptPart, Revision
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.loop import Loop
from parsleyrouter.request.crash import PartGroup
from parsleyrouter.request.quarantine import (
    MAX_EARLY_RUNS,
    TRIAL_TIMEOUT_S,
    Quarantine,
    QuarantinedGroup,
)

__all__ = ["QUARANTINE_PREFIX", "GroupRecord", "QuarantineRecords"]

QUARANTINE_PREFIX = "parsley/live/quarantine/"

OTHERS_WRITE_S = 0.5
"""Delay after which nodes other than the leader store a group that no node has stored."""

WRITE_RETRY_S = 1.0
RENEW_INTERVAL_S = 60.0
"""Interval at which a stored group is renewed while requests with its parts come."""

log = logging.getLogger(__name__)


class GroupRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A group as it is stored."""

    parts: tuple[PromptPart, ...]
    trials: int = 0
    late_trials: int = 0
    cut_runs: int = 0
    claimed_ms: int = 0
    """When the latest trial was claimed, Unix time."""
    endpoint: EndpointId = EndpointId("")
    """Where it sends all waiting batch items; empty if it sends a single request."""
    node: NodeId = NodeId("")
    """The node that claimed it."""
    unused: bool = False
    """Whether the latest trial has been given back."""

    @classmethod
    def of(cls, group: QuarantinedGroup) -> "GroupRecord":
        """Return the record of a group without a trial of which others take notice."""
        parts = tuple(sorted(group.parts))
        return cls(parts, group.trials, group.late_requests, group.cut_runs)

    @property
    def expected_cuts(self) -> int:
        """Return how many runs are cut once the trial has failed, for nodes that saw none of it."""
        return max(self.cut_runs + bool(self.claimed_ms), MAX_EARLY_RUNS if self.endpoint else 0)

    @property
    def group(self) -> PartGroup:
        """Return the parts as a group."""
        return frozenset(self.parts)

    def claim_age_s(self) -> float | None:
        """Return the age of the latest claim, ``None`` if its trial is over.

        Clocks differ by seconds, so a node may miss a trial; it never joins one that is long over.
        """
        age_s = time.time() - self.claimed_ms / 1000
        return max(0.0, age_s) if abs(age_s) < TRIAL_TIMEOUT_S else None


@dataclass
class _Stored:
    """A stored group; ``seen_s`` is when its latest write was seen, monotonic."""

    revision: Revision
    seen_s: float
    writing: bool = False
    retry_at_s: float = 0.0
    """When a write that failed may be repeated."""

    def may_write(self, now: float) -> bool:
        """Return whether a write may be sent."""
        return not self.writing and now >= self.retry_at_s


class QuarantineRecords:
    """Store groups, renew them while requests with their parts come, and follow those of others."""

    def __init__(
        self,
        loop: Loop,
        store: TransactionalKeyValue,
        members: CellMembers,
        quarantine: Quarantine,
        rng: Random,
    ) -> None:
        self.loop = loop
        self.store = store
        self.members = members
        self.quarantine = quarantine
        self.rng = rng
        self.stored: dict[PartGroup, _Stored] = {}
        self.removing: set[PartGroup] = set()
        """Groups that were released here and are being removed."""
        self.on_group: Callable[[GroupRecord], object] = lambda record: None
        """Called with each group that is stored."""
        self.on_removed: Callable[[PartGroup], object] = lambda group: None

    def apply_list(self, entries: Iterable[Entry]) -> None:
        """Apply a complete listing of the stored groups."""
        listed = list(entries)
        keys = {entry.key for entry in listed}
        for group in [one for one in self.stored if _key(one) not in keys]:
            self._note_removed(group)
        for entry in listed:
            self._apply_entry(entry)

    def apply_change(self, change: KeyChange) -> None:
        """Apply one stored group or its removal."""
        if change.entry is not None:
            self._apply_entry(change.entry)
            return
        for group in [one for one in self.stored if _key(one) == change.key]:
            self._note_removed(group)

    def renew_when_due(self, group: QuarantinedGroup, now: float) -> None:
        """Renew the stored group from time to time, so that all nodes keep it."""
        stored = self.stored.get(group.parts)
        if stored is None or not stored.may_write(now):
            return
        if now > stored.seen_s + RENEW_INTERVAL_S * self.rng.uniform(1.0, 1.5):
            self.loop.spawn(self.rewrite(group), "renew a quarantine")

    def may_claim(self, groups: Sequence[QuarantinedGroup], now: float) -> bool:
        """Return whether a trial of the groups can be claimed now."""
        stored = [self.stored.get(group.parts) for group in groups]
        return all(one is not None and one.may_write(now) for one in stored)

    async def claim_trial(
        self, groups: Sequence[QuarantinedGroup], endpoint: EndpointId | None
    ) -> Sequence[GroupRecord]:
        """Claim a trial of all the groups, in which one node succeeds; return what is stored then.

        It sends all waiting batch items to an ``endpoint``, or a single request to any.
        """
        claimed_ms = int(time.time() * 1000)
        records = [
            msgspec.structs.replace(
                GroupRecord.of(group),
                trials=group.trials + 1,
                late_trials=group.late_requests + group.late,
                claimed_ms=claimed_ms,
                endpoint=endpoint or EndpointId(""),
                node=self.members.registry.own.node,
            )
            for group in groups
        ]
        return records if await self._write(records) else ()

    async def rewrite(self, group: QuarantinedGroup) -> bool:
        """Store what this node knows of a group that is stored; return whether that was done."""
        return await self._write([GroupRecord.of(group)])

    async def give_back_trial(self, group: QuarantinedGroup) -> None:
        """Store that the latest trial was not used."""
        record = msgspec.structs.replace(
            GroupRecord.of(group), late_trials=group.late_trials, unused=True
        )
        while self.quarantine.groups.get(group.parts) is group and group.trials == record.trials:
            if await self._write([record]):
                return
            await self.loop.sleep(WRITE_RETRY_S)

    async def _write(self, records: Sequence[GroupRecord]) -> bool:
        """Write records unless any of them has changed; return whether they are written."""
        stored = [self.stored[record.group] for record in records if record.group in self.stored]
        if len(stored) < len(records):
            return False
        writes = tuple(_write(record) for record in records)
        expected = {write.key: one.revision for write, one in zip(writes, stored, strict=True)}
        for one in stored:
            one.writing = True
        try:
            done = await self.store.transact(Transaction(expected, writes))
        finally:
            for one in stored:
                one.writing = False
                one.retry_at_s = self.loop.now() + WRITE_RETRY_S
        if isinstance(done, KeyValueFailure):
            log.warning("quarantine not written", extra={"reason": done.message})
        if not isinstance(done, WriteApplied):
            return False
        for record in records:
            self._note_stored(record.group, done.revision)
        return True

    def _note_stored(self, group: PartGroup, revision: Revision) -> None:
        known = self.stored.get(group)
        if known is None or known.revision < revision:
            self.stored[group] = _Stored(revision, self.loop.now())

    async def store_group(self, group: PartGroup) -> None:
        """Store a group unless another node has: the leader at once, others if it does not."""
        if self.members.leader() != self.members.registry.own.node:
            await self.loop.sleep(OTHERS_WRITE_S * self.rng.uniform(1.0, 2.0))
        while (known := self.quarantine.groups.get(group)) and group not in self.stored:
            write = _write(GroupRecord.of(known))
            done = await self.store.transact(Transaction({write.key: ABSENT}, (write,)))
            if isinstance(done, TransactionConflict):
                return
            if isinstance(done, WriteApplied):
                self._note_stored(group, done.revision)
            elif isinstance(done, KeyValueFailure):
                log.warning("quarantine not stored", extra={"reason": done.message})
                await self.loop.sleep(WRITE_RETRY_S)
        if group not in self.quarantine.groups:
            await self.remove_group(group)

    async def remove_group(self, group: PartGroup) -> None:
        """Remove a stored group unless it is in quarantine again."""
        key = _key(group)
        self.removing.add(group)
        try:
            while group not in self.quarantine.groups and (stored := self.stored.get(group)):
                done = await self.store.transact(
                    Transaction({key: stored.revision}, deletes=(key,))
                )
                if isinstance(done, KeyValueFailure):
                    log.warning("quarantine not removed", extra={"reason": done.message})
                    await self.loop.sleep(WRITE_RETRY_S)
                elif isinstance(done, TransactionConflict) and key in done.current:
                    # A node that did not know of the release has renewed the group.
                    self._note_stored(group, done.current[key].revision)
                else:
                    if self.stored.get(group) is stored:
                        del self.stored[group]
                    return
        finally:
            self.removing.discard(group)

    def _apply_entry(self, entry: Entry) -> None:
        try:
            record = decode_json(entry.value, GroupRecord)
        except InvalidData as error:
            log.warning("quarantine not read", extra={"key": entry.key, "reason": str(error)})
            return
        known = self.stored.get(record.group)
        if not record.parts or known is not None and known.revision >= entry.revision:
            return
        self._note_stored(record.group, entry.revision)
        if record.group not in self.removing:
            self.on_group(record)

    def _note_removed(self, group: PartGroup) -> None:
        del self.stored[group]
        self.on_removed(group)


def _key(group: PartGroup) -> str:
    return QUARANTINE_PREFIX + xxh3_64_hexdigest(" ".join(sorted(group)).encode())


def _write(record: GroupRecord) -> Write:
    return Write(_key(record.group), msgspec.json.encode(record))
