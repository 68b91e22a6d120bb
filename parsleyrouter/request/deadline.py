"""Deadlines of requests."""

import math
from dataclasses import dataclass

from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind

__all__ = ["DEADLINE_HEADER", "Deadline", "MAX_DEADLINE_S", "choose_deadline"]

DEADLINE_HEADER = "x-parsley-deadline-s"
MAX_DEADLINE_S = 7 * 86400.0


@dataclass(frozen=True)
class Deadline:
    """The monotonic time, in seconds, by which the response must be complete."""

    at_s: float

    def remaining_s(self, now: float) -> float:
        """Return the remaining seconds, at least zero."""
        return max(0.0, self.at_s - now)

    def expired(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return now >= self.at_s

    def refusal(self, ran: ExecutionStatus) -> Refusal:
        """Return the refusal of a request that has passed its deadline."""
        message = f"the deadline has passed: allow more time with {DEADLINE_HEADER} or ask for less"
        return Refusal(RefusalKind.DEADLINE, message, ran)


def choose_deadline(header: str | None, default_s: float) -> float | Refusal:
    """Return the caller's deadline in seconds, or the default of the kind."""
    if header is None:
        return default_s
    try:
        value = float(header)
    except ValueError:
        value = math.nan
    if not 0 < value <= MAX_DEADLINE_S:
        allowed = f"a number of seconds above 0 and at most {MAX_DEADLINE_S:g}"
        message = f"{DEADLINE_HEADER}: got {header[:40]!r}; allowed: {allowed}"
        return Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN)
    return value
