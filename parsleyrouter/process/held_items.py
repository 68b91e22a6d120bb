"""Batch items of this node that a quarantine holds back, and their part in its trials."""

import time
from collections.abc import Callable, Sequence

from parsleyrouter.ids import EndpointId, ItemIndex, JobId
from parsleyrouter.process.job_run import JobRun
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.quarantine_keeper import QuarantineKeeper
from parsleyrouter.request.crash import Prompt
from parsleyrouter.request.quarantine import QuarantinedGroup, joint_endpoint

__all__ = ["HeldItems"]

CLAIM_INTERVAL_S = 0.25
"""Pause between looks for an item whose trial can be claimed."""

CHECK_INTERVAL_S = 5.0
"""Pause between checks of an item; its trial and the end of its quarantine come in between."""

Key = tuple[JobId, ItemIndex]


class HeldItems:
    """Hold items back, claim their trials, and let them go once their parts are released."""

    def __init__(self, loop: Loop, keeper: QuarantineKeeper) -> None:
        self.loop = loop
        self.keeper = keeper
        self.items: dict[Key, tuple[JobRun, Prompt]] = {}
        """The held items, those that have waited longest for a trial first."""
        self.tried_s: dict[Key, float] = {}
        """When the latest trial was claimed that each of them took part in."""
        self.next_claim_s = 0.0
        self.choose_endpoint: Callable[[JobRun, ItemIndex], EndpointId | None] = lambda *_: None
        """Returns where an item could be tried now."""
        self.start_at: Callable[[JobRun, ItemIndex, EndpointId], bool] = lambda *_: False
        """Starts an item at an endpoint; returns whether it may be sent there."""
        keeper.trials.on_trial.append(self.join_trials)
        keeper.on_released.append(self._wake)

    def hold(
        self, job_run: JobRun, index: ItemIndex, prompt: Prompt, groups: Sequence[QuarantinedGroup]
    ) -> None:
        """Hold an item back until its next check."""
        now = self.loop.now()
        left_s = job_run.versioned.record.kept_until_ms / 1000 - time.time()
        for group in groups:
            group.note_waiting(now + left_s)
        self.keeper.note_requested(groups, now)
        self.items.setdefault((job_run.versioned.record.job, index), (job_run, prompt))
        job_run.not_before_s[index] = now + CHECK_INTERVAL_S

    def release(self, job_run: JobRun, index: ItemIndex) -> None:
        """Forget an item that nothing holds back any more, or that has ended."""
        key = (job_run.versioned.record.job, index)
        self.items.pop(key, None)
        self.tried_s.pop(key, None)

    def claim_due_trials(self) -> None:
        """Claim the trials that are due, each for an item that waits for it."""
        now = self.loop.now()
        due = {name for name, one in self.keeper.quarantine.groups.items() if one.trial_due(now)}
        if not due or not self.items or now < self.next_claim_s:
            return
        self.next_claim_s = now + CLAIM_INTERVAL_S
        self._drop_ended()
        for (_, index), (job_run, prompt) in self.items.items():
            if not due:
                return
            if not any(name.issubset(prompt) for name in due):
                continue
            groups = self.keeper.quarantine.find(prompt)
            if not all(one.parts in due for one in groups):
                continue
            due -= {one.parts for one in groups}
            endpoint = self.choose_endpoint(job_run, index)
            if endpoint is not None:
                joint = all(one.joint for one in groups)
                self.keeper.trials.claim(groups, now, endpoint if joint else None)

    def forget_job(self, job_run: JobRun) -> None:
        """Forget the items of a job that this node no longer runs."""
        for key, (known, _) in list(self.items.items()):
            if known is job_run:
                self.release(job_run, key[1])

    def join_trials(self) -> None:
        """Start the items whose groups are tried now at one endpoint, up to its slots."""
        now = self.loop.now()
        self._drop_ended()
        for key, (job_run, prompt) in list(self.items.items()):
            groups = self.keeper.quarantine.find(prompt)
            if any(one.can_try(now) for one in groups):
                job_run.not_before_s[key[1]] = now
                continue
            endpoint = joint_endpoint(groups, now)
            claimed_s = max((one.claimed_s for one in groups), default=0.0)
            if endpoint is None or self.tried_s.get(key) == claimed_s:
                continue
            if self.start_at(job_run, key[1], endpoint):
                # Those that wait longer come first in the next trial.
                self.items[key] = self.items.pop(key)
                self.tried_s[key] = claimed_s

    def _wake(self) -> None:
        """Check the items that nothing holds back any more at once."""
        self._drop_ended()
        for (_, index), (job_run, prompt) in self.items.items():
            if not self.keeper.quarantine.find(prompt):
                job_run.not_before_s[index] = self.loop.now()

    def _drop_ended(self) -> None:
        """Forget items that are done or that another node runs."""
        for key, (job_run, _) in list(self.items.items()):
            if job_run.stopped or key[1] in job_run.listed or key[1] in job_run.unlisted:
                self.release(job_run, key[1])
