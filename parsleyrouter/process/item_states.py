"""Track what each batch item of a node waits for, and write a line when that changes."""

import logging
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from parsleyrouter.ids import ItemIndex, JobId
from parsleyrouter.process.job_metrics import JobMetrics
from parsleyrouter.process.job_owner import JobOwner
from parsleyrouter.process.job_run import LISTING_DELAY_S, JobRun
from parsleyrouter.request.crash import PartGroup
from parsleyrouter.request.item_state import WaitReason
from parsleyrouter.request.quarantine import Quarantine, QuarantinedGroup

__all__ = ["LASTING_WAIT_S", "LINES_PER_TURN", "ItemStates"]

LASTING_WAIT_S = 5.0
"""Waits that every item may have in a burst of online requests are written once they last this."""

LINE_DELAYS_S = {
    WaitReason.HELD: 0.0,
    WaitReason.NO_ROUTE: 0.0,
    WaitReason.NO_ENDPOINT: 0.0,
    WaitReason.NOT_LISTED: 2 * LISTING_DELAY_S,
    WaitReason.NO_ROOM: LASTING_WAIT_S,
    WaitReason.RESERVED: LASTING_WAIT_S,
    WaitReason.PAUSED: LASTING_WAIT_S,
}
"""How long an item waits for a reason until the line about it is written."""

LINES_PER_TURN = 3
"""At 20 turns a second less than half of the lines that the log accepts; others wait."""

log = logging.getLogger(__name__)

GroupTrials = tuple[tuple[PartGroup, float, int], ...]


@dataclass(eq=False, slots=True)
class _Item:
    """What an item waits for since ``since_s``, monotonic."""

    job_run: JobRun
    index: ItemIndex
    reason: WaitReason
    since_s: float
    groups: tuple[QuarantinedGroup, ...] = ()
    trials: GroupTrials = ()
    """Parts, start and trials of each group when the item was last checked."""
    change: int = 0
    """Number of changes that a line may tell."""
    told: tuple[WaitReason, GroupTrials] | None = None
    """What the last line has told of the present wait."""

    def fields(self) -> dict[str, object]:
        """Return the fields that all lines about the item have."""
        record = self.job_run.versioned.record
        return {
            "job": record.job,
            "request": self.job_run.items[self.index].item,
            "state": self.reason.value,
            "route": record.route,
            "retention_left_s": round(record.kept_until_ms / 1000 - time.time(), 1),
        }


