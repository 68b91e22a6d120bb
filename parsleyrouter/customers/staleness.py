"""Decide whether a node may have missed that a key was taken away; performs no I/O.

Load: nodes that are cut off from the store, or suspended with the whole VM. The monotonic clock
stands still while a VM is suspended, so that time is measured separately and added.
"""

from dataclasses import dataclass, field

__all__ = ["SuspendedTime", "may_miss_removals"]

MIN_SUSPENSION_S = 0.05
"""Shorter differences of two clocks are those of reading them one after the other."""

RETENTION_S = 3600.0
"""Suspensions before this time are dropped; an answer as old as that is too old in any case."""


@dataclass
class SuspendedTime:
    """Time that passed while the machine was suspended."""

    total_s: float | None = None
    """Time that the clock counting suspension is ahead of the monotonic one, as last noted."""
    suspensions: list[tuple[float, float]] = field(default_factory=list)
    """When each was noticed, monotonic, and how long it was."""

    def note(self, now: float, total_s: float) -> None:
        """Note how far the clock that counts suspension is ahead."""
        if self.total_s is None:
            self.total_s = total_s
            return
        slept_s = total_s - self.total_s
        if slept_s < MIN_SUSPENSION_S:
            return
        self.total_s = total_s
        self.suspensions = [one for one in self.suspensions if one[0] > now - RETENTION_S]
        self.suspensions.append((now, slept_s))

    def age_s(self, now: float, since_s: float) -> float:
        """Return the time since a monotonic instant, with all suspensions noticed after it."""
        slept_s = sum(length_s for noticed_s, length_s in self.suspensions if noticed_s > since_s)
        return now - since_s + slept_s


def may_miss_removals(*, age_s: float, strict: bool, revoke_within_s: float) -> bool:
    """Return whether keys must not be trusted, by the age of the last answer about them."""
    return strict and age_s > revoke_within_s
