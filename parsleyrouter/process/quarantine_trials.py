"""Let requests through that a quarantine keeps away, to learn whether they still crash endpoints.

A claim in the key-value service makes sure that one node of the fleet does so at a time.
"""

import logging
from collections.abc import Callable, Sequence

from parsleyrouter.ids import EndpointId
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.quarantine_records import GroupRecord, QuarantineRecords
from parsleyrouter.request.quarantine import (
    TRIAL_TIMEOUT_S,
    Quarantine,
    QuarantinedGroup,
)

__all__ = ["QuarantineTrials"]

log = logging.getLogger(__name__)


class QuarantineTrials:
    """Claim trials of groups in quarantine, and take part in those of other nodes."""

    def __init__(self, loop: Loop, quarantine: Quarantine, records: QuarantineRecords) -> None:
        self.loop = loop
        self.quarantine = quarantine
        self.records = records
        self.on_trial: list[Callable[[], object]] = []
        """Called when waiting batch items may be sent."""

    def claim(
        self, groups: Sequence[QuarantinedGroup], now: float, endpoint: EndpointId | None = None
    ) -> None:
        """Claim a trial of all the groups unless a write of any of them is under way."""
        if self.records.may_claim(groups, now):
            self.loop.spawn(self._claim(list(groups), endpoint), "claim a trial")

    async def _claim(self, groups: list[QuarantinedGroup], endpoint: EndpointId | None) -> None:
        claimed_s = self.loop.now()
        claimed = await self.records.claim_trial(groups, endpoint)
        for record in claimed:
            self._note_claim(record, claimed_s)
        if not claimed:
            return
        fields = {"parts": [list(one.parts) for one in claimed], "endpoint": endpoint}
        log.warning(
            "quarantine trial claimed", extra=fields | {"trials": [one.trials for one in claimed]}
        )
        self._notify()

    def apply_record(self, record: GroupRecord, *, is_known: bool) -> None:
        """Apply what a node has stored about a group, and take part in a trial that it has claimed.

        A node that did not know the group begins no trial that may be over.
        """
        group = self.quarantine.groups.get(record.group)
        if group is None:
            return
        late_trials = record.late_trials if record.unused else group.late_trials
        group.late_trials = max(late_trials, record.late_trials)
        if not is_known:
            group.trials = max(group.trials, record.trials)
            group.cut_runs = max(group.cut_runs, record.expected_cuts)
            return
        group.cut_runs = max(group.cut_runs, record.cut_runs)
        age_s = record.claim_age_s()
        if record.trials > group.trials and age_s is not None:
            self._note_claim(record, self.loop.now() - age_s)
            if group.trial is not None:
                self._notify()
        group.trials = max(group.trials, record.trials)

    def _note_claim(self, record: GroupRecord, claimed_s: float) -> None:
        group = self.quarantine.groups.get(record.group)
        if group is None or group.trials >= record.trials:
            # The watch and the reply both tell of an own claim.
            return
        own = record.node == self.records.members.registry.own.node
        group.trials = record.trials
        group.late_trials = max(group.late_trials, record.late_trials)
        group.note_claim(claimed_s, record.endpoint or None, own=own)
        if own and group.trial is not None and not record.endpoint:
            late_before = record.late_trials - (record.cut_runs >= group.max_early_runs)
            self.loop.call_later(TRIAL_TIMEOUT_S, lambda: self._settle(record, late_before))

    def _settle(self, record: GroupRecord, late_before: int) -> None:
        """Give back a trial for which no request came, or of which none reached an endpoint."""
        group = self.quarantine.groups.get(record.group)
        if group is None or group.trials != record.trials or group.trial is None:
            return
        if not group.trial.requests_left:
            return
        group.trial = None
        group.late_trials = late_before
        log.info("quarantine trial unused", extra={"parts": sorted(group.parts)})
        self.loop.spawn(self.records.give_back_trial(group), "give back a trial")

    def _notify(self) -> None:
        for callback in self.on_trial:
            callback()
