"""Share the evidence of crashes with the other nodes, and keep the quarantine of prompt parts.

Evidence goes to the nodes that take callers as datagrams, so that each of them decides within
milliseconds. A group in quarantine is also a key in the key-value service, which nodes read that
start later, belong to another cell or are cut off from the others.
"""

import logging
from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random

from parsleyrouter.connection.key_value import TransactionalKeyValue
from parsleyrouter.ids import EndpointId, PromptPart
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.load_codec import (
    MAX_ROWS,
    encode_crashes,
    encode_quarantined,
    encode_served,
    split_crash,
)
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.quarantine_records import GroupRecord, QuarantineRecords
from parsleyrouter.process.quarantine_trials import QuarantineTrials
from parsleyrouter.process.work_budget import PacedCall, WorkBudget
from parsleyrouter.request.crash import Crash, PartGroup, Prompt
from parsleyrouter.request.crash_evidence import (
    ANSWER_S,
    MAX_CRASHES,
    SETTLE_S,
    CrashEvidence,
)
from parsleyrouter.request.quarantine import ONLINE_DELAY_S, Quarantine, QuarantinedGroup
from parsleyrouter.request.request_evidence import is_request

__all__ = ["QuarantineKeeper"]

RESEND_DELAYS_S = (0.0, 0.15, 0.6)
"""When the report of a crash is sent, since datagrams may be lost."""

SERVED_DEBOUNCE_S = 0.05
DECISION_MARGIN_S = 0.01
"""Delay after which what a decision waits for has certainly happened."""

MAX_STORING = 16
"""Groups of other nodes that are being stored at a time; the nodes that decided store them too."""

EVIDENCE_SHARE = 0.25
EVIDENCE_BURST_S = 1.0
"""Share of the time that evidence of other nodes may take; each of them sends it three times."""

SWEEP_INTERVAL_S = 5.0
MIN_RETRY_S, MAX_RETRY_S = 1.0, 60.0
"""Limits of the Retry-After of a refusal: the time until the next trial."""

log = logging.getLogger(__name__)


def refusal_message(groups: Sequence[QuarantinedGroup]) -> str:
    """Return what the caller of a request in quarantine may do."""
    if any(one.is_request for one in groups):
        return "this request has crashed endpoints: change it, or try again later"
    named = sorted(frozenset[PromptPart]().union(*(one.parts for one in groups)))
    return (
        f"requests with the prompt parts {', '.join(named)} have crashed "
        "endpoints: leave them out, or try again later"
    )


