"""Plays batch items with a part that crashes endpoints until it is mended, held and tried again."""

import math
from dataclasses import dataclass, field
from random import Random

from parsleyrouter.ids import EndpointId, PromptPart
from parsleyrouter.request.crash import CutRuns
from parsleyrouter.request.quarantine import Quarantine, QuarantinedGroup, joint_endpoint

CONTACT_S = 3.0
COUNTED_RUNS = 5
"""Runs with a part that crashed endpoints, after which requests with it are counted."""

CRASH_AFTER_S = 0.1
AWAY_S = 3.0
RUN_S = 4.0
STEP_S = 0.05
PART = PromptPart("deadly")
PROMPT = (PromptPart("first"), PART)
GROUP = frozenset((PART,))


@dataclass
class HeldItem:
    """An item with the part; times are seconds of the play."""

    arrived_s: float
    failed_s: float = -math.inf
    began_s: float = math.inf
    tries: int = 0


@dataclass
class HeldPlay:
    """Items at one fleet whose part is in quarantine from 0 s on, after crashes cut some runs."""

    seed: int = 1
    cut_runs: int = 3
    items: int = 6
    arrivals_s: float = 20.0
    """Items arrive until then."""
    mended_s: float = math.inf
    """When the part crashes no endpoint any more."""
    length_s: float = 60.0
    retention_s: float = 3600.0
    """Until when the items wait."""
    unsent_share: float = 0.0
    """Share of trials that never begin, such as on a refused connection."""
    quarantine: Quarantine = field(default_factory=Quarantine)
    sent_s: list[float] = field(default_factory=list)
    cut_s: list[float] = field(default_factory=list)
    """When runs with the part were cut."""
    crashes: int = 0
    """Crashes by trials."""
    quarantine_trials: int = 0
    """Trials that were claimed; some are never sent."""
    trials_sent: int = 0

    def run(self) -> "HeldPlay":
        self.random = Random(self.seed)
        self.cut_s = [-0.4 * number for number in reversed(range(self.cut_runs))]
        self.quarantine.add(GROUP, 0.0)
        group = self.quarantine.groups[GROUP]
        group.note_crashes(CutRuns(self.cut_runs, 0, 0.0))
        group.note_waiting(self.retention_s)
        self.waiting = [
            HeldItem(self.random.uniform(0.0, self.arrivals_s)) for _ in range(self.items)
        ]
        self.all_items = list(self.waiting)
        steps = int(self.length_s / STEP_S)
        for step in range(steps):
            now = step * STEP_S
            here = [one for one in self.waiting if one.arrived_s <= now]
            if here and not self.quarantine.groups:
                self._begin(here, now)
            elif here and group.trial_due(now):
                self._claim(group, here, now)
        return self

    def _claim(self, group: QuarantinedGroup, here: list[HeldItem], now: float) -> None:
        joint = group.joint
        self.quarantine_trials += 1
        group.trials += 1
        group.late_trials = group.late_requests + group.late
        group.note_claim(now, EndpointId("e1") if joint else None, own=True)
        if self.random.random() < self.unsent_share:
            group.late_trials -= group.late
            return
        if joint:
            assert joint_endpoint([group], now) == EndpointId("e1")
        else:
            assert self.quarantine.take_trial([group], now)
        self.trials_sent += 1
        tried = here if joint else here[:1]
        for item in tried:
            item.tries += 1
            self.sent_s.append(now)
        if now >= self.mended_s:
            self._begin(tried, now)
            self.quarantine.release_served(PROMPT, now + CRASH_AFTER_S)
            return
        at_s = now + CRASH_AFTER_S
        for item in tried:
            item.failed_s = at_s
        self.cut_s += [at_s] * len(tried)
        self.crashes += 1
        group.note_crashes(CutRuns(len(self.cut_s), self.cut_late, at_s))

    def _begin(self, items: list[HeldItem], now: float) -> None:
        for item in list(items):
            item.began_s = now
            self.waiting.remove(item)

    @property
    def cut_late(self) -> int:
        """Count the runs with the part that were cut long after the fifth."""
        if len(self.cut_s) < COUNTED_RUNS:
            return 0
        known_s = self.cut_s[COUNTED_RUNS - 1] + CONTACT_S
        return sum(at_s > known_s for at_s in self.cut_s)

    @property
    def sent_late(self) -> int:
        """Count requests sent long after the fifth run with the part was cut."""
        if len(self.cut_s) < COUNTED_RUNS:
            return 0
        known_s = self.cut_s[COUNTED_RUNS - 1] + CONTACT_S
        return sum(at_s > known_s for at_s in self.sent_s)

    def idle_items(self, now: float, within_s: float) -> int:
        """Count the items that stand open and have not failed for some time."""
        return sum(
            one.began_s > now and now - max(one.failed_s, one.arrived_s) > within_s
            for one in self.all_items
        )
