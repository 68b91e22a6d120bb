"""Keep the quarantine of prompt parts in the key-value service, for all nodes."""

import logging
from collections.abc import Callable, Iterable
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
from parsleyrouter.ids import PromptPart, Revision
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.loop import Loop
from parsleyrouter.request.crash_evidence import PartGroup
from parsleyrouter.request.quarantine import Quarantine, QuarantinedGroup

__all__ = ["QUARANTINE_PREFIX", "QuarantineRecords"]

QUARANTINE_PREFIX = "parsley/live/quarantine/"

OTHERS_WRITE_S = 0.5
"""Delay after which nodes other than the leader store a group that no node has stored."""

WRITE_RETRY_S = 1.0
RENEW_INTERVAL_S = 60.0
"""Interval at which a stored group is renewed while requests with its parts come."""

log = logging.getLogger(__name__)


class _Record(msgspec.Struct):
    """A group as it is stored."""

    parts: list[str]
    trials: int = 0


@dataclass
class _Stored:
    """A stored group; ``seen_s`` is when its latest write was seen, monotonic."""

    revision: Revision
    seen_s: float
    writing: bool = False
    retry_at_s: float = 0.0
    """When a write that failed may be repeated."""


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
        self.on_group: Callable[[PartGroup, int], object] = lambda group, trials: None
        """Called with each group that is stored, and the number of its trials."""
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
        """Renew the stored group, and claim a trial that is due, which one node succeeds in."""
        stored = self.stored.get(group.parts)
        if stored is None or stored.writing or now < stored.retry_at_s:
            return
        renewal_s = stored.seen_s + RENEW_INTERVAL_S * self.rng.uniform(1.0, 1.5)
        claims = group.trial_due(now)
        if claims or now > renewal_s:
            stored.writing = True
            self.loop.spawn(self._rewrite(group, stored, claims), "renew a quarantine")

    async def _rewrite(self, group: QuarantinedGroup, stored: _Stored, claims: bool) -> None:
        trials = group.trials + claims
        write = _write(group.parts, trials)
        try:
            done = await self.store.transact(Transaction({write.key: stored.revision}, (write,)))
        finally:
            stored.writing = False
            stored.retry_at_s = self.loop.now() + WRITE_RETRY_S
        if isinstance(done, WriteApplied):
            self._note_stored(group.parts, done.revision)
            group.trials = max(group.trials, trials)
            group.may_try = group.may_try or claims
        elif isinstance(done, KeyValueFailure):
            log.warning("quarantine not renewed", extra={"reason": done.message})

    def _note_stored(self, group: PartGroup, revision: Revision) -> None:
        known = self.stored.get(group)
        if known is None or known.revision < revision:
            self.stored[group] = _Stored(revision, self.loop.now())

    async def store_group(self, group: PartGroup) -> None:
        """Store a group unless another node has: the leader at once, others if it does not."""
        if self.members.leader() != self.members.registry.own.node:
            await self.loop.sleep(OTHERS_WRITE_S * self.rng.uniform(1.0, 2.0))
        write = _write(group, 0)
        while group in self.quarantine.groups and group not in self.stored:
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
        """Remove a stored group unless it is in quarantine again or was written meanwhile."""
        while group not in self.quarantine.groups and (stored := self.stored.get(group)):
            expected = {_key(group): stored.revision}
            done = await self.store.transact(Transaction(expected, deletes=(_key(group),)))
            if not isinstance(done, KeyValueFailure):
                if self.stored.get(group) is stored:
                    del self.stored[group]
                return
            log.warning("quarantine not removed", extra={"reason": done.message})
            await self.loop.sleep(WRITE_RETRY_S)

    def _apply_entry(self, entry: Entry) -> None:
        try:
            record = decode_json(entry.value, _Record)
        except InvalidData as error:
            log.warning("quarantine not read", extra={"key": entry.key, "reason": str(error)})
            return
        group = frozenset(PromptPart(part) for part in record.parts)
        known = self.stored.get(group)
        if not group or known is not None and known.revision >= entry.revision:
            return
        self._note_stored(group, entry.revision)
        self.on_group(group, record.trials)

    def _note_removed(self, group: PartGroup) -> None:
        del self.stored[group]
        self.on_removed(group)


def _key(group: PartGroup) -> str:
    return QUARANTINE_PREFIX + xxh3_64_hexdigest(" ".join(sorted(group)).encode())


def _write(group: PartGroup, trials: int) -> Write:
    return Write(_key(group), msgspec.json.encode(_Record(sorted(group), trials)))
