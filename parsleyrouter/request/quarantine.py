"""Keep requests with prompt parts that crash endpoints away from them. Performs no I/O.

A group of parts in quarantine is tried from time to time: requests with its parts are let through,
to learn whether they still crash endpoints. While crashes have cut few runs with the group, that is
at most every 15 s: a single request first, then all batch items that wait for the group together,
at one endpoint and at the cost of one crash, so that each of them has had a run of its own. After
that, single requests are let through at growing intervals, a few of them before the retention of
the waiting items ends.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from parsleyrouter.ids import EndpointId
from parsleyrouter.request.crash import CutRuns, PartGroup, Prompt
from parsleyrouter.request.request_evidence import REQUEST_CRASHES, is_request

__all__ = [
    "FIRST_TRIAL_S",
    "HOLD_S",
    "MAX_GROUPS",
    "MAX_EARLY_RUNS",
    "ONLINE_DELAY_S",
    "TRIAL_INTERVAL_S",
    "TRIAL_TIMEOUT_S",
    "Quarantine",
    "QuarantinedGroup",
    "Trial",
    "joint_endpoint",
]

HOLD_S = 600.0
"""How long a group stays in quarantine after the last request that held it."""

REQUEST_HOLD_S = 86_400.0
"""The same for a request, whose trials count as long as its copies come."""

FIRST_TRIAL_S = 10.0
"""Time from the last crash until the first trial."""

DOUBTFUL_TRIAL_S = 2.0
"""The same if all parts were answered before the crashes."""

RETRY_WITHIN_S = 20.0
"""Time after a failed run in which a batch item should be run again."""

TRIAL_TIMEOUT_S = 5.0
"""Time after which a trial of which nothing was heard is repeated."""

TRIAL_INTERVAL_S = RETRY_WITHIN_S - TRIAL_TIMEOUT_S
"""Time from the crash of an early trial to the next one."""

MAX_EARLY_RUNS = 5
"""Runs with a group that crashes have cut, from which on each further request counts."""

LATE_PAUSES_S = (FIRST_TRIAL_S, 30.0, 640.0, 5120.0)
"""Pauses before late trials, by how many requests have come since each counts. A part that crashes
nothing any more is cleared within 40 s of the first late trial."""

MAX_LATE_TRIALS = 3
"""Late trials that waiting items have, spread over the time that they have left; a request has no
others."""

REQUEST_PAUSES_S = (30.0, 120.0, 640.0)
"""Pauses before the trials of a request, by how many of its copies have come since each counts."""

ONLINE_DELAY_S = 0.25
"""Time for which online requests leave a trial that is due to batch items, which can be tried
together."""

MAX_GROUPS = 256


@dataclass
class Trial:
    """Requests with a group's parts that are let through; times are monotonic seconds.

    A joint trial sends all waiting batch items to one ``endpoint``; in any other, the node that
    claimed it may send ``requests_left`` requests to any endpoint.
    """

    until_s: float
    endpoint: EndpointId | None = None
    requests_left: int = 0


@dataclass
class QuarantinedGroup:
    """Parts of which requests may not hold all; times are monotonic seconds."""

    parts: PartGroup
    since_s: float
    requested_s: float
    """When a request that holds the parts last came."""
    doubtful: bool = False
    """Whether all of the parts were answered before."""
    cut_runs: int = 0
    """Runs of requests with the parts that crashes of endpoints have cut."""
    crashed_s: float = -math.inf
    """When the latest of these crashes happened."""
    trials: int = 0
    """Trials that any node has claimed."""
    claimed_s: float = -math.inf
    """When the latest of them was claimed."""
    late_trials: int = 0
    """Requests with the parts that came after ``MAX_EARLY_RUNS`` up to the latest trial."""
    late_runs: int = 0
    """Those of them that a crash has cut; not known of parts that may be sound."""
    give_up_s: float = math.inf
    """When the last of the batch items that wait at this node is given up."""
    trial: Trial | None = None
    """The trial in which this node may take part."""

    def __post_init__(self) -> None:
        self.is_request = is_request(self.parts)

    @property
    def late(self) -> bool:
        """Return whether each further request counts."""
        return self.cut_runs >= self.max_early_runs

    @property
    def max_early_runs(self) -> int:
        """Return after how many cut runs each further request counts."""
        return REQUEST_CRASHES if self.is_request else MAX_EARLY_RUNS

    @property
    def late_requests(self) -> int:
        """Return how many requests with the parts came since each of them counts."""
        return max(self.late_trials, self.late_runs)

    @property
    def joint(self) -> bool:
        """Return whether the next trial may hold all batch items that wait: the last early one."""
        return not self.is_request and self.cut_runs == MAX_EARLY_RUNS - 1

    def next_trial_s(self) -> float:
        """Return when requests should next be let through."""
        if self.is_request and self.late_requests >= MAX_LATE_TRIALS:
            return math.inf
        if not self.trials:
            certain_s = REQUEST_PAUSES_S[0] if self.is_request else FIRST_TRIAL_S
            first_s = DOUBTFUL_TRIAL_S if self.doubtful else certain_s
            return max(self.since_s, self.crashed_s) + first_s
        if self.late:
            return self.latest_s + self._late_pause_s()
        if self.claimed_s > self.crashed_s:
            return self.claimed_s + TRIAL_TIMEOUT_S
        return max(self.since_s, self.crashed_s) + TRIAL_INTERVAL_S

    def _late_pause_s(self) -> float:
        """Return the pause after a trial; at first it spreads trials over what items have left."""
        pause_s = LATE_PAUSES_S[min(self.late_requests, len(LATE_PAUSES_S) - 1)]
        if self.is_request:
            return REQUEST_PAUSES_S[self.late_requests]
        if self.late_requests >= MAX_LATE_TRIALS:
            return pause_s
        left = MAX_LATE_TRIALS - self.late_requests
        return min(pause_s, max(FIRST_TRIAL_S, (self.give_up_s - self.latest_s) / (left + 1)))

    @property
    def latest_s(self) -> float:
        """Return when the quarantine began, was tried or saw a crash, whichever is latest."""
        return max(self.since_s, self.crashed_s, self.claimed_s)

    def trial_due(self, now: float) -> bool:
        """Return whether requests should be let through."""
        return now >= self.next_trial_s()

    @property
    def expires_s(self) -> float:
        """Return when the quarantine ends unless a request comes."""
        return self.requested_s + (REQUEST_HOLD_S if self.is_request else HOLD_S)

    def note_waiting(self, give_up_s: float) -> None:
        """Note that a batch item waits for the group until it is given up."""
        known = math.isfinite(self.give_up_s)
        self.give_up_s = max(self.give_up_s, give_up_s) if known else give_up_s

    def note_crashes(self, cuts: CutRuns) -> None:
        """Apply what is known of the group's crashes; one after a claim ends the trial."""
        self.cut_runs = max(self.cut_runs, cuts.count)
        if not self.doubtful or self.is_request:
            self.late_runs = max(self.late_runs, cuts.late)
        self.crashed_s = max(self.crashed_s, cuts.latest_s)
        if self.crashed_s > self.claimed_s:
            self.trial = None

    def note_claim(self, claimed_s: float, endpoint: EndpointId | None, *, own: bool) -> None:
        """Begin a trial: a joint one at an endpoint, or one of a single request of its claimer.

        News of a joint trial that comes after its crash, or from a node that knows of fewer cut
        runs, begins none here.
        """
        self.claimed_s = claimed_s
        until_s = claimed_s + TRIAL_TIMEOUT_S
        self.trial = None
        if own and self.crashed_s <= claimed_s:
            self.trial = Trial(until_s, endpoint, int(endpoint is None))
        elif endpoint is not None and self.joint and self.crashed_s < claimed_s - TRIAL_TIMEOUT_S:
            self.trial = Trial(until_s, endpoint)

    def joint_endpoint(self, now: float) -> EndpointId | None:
        """Return where waiting batch items are tried together at present."""
        return self.trial.endpoint if self.trial is not None and now < self.trial.until_s else None

    def can_try(self, now: float) -> bool:
        """Return whether this node may let a request through."""
        trial = self.trial
        return trial is not None and trial.requests_left > 0 and now < trial.until_s

    def end_trial(self, *, began: bool, cut: bool = False, sent: bool = False) -> bool:
        """Note that a request with the parts has ended; return whether it was part of a trial.

        A single one that never began at an endpoint tells nothing, so another takes its place,
        but each copy of a request that was ``sent`` counts.
        """
        trial = self.trial
        if trial is None or trial.requests_left:
            return False
        if cut:
            # The crash by it may not be known yet.
            self.cut_runs += 1
        elif not (began or sent and self.is_request) and trial.endpoint is None:
            trial.requests_left = 1
        return True