class QuarantineKeeper:
    """Decide which requests are kept away from endpoints, and tell the other nodes."""

    def __init__(
        self, loop: Loop, store: TransactionalKeyValue, exchange: LoadExchange, rng: Random
    ) -> None:
        self.loop = loop
        self.exchange = exchange
        self.evidence = CrashEvidence()
        self.quarantine = Quarantine()
        self.records = QuarantineRecords(loop, store, exchange.members, self.quarantine, rng)
        self.records.on_group, self.records.on_removed = self._apply_stored, self._forget
        self.trials = QuarantineTrials(loop, self.quarantine, self.records)
        self.served: dict[Prompt, float] = {}
        self.told: dict[tuple[EndpointId, int], set[PromptPart]] = {}
        """The parts of each crash that other nodes know to have been served here before."""
        self.decisions = [
            (delay_s + DECISION_MARGIN_S, PacedCall(loop, self._decide))
            for delay_s in (SETTLE_S, SETTLE_S + ANSWER_S)
        ]
        self.budget = WorkBudget(loop, EVIDENCE_SHARE, EVIDENCE_BURST_S)
        self.storing = 0
        self.on_quarantined: list[Callable[[PartGroup], object]] = []
        self.on_released: list[Callable[[], object]] = []
        exchange.on_crashes.append(self.budget.within(self._apply_crashes))
        exchange.on_served.append(self.budget.within(self._apply_served))
        exchange.on_quarantined.append(self.budget.within(self._apply_quarantined))

    def start(self) -> None:
        """Start removing expired groups."""
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def refusal(self, prompt: Prompt) -> Refusal | None:
        """Return why a request may not be sent to an endpoint, ``None`` if it may."""
        groups = self.quarantine.find(prompt)
        if not groups:
            return None
        now = self.loop.now()
        if self.take_trial(groups):
            return None
        self.note_requested(groups, now)
        if all(group.trial_due(now - ONLINE_DELAY_S) for group in groups):
            self.trials.claim(groups, now)
        retry_s = max(one.next_trial_s() for one in groups) - now
        retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s))
        message = refusal_message(groups)
        return Refusal(RefusalKind.QUARANTINED, message, ExecutionStatus.NOT_RUN, retry_s)

    def note_requested(self, groups: Iterable[QuarantinedGroup], now: float) -> None:
        """Note that a request holds the groups, which stay in quarantine while some come."""
        for group in groups:
            group.requested_s = now
            self.records.renew_when_due(group, now)

    def take_trial(self, groups: Sequence[QuarantinedGroup]) -> bool:
        """Return whether a request that the groups keep away is let through as a trial."""
        if not self.quarantine.take_trial(groups, self.loop.now()):
            return False
        log.warning("quarantine tried", extra={"parts": [sorted(one.parts) for one in groups]})
        return True

    def end_trial(
        self, prompt: Prompt, *, began: bool, cut: bool = False, sent: bool = False
    ) -> None:
        """Note that a request has ended; it may have been the trial of its groups."""
        for group in self.quarantine.find(prompt):
            if group.end_trial(began=began, cut=cut, sent=sent):
                took_s = round(self.loop.now() - group.claimed_s, 3)
                fields = {"parts": sorted(group.parts), "trials": group.trials, "began": began}
                log.warning("quarantine trial ended", extra=fields | {"cut": cut, "took_s": took_s})

    def report_crash(self, crash: Crash) -> None:
        """Record a crash that this node has seen, and tell the other nodes."""
        for delay_s in RESEND_DELAYS_S:
            self.loop.call_later(delay_s, lambda: self._send_crash(crash))
        self._record_crashes([crash])

    def report_served(self, prompt: Prompt, began_s: float) -> None:
        """Record that an answer did not crash its endpoint; tell others if it was suspected."""
        if not self._record_served(prompt, began_s):
            return
        if not self.served:
            self.loop.call_later(SERVED_DEBOUNCE_S, self._send_served)
        self.served[prompt] = began_s

    @property
    def suspicious(self) -> bool:
        """Whether answers may clear or release any part."""
        return bool(self.evidence.crashes or self.quarantine.groups)

    def _apply_crashes(self, crashes: Iterable[Crash]) -> None:
        """Record crashes that another node saw; tell which of the parts were served here."""
        for crash in crashes:
            told = self.told.setdefault((crash.endpoint, crash.started_ms), set())
            served = self.evidence.served_before(crash) - told
            told |= served
            rows = sorted(served)
            for first in range(0, len(rows), MAX_ROWS):
                self.exchange.send_to_serving(encode_served({}, rows[first : first + MAX_ROWS]))
        while len(self.told) > MAX_CRASHES:
            del self.told[next(iter(self.told))]
        self._record_crashes(crashes)

    def _record_crashes(self, crashes: Iterable[Crash]) -> None:
        new = [crash for crash in crashes if self.evidence.record_crash(crash)]
        if not new:
            return
        for crash in new:
            self._note_crash(crash)
        for delay_s, decision in self.decisions:
            decision.ask(delay_s)

    def _note_crash(self, crash: Crash) -> None:
        """Count a crash for the groups that were in flight at it."""
        for parts, group in self.quarantine.groups.items():
            if crash.holds(parts):
                self._note_crashes(group)

    def _note_crashes(self, group: QuarantinedGroup) -> None:
        cuts = self.evidence.count_cuts(group.parts, self.quarantine.groups)
        if cuts.count:
            group.note_crashes(cuts)

    def _decide(self) -> None:
        now = self.loop.now()
        for group in self.evidence.find_groups(now, self.quarantine.groups):
            seen = [one.endpoint for one in self.evidence.crashes if one.holds(group)]
            doubtful = all(map(self.evidence.was_answered, group))
            self.add(group, {"endpoints": seen, "doubtful": doubtful}, doubtful=doubtful)
            self.exchange.send_to_serving(encode_quarantined(group))
            self.loop.spawn(self.records.store_group(group), "store a quarantine")
        self._release_cleared()

    def _release_cleared(self) -> None:
        """Release the parts of which requests have turned out to explain all crashes."""
        cut_runs = {parts: one.cut_runs for parts, one in self.quarantine.groups.items()}
        for group in self.evidence.cleared_groups(cut_runs):
            del self.quarantine.groups[group]
            self._log_release(group, "a request explains the crashes")
            self.loop.spawn(self.records.remove_group(group), "remove a quarantine")

    def _apply_served(
        self, prompts: Mapping[Prompt, float], parts_before: Iterable[PromptPart]
    ) -> None:
        for prompt, began_s in prompts.items():
            self._record_served(prompt, began_s)
        self.evidence.record_served_before(parts_before)

    def _record_served(self, prompt: Prompt, began_s: float) -> bool:
        changed = self.evidence.record_served(prompt, began_s)
        for group in self.quarantine.release_served(prompt, began_s):
            self._log_release(group, "a request with them was answered")
            self.loop.spawn(self.records.remove_group(group), "remove a quarantine")
            changed = True
        return changed

    def add(self, group: PartGroup, fields: dict[str, object], *, doubtful: bool = False) -> None:
        """Put a group into quarantine at this node; ``fields`` say why in the log."""
        replaced = self.quarantine.add(group, self.loop.now(), doubtful=doubtful)
        if replaced is None:
            return
        self._note_crashes(self.quarantine.groups[group])
        kind = "request" if is_request(group) else "prompt parts"
        log.warning(f"{kind} quarantined", extra={"parts": sorted(group)} | fields)
        for one in replaced:
            self.loop.spawn(self.records.remove_group(one), "remove a quarantine")
        for callback in self.on_quarantined:
            callback(group)

    def _apply_quarantined(self, group: PartGroup) -> None:
        """Apply a decision of another node, and store it in case that node cannot."""
        self.add(group, {"source": "another node"})
        if self.storing < MAX_STORING:
            self.loop.spawn(self._store_for_another(group), "store a quarantine")

    async def _store_for_another(self, group: PartGroup) -> None:
        self.storing += 1
        try:
            await self.records.store_group(group)
        finally:
            self.storing -= 1

    def _apply_stored(self, record: GroupRecord) -> None:
        """Apply a group that some node has stored."""
        is_known = record.group in self.quarantine.groups
        self.add(record.group, {"source": "key-value service"})
        self.trials.apply_record(record, is_known=is_known)

    def _forget(self, group: PartGroup) -> None:
        if self.quarantine.groups.pop(group, None) is not None:
            self._log_release(group, "removed by another node")

    def _log_release(self, group: PartGroup, reason: str) -> None:
        log.warning("quarantine ended", extra={"parts": sorted(group), "reason": reason})
        for callback in self.on_released:
            callback()

    def _sweep(self) -> None:
        for group in self.quarantine.release_expired(self.loop.now()):
            self._log_release(group, "no request has held them for a long time")
            self.loop.spawn(self.records.remove_group(group), "remove a quarantine")
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _send_crash(self, crash: Crash) -> None:
        age_s = self.loop.now() - crash.at_s
        for piece in split_crash(crash):
            self.exchange.send_to_serving(encode_crashes([piece], age_s))

    def _send_served(self) -> None:
        now = self.loop.now()
        ages_s = {prompt: now - began_s for prompt, began_s in self.served.items()}
        self.served.clear()
        rows = list(ages_s.items())
        for first in range(0, len(rows), MAX_ROWS):
            self.exchange.send_to_serving(encode_served(dict(rows[first : first + MAX_ROWS])))
