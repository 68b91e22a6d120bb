"""Keep requests with prompt parts that crash endpoints away from them. Performs no I/O."""

from dataclasses import dataclass, field

from parsleyrouter.request.crash_evidence import PartGroup, Prompt

__all__ = ["HOLD_S", "QuarantinedGroup", "Quarantine"]

HOLD_S = 600.0
"""How long a group stays in quarantine after the last request that held it."""

FIRST_TRIAL_S = 10.0
"""Time until one request is let through, to learn whether the parts still crash endpoints."""

TRIAL_FACTOR = 8
"""Factor from one trial to the time of the next."""

MAX_TRIALS = 2
MAX_GROUPS = 256


@dataclass
class QuarantinedGroup:
    """Parts of which requests may not hold all; times are monotonic seconds."""

    parts: PartGroup
    since_s: float
    requested_s: float
    """When a request that holds the parts last came."""
    trials: int = 0
    """Requests that any node has let through as a trial."""
    may_try: bool = False
    """Whether this node may let one request through now."""

    def trial_due(self, now: float) -> bool:
        """Return whether one request should be let through."""
        due_s = self.since_s + FIRST_TRIAL_S * TRIAL_FACTOR**self.trials
        return self.trials < MAX_TRIALS and now >= due_s

    def take_trial(self) -> bool:
        """Return whether this request is the trial; another one is not."""
        taken, self.may_try = self.may_try, False
        return taken


@dataclass
class Quarantine:
    """The groups of parts in quarantine, a bounded number of them."""

    groups: dict[PartGroup, QuarantinedGroup] = field(default_factory=dict)

    def add(self, parts: PartGroup, now: float) -> bool:
        """Put a group into quarantine or renew it; return whether it is new."""
        known = self.groups.get(parts)
        if known is not None:
            known.requested_s = now
            return False
        if len(self.groups) >= MAX_GROUPS:
            oldest = min(self.groups.values(), key=lambda one: one.requested_s)
            del self.groups[oldest.parts]
        self.groups[parts] = QuarantinedGroup(parts, now, now)
        return True

    def find(self, prompt: Prompt) -> QuarantinedGroup | None:
        """Return the group that keeps a request away, ``None`` if it may be sent."""
        if not self.groups or not prompt:
            return None
        return next((one for one in self.groups.values() if one.parts.issubset(prompt)), None)

    def release_served(self, prompt: Prompt, at_s: float) -> list[PartGroup]:
        """Release and return the groups of which a request was answered whole since."""
        served = [
            one.parts
            for one in self.groups.values()
            if one.parts.issubset(prompt) and at_s > one.since_s
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