@dataclass
class Quarantine:
    """The groups of parts in quarantine, a bounded number of them."""

    groups: dict[PartGroup, QuarantinedGroup] = field(default_factory=dict)

    def add(
        self, parts: PartGroup, now: float, *, doubtful: bool = False
    ) -> list[PartGroup] | None:
        """Put a group into quarantine; return the groups that it replaces, ``None`` if not new.

        A group replaces those that hold all of its parts, and one that holds all parts of another
        group is not needed. A group is ``doubtful`` if all of its parts were answered before.
        """
        known = next((one for one in self.groups.values() if one.parts <= parts), None)
        if known is not None:
            known.requested_s = now
            return None
        replaced = [self.groups.pop(one) for one in list(self.groups) if parts < one]
        late_trials = max((one.late_requests for one in replaced), default=0)
        cut_runs = max((one.cut_runs for one in replaced), default=0)
        if len(self.groups) >= MAX_GROUPS:
            groups = self.groups.values()
            oldest = min(groups, key=lambda one: (not one.is_request, one.requested_s))
            replaced.append(self.groups.pop(oldest.parts))
        group = QuarantinedGroup(
            parts, now, now, doubtful, cut_runs=cut_runs, late_trials=late_trials
        )
        self.groups[parts] = group
        return [one.parts for one in replaced]

    def find(self, prompt: Prompt) -> list[QuarantinedGroup]:
        """Return the groups that keep a request away; it may be sent if there are none."""
        if not self.groups or not prompt:
            return []
        parts = frozenset(prompt)
        return [one for one in self.groups.values() if one.parts <= parts]

    def take_trial(self, groups: Sequence[QuarantinedGroup], now: float) -> bool:
        """Return whether a request that the groups keep away is let through as a trial."""
        if not all(one.can_try(now) for one in groups):
            return False
        for one in groups:
            if one.trial is not None:
                one.trial.requests_left -= 1
        return True

    def release_served(self, prompt: Prompt, began_s: float) -> list[PartGroup]:
        """Release and return the groups of which an answer began since without a crash."""
        served = [
            one.parts
            for one in self.groups.values()
            if one.parts.issubset(prompt) and began_s > one.since_s
        ]
        for parts in served:
            del self.groups[parts]
        return served

    def release_expired(self, now: float) -> list[PartGroup]:
        """Release and return the groups that no request has held for a long time."""
        expired = [one.parts for one in self.groups.values() if now > one.expires_s]
        for parts in expired:
            del self.groups[parts]
        return expired


def joint_endpoint(groups: Iterable[QuarantinedGroup], now: float) -> EndpointId | None:
    """Return the endpoint at which all of the groups are tried together, ``None`` if none."""
    endpoints = {one.joint_endpoint(now) for one in groups}
    return endpoints.pop() if len(endpoints) == 1 else None