class ItemStates:
    """Hold the state of the unlisted items of all jobs that this node runs."""

    def __init__(self, owner: JobOwner, quarantine: Quarantine, metrics: JobMetrics) -> None:
        self.loop = owner.loop
        self.runs = owner.runs
        self.quarantine = quarantine
        self.items: dict[JobId, dict[ItemIndex, _Item]] = {}
        self.listed: dict[JobId, int] = {}
        """How many items of each job were listed at the last turn."""
        self.by_reason: dict[WaitReason, dict[_Item, None]] = {reason: {} for reason in WaitReason}
        """The items that wait for each reason, the longest first."""
        self.lines: dict[WaitReason, deque[tuple[float, int, _Item]]] = {
            reason: deque() for reason in LINE_DELAYS_S
        }
        """Changes to write: when they are due, their number and the item."""
        self.ended_holds: deque[dict[str, object]] = deque()
        """Fields of lines to write."""
        owner.on_release.append(self.forget_job)
        for reason in WaitReason:
            metrics.waiting.labels(reason.value).set_function(partial(self.count, reason))
            metrics.waiting_age.labels(reason.value).set_function(partial(self.age_s, reason))

    def count(self, reason: WaitReason) -> int:
        """Return how many items wait for a reason."""
        return len(self.by_reason[reason])

    def age_s(self, reason: WaitReason) -> float:
        """Return for how long the first of the items has waited for a reason, 0 without any."""
        first = next(iter(self.by_reason[reason]), None)
        return 0.0 if first is None else self.loop.now() - first.since_s

    def note(
        self,
        job_run: JobRun,
        index: ItemIndex,
        reason: WaitReason,
        groups: Sequence[QuarantinedGroup] = (),
    ) -> None:
        """Note what an item waits for; ``groups`` hold it."""
        job = job_run.versioned.record.job
        item = self.items.get(job, {}).get(index)
        if item is not None and item.reason is reason is not WaitReason.HELD:
            return
        if self.runs.get(job) is not job_run:
            return
        now = self.loop.now()
        if item is None:
            item = self.items.setdefault(job, {})[index] = _Item(job_run, index, reason, now)
            self.by_reason[reason][item] = None
        elif item.reason is not reason:
            self._change(item, reason, now)
        elif item.trials == _trials(groups):
            item.groups = tuple(groups)
            return
        item.groups, item.trials = tuple(groups), _trials(groups)
        item.change += 1
        if reason in LINE_DELAYS_S:
            self.lines[reason].append((now + LINE_DELAYS_S[reason], item.change, item))

    def pass_over(self, job_run: JobRun, index: ItemIndex, reason: WaitReason) -> None:
        """Note that an item was not looked at, since another of its route found no room.

        An item stays held while one of its groups is in quarantine.
        """
        items = self.items.get(job_run.versioned.record.job)
        item = items.get(index) if items else None
        if item is not None and item.reason is reason:
            return
        if item is not None and item.reason is WaitReason.HELD:
            known = self.quarantine.groups
            if any(known.get(group.parts) is group for group in item.groups):
                return
        self.note(job_run, index, reason)

    def forget_job(self, job_run: JobRun) -> None:
        """Forget the items of a job that is released."""
        job = job_run.versioned.record.job
        self.listed.pop(job, None)
        for index in list(self.items.get(job, ())):
            self._forget(job, index)
        self.items.pop(job, None)

    def end_turn(self) -> None:
        """Forget items that are listed by now, and write the lines that are due."""
        for job, items in self.items.items():
            listed = self.runs[job].listed
            if self.listed.get(job) != len(listed):
                self.listed[job] = len(listed)
                for index in items.keys() & listed:
                    self._forget(job, index)
        count = LINES_PER_TURN
        while self.ended_holds and count:
            log.info("item hold ended", extra=self.ended_holds.popleft())
            count -= 1
        now = self.loop.now()
        for lines in self.lines.values():
            while lines and lines[0][0] <= now and count:
                _, change, item = lines.popleft()
                count -= self._write(item, change, now)

    def _forget(self, job: JobId, index: ItemIndex) -> None:
        item = self.items[job].pop(index)
        del self.by_reason[item.reason][item]
        item.change += 1

    def _change(self, item: _Item, reason: WaitReason, now: float) -> None:
        del self.by_reason[item.reason][item]
        self.by_reason[reason][item] = None
        before, held_s = item.reason, now - item.since_s
        item.reason, item.since_s = reason, now
        if before is WaitReason.HELD:
            ended = {"held_s": round(held_s, 3)} | _group_fields(item.groups, now)
            self.ended_holds.append(item.fields() | ended)
        if WaitReason.RUNNING is reason or before is WaitReason.HELD:
            item.told = None

    def _write(self, item: _Item, change: int, now: float) -> bool:
        """Write a line about a change unless it is outdated; return whether it was written."""
        if change != item.change or item.told == (item.reason, item.trials):
            return False
        item.told = item.reason, item.trials
        waits_s = round(now - item.since_s, 3)
        if item.reason is WaitReason.HELD:
            waits = {"held_s": waits_s} | _group_fields(item.groups, now)
        else:
            waits = {"waits_s": waits_s}
        log.info("item waits", extra=item.fields() | waits)
        return True


def _trials(groups: Sequence[QuarantinedGroup]) -> GroupTrials:
    return tuple((group.parts, group.since_s, group.trials) for group in groups)


def _group_fields(groups: Sequence[QuarantinedGroup], now: float) -> dict[str, object]:
    """Return parts, age and trials of each group, and in how many seconds its next trial is due."""
    return {
        "parts": [sorted(group.parts) for group in groups],
        "group_age_s": [round(now - group.since_s, 1) for group in groups],
        "trials": [group.trials for group in groups],
        "next_trial_s": [round(group.next_trial_s() - now, 1) for group in groups],
    }
