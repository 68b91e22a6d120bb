"""Share the evidence of crashes with the other nodes, and keep the quarantine of prompt parts.

Evidence goes to the nodes that take callers as datagrams, so that each of them decides within
milliseconds. A group in quarantine is also a key in the key-value service, which nodes read that
start later, belong to another cell or are cut off from the others.
"""

import logging
from collections import deque
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
from parsleyrouter.ids import EndpointId, PromptPart, Revision
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.load_codec import encode_crashes, encode_served
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.process.loop import Loop
from parsleyrouter.request.crash_evidence import (
    MAX_CRASHES,
    Crash,
    CrashEvidence,
    PartGroup,
    Prompt,
)
from parsleyrouter.request.quarantine import Quarantine, QuarantinedGroup

__all__ = ["QUARANTINE_PREFIX", "QuarantineKeeper"]

QUARANTINE_PREFIX = "parsley/live/quarantine/"

RESEND_DELAYS_S = (0.0, 0.15, 0.6)
"""When the report of a crash is sent, since datagrams may be lost."""

SERVED_DEBOUNCE_S = 0.05
SERVED_BEFORE_S = 0.1
"""How long before a crash the parts served earlier are said to have been, so that this does not
count as an answer after it."""

OTHERS_WRITE_S = 0.5
"""Delay after which nodes other than the leader store a group that no node has stored."""

WRITE_RETRY_S = 1.0
RENEW_INTERVAL_S = 60.0
"""Interval at which a stored group is renewed while requests with its parts come."""

SWEEP_INTERVAL_S = 5.0
REFUSED_RETRY_S = 60.0

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


