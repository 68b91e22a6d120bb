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
            self._note_claim(record, claimed_s, own=True)
        if not claimed:
            return
        fields = {"parts": [list(one.parts) for one in claimed], "endpoint": endpoint}
        log.warning(
            "quarantine trial claimed", extra=fields | {"trials": [one.trials for one in claimed]}
        )
        if endpoint is None:
            self.loop.call_later(TRIAL_TIMEOUT_S, lambda: self._settle(claimed))
        self._notify()

    def apply_claim(self, record: GroupRecord) -> None:
        """Apply what another node has stored about a group, and join a trial that it has begun."""
        group = self.quarantine.groups.get(record.group)
        if group is None:
            return
        age_s = record.claim_age_s()
        if record.trials > group.trials and age_s is not None:
            self._note_claim(record, self.loop.now() - age_s, own=False)
            if group.trial is not None:
                self._notify()
        group.trials = max(group.trials, record.trials)
        group.late_trials = record.late_trials
        group.cut_runs = max(group.cut_runs, record.cut_runs)

    def _note_claim(self, record: GroupRecord, claimed_s: float, *, own: bool) -> None:
        group = self.quarantine.groups.get(record.group)
        if group is None:
            return
        group.trials = max(group.trials, record.trials)
        group.late_trials = record.late_trials
        group.note_claim(claimed_s, record.endpoint or None, own=own)

    def _settle(self, claimed: Sequence[GroupRecord]) -> None:
        """Give back a trial for which no request came, or of which none reached an endpoint."""
        unused = [
            group
            for record in claimed
            if (group := self.quarantine.groups.get(record.group)) is not None
            and group.trials == record.trials
            and group.trial is not None
            and group.trial.requests_left
        ]
        for group in unused:
            group.trial = None
            if group.late:
                group.late_trials -= 1
        if unused:
            log.info(
                "quarantine trial unused", extra={"parts": [sorted(one.parts) for one in unused]}
            )
            self.loop.spawn(self.records.rewrite(unused), "give back a trial")

    def _notify(self) -> None:
        for callback in self.on_trial:
            callback()
