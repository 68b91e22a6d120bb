"""Keep requests with prompt parts that crash endpoints away from them. Performs no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from parsleyrouter.request.crash_evidence import PartGroup, Prompt

__all__ = ["FIRST_TRIAL_S", "HOLD_S", "MAX_GROUPS", "Quarantine", "QuarantinedGroup"]

HOLD_S = 600.0
"""How long a group stays in quarantine after the last request that held it."""

FIRST_TRIAL_S = 10.0
"""Time until one request is let through, to learn whether the parts still crash endpoints."""

DOUBTFUL_TRIAL_S = 2.0
"""The same for the first one if all parts were answered before the crashes."""

TRIAL_FACTOR = 8
"""Factor from one trial to the time of the next."""

TRIAL_TIMEOUT_S = 5.0
"""Time after which a trial of which nothing was heard is repeated."""

MAX_GROUPS = 256


@dataclass
class QuarantinedGroup:
    """Parts of which requests may not hold all; times are monotonic seconds."""

    parts: PartGroup
    since_s: float
    requested_s: float
    """When a request that holds the parts last came."""
    doubtful: bool = False
    """Whether all of the parts were answered before."""
    trials: int = 0
    """Requests that any node has let through as a trial."""
    may_try: bool = False
    """Whether this node may let one request through."""
    trial_until_s: float = 0.0
    """While a trial is under way, when another request may replace it if it never began."""

    def next_trial_s(self) -> float:
        """Return when the next request should be let through."""
        if self.doubtful and not self.trials:
            return self.since_s + DOUBTFUL_TRIAL_S
        return self.since_s + FIRST_TRIAL_S * TRIAL_FACTOR**self.trials

    def trial_due(self, now: float) -> bool:
        """Return whether one request should be let through."""
        return now >= self.next_trial_s()

    def can_try(self, now: float) -> bool:
        """Return whether a request may be let through as the trial."""
        return self.may_try and now >= self.trial_until_s

    def end_trial(self, *, began: bool) -> None:
        """Note that the trial has ended; one that never began at an endpoint tells nothing."""
        self.trial_until_s = 0.0
        self.may_try = self.may_try and not began


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
        if len(self.groups) >= MAX_GROUPS:
            oldest = min(self.groups.values(), key=lambda one: one.requested_s)
            replaced.append(self.groups.pop(oldest.parts))
        self.groups[parts] = QuarantinedGroup(parts, now, now, doubtful)
        return [one.parts for one in replaced]

    def find(self, prompt: Prompt) -> list[QuarantinedGroup]:
        """Return the groups that keep a request away; it may be sent if there are none."""
        if not self.groups or not prompt:
            return []
        return [one for one in self.groups.values() if one.parts.issubset(prompt)]

    def take_trial(self, groups: Iterable[QuarantinedGroup], now: float) -> bool:
        """Return whether a request that the groups keep away is let through as a trial."""
        waiting = list(groups)
        if not all(one.can_try(now) for one in waiting):
            return False
        for one in waiting:
            one.trial_until_s = now + TRIAL_TIMEOUT_S
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
        expired = [one.parts for one in self.groups.values() if now - one.requested_s > HOLD_S]
        for parts in expired:
            del self.groups[parts]
        return expired