class QuarantineKeeper:
    """Decide which requests are kept away from endpoints; the same at all nodes."""

    def __init__(
        self, loop: Loop, store: TransactionalKeyValue, exchange: LoadExchange, rng: Random
    ) -> None:
        self.loop = loop
        self.store = store
        self.exchange = exchange
        self.members = exchange.members
        self.rng = rng
        self.evidence = CrashEvidence()
        self.quarantine = Quarantine()
        self.stored: dict[PartGroup, _Stored] = {}
        self.served: set[Prompt] = set()
        self.answered: deque[EndpointId] = deque(maxlen=MAX_CRASHES)
        """Crashes of which other nodes were told what had been served here."""
        self.on_quarantined: list[Callable[[PartGroup], object]] = []
        exchange.on_crashes.append(self._apply_crashes)
        exchange.on_served.append(self._apply_served)

    def start(self) -> None:
        """Start removing expired groups."""
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def refusal(self, prompt: Prompt) -> Refusal | None:
        """Return why a request may not be sent to an endpoint, ``None`` if it may."""
        group = self.quarantine.find(prompt)
        if group is None:
            return None
        now = self.loop.now()
        group.requested_s = now
        if group.take_trial():
            log.warning("quarantine tried", extra={"parts": sorted(group.parts)})
            return None
        stored = self.stored.get(group.parts)
        if stored is not None and not stored.writing:
            renewal_s = stored.seen_s + RENEW_INTERVAL_S * self.rng.uniform(1.0, 1.5)
            if group.trial_due(now) or now > renewal_s:
                stored.writing = True
                self.loop.spawn(self._rewrite(group, stored), "renew a quarantine")
        message = (
            f"requests with the prompt parts {', '.join(sorted(group.parts))} have crashed "
            "endpoints: leave them out, or try again later"
        )
        return Refusal(RefusalKind.QUARANTINED, message, ExecutionStatus.NOT_RUN, REFUSED_RETRY_S)

    def report_crash(self, crash: Crash) -> None:
        """Record a crash that this node has seen, and tell the other nodes."""
        for delay_s in RESEND_DELAYS_S:
            self.loop.call_later(delay_s, lambda: self._send_crash(crash))
        self._record_crashes([crash])

    def report_served(self, prompt: Prompt) -> None:
        """Record that a request was answered whole; tell others if its parts were suspected."""
        if not self._record_served(prompt, self.loop.now()):
            return
        if not self.served:
            self.loop.call_later(SERVED_DEBOUNCE_S, self._send_served)
        self.served.add(prompt)

    def apply_list(self, entries: Iterable[Entry]) -> None:
        """Apply a complete listing of the stored groups."""
        listed = list(entries)
        keys = {entry.key for entry in listed}
        for group in [one for one in self.stored if _key(one) not in keys]:
            self._forget(group)
        for entry in listed:
            self._apply_entry(entry)

    def apply_change(self, change: KeyChange) -> None:
        """Apply one stored group or its removal."""
        if change.entry is not None:
            self._apply_entry(change.entry)
            return
        for group in [one for one in self.stored if _key(one) == change.key]:
            self._forget(group)

    def _apply_crashes(self, crashes: Iterable[Crash]) -> None:
        """Record crashes that another node saw; tell which of the parts were served here."""
        for crash in crashes:
            served = self.evidence.served_before(crash)
            if served and crash.endpoint not in self.answered:
                self.answered.append(crash.endpoint)
                prompts = [(part,) for part in served]
                age_s = self.loop.now() - crash.at_s + SERVED_BEFORE_S
                self.exchange.send_to_serving(encode_served(prompts, age_s))
        self._record_crashes(crashes)

    def _record_crashes(self, crashes: Iterable[Crash]) -> None:
        for crash in crashes:
            self.evidence.record_crash(crash)
        now = self.loop.now()
        for group in self.evidence.find_groups(now, self.quarantine.groups):
            seen = [
                one.endpoint
                for one in self.evidence.crashes
                if any(group.issubset(prompt) for prompt in one.prompts)
            ]
            self._quarantine(group, {"endpoints": seen})
            self.loop.spawn(self._store_group(group), "store a quarantine")

    def _apply_served(self, prompts: Iterable[Prompt], at_s: float) -> None:
        for prompt in prompts:
            self._record_served(prompt, at_s)

    def _record_served(self, prompt: Prompt, at_s: float) -> bool:
        changed = self.evidence.record_served(prompt, at_s)
        for group in self.quarantine.release_served(prompt, at_s):
            self._log_release(group, "a request with them was answered")
            self.loop.spawn(self._remove_group(group), "remove a quarantine")
            changed = True
        return changed

    def _quarantine(self, group: PartGroup, fields: dict[str, object]) -> None:
        if self.quarantine.add(group, self.loop.now()):
            log.warning("prompt parts quarantined", extra={"parts": sorted(group)} | fields)
            for callback in self.on_quarantined:
                callback(group)

    def _apply_entry(self, entry: Entry) -> None:
        try:
            record = msgspec.json.decode(entry.value, type=_Record)
        except msgspec.DecodeError as error:
            log.warning("quarantine not read", extra={"key": entry.key, "reason": str(error)})
            return
        group = frozenset(PromptPart(part) for part in record.parts)
        known = self.stored.get(group)
        if not group or known is not None and known.revision >= entry.revision:
            return
        self.stored[group] = _Stored(entry.revision, self.loop.now())
        self._quarantine(group, {"source": "key-value service"})
        self.quarantine.groups[group].trials = record.trials

    def _forget(self, group: PartGroup) -> None:
        self.stored.pop(group, None)
        if self.quarantine.groups.pop(group, None) is not None:
            self._log_release(group, "removed by another node")

    def _log_release(self, group: PartGroup, reason: str) -> None:
        log.warning("quarantine ended", extra={"parts": sorted(group), "reason": reason})

    async def _rewrite(self, group: QuarantinedGroup, stored: _Stored) -> None:
        """Renew a stored group; claim a trial that is due, which only one node succeeds in."""
        claims = group.trial_due(self.loop.now())
        write = _write(group.parts, group.trials + claims)
        done = await self.store.transact(Transaction({write.key: stored.revision}, (write,)))
        stored.writing = False
        if isinstance(done, WriteApplied):
            stored.revision, stored.seen_s = done.revision, self.loop.now()
            group.trials += claims
            group.may_try = group.may_try or claims

    async def _store_group(self, group: PartGroup) -> None:
        """Store a group unless another node has: the leader at once, others if it does not."""
        if self.members.leader() != self.members.registry.own.node:
            await self.loop.sleep(OTHERS_WRITE_S * self.rng.uniform(1.0, 2.0))
        write = _write(group, 0)
        while group in self.quarantine.groups and group not in self.stored:
            done = await self.store.transact(Transaction({write.key: ABSENT}, (write,)))
            if isinstance(done, WriteApplied):
                self.stored.setdefault(group, _Stored(done.revision, self.loop.now()))
            elif isinstance(done, TransactionConflict):
                return
            elif isinstance(done, KeyValueFailure):
                log.warning("quarantine not stored", extra={"reason": done.message})
                await self.loop.sleep(WRITE_RETRY_S)

    async def _remove_group(self, group: PartGroup) -> None:
        while group not in self.quarantine.groups and group in self.stored:
            done = await self.store.transact(Transaction({}, deletes=(_key(group),)))
            if not isinstance(done, KeyValueFailure):
                self.stored.pop(group, None)
                return
            log.warning("quarantine not removed", extra={"reason": done.message})
            await self.loop.sleep(WRITE_RETRY_S)

    def _sweep(self) -> None:
        for group in self.quarantine.release_expired(self.loop.now()):
            self._log_release(group, "no request has held them for a long time")
            self.loop.spawn(self._remove_group(group), "remove a quarantine")
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _send_crash(self, crash: Crash) -> None:
        age_s = self.loop.now() - crash.at_s
        self.exchange.send_to_serving(encode_crashes([crash], age_s))

    def _send_served(self) -> None:
        prompts, self.served = self.served, set()
        self.exchange.send_to_serving(encode_served(prompts, SERVED_DEBOUNCE_S))


def _key(group: PartGroup) -> str:
    return QUARANTINE_PREFIX + xxh3_64_hexdigest(" ".join(sorted(group)).encode())


def _write(group: PartGroup, trials: int) -> Write:
    return Write(_key(group), msgspec.json.encode(_Record(sorted(group), trials)))
