"""How long a request may still take."""

import math
from dataclasses import dataclass

from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind

__all__ = ["DEADLINE_HEADER", "Deadline", "LONGEST_DEADLINE_S", "choose_deadline"]

DEADLINE_HEADER = "x-parsley-deadline-s"
LONGEST_DEADLINE_S = 7 * 86400.0


@dataclass(frozen=True)
class Deadline:
    """The monotonic time, in seconds, by which the answer must be whole."""

    at_s: float

    def remaining_s(self, now: float) -> float:
        """Return the seconds left, never less than zero."""
        return max(0.0, self.at_s - now)

    def expired(self, now: float) -> bool:
        """Tell whether no time is left."""
        return now >= self.at_s

    def refusal(self, ran: ExecutionStatus) -> Refusal:
        """Return the refusal of a request whose time is up."""
        message = f"the deadline has passed: allow more with {DEADLINE_HEADER} or ask for less"
        return Refusal(RefusalKind.DEADLINE, message, ran)


def choose_deadline(given: str | None, default_s: float) -> float | Refusal:
    """Return the seconds that a caller allows, or those of the kind."""
    if given is None:
        return default_s
    try:
        value = float(given)
    except ValueError:
        value = math.nan
    if not 0 < value <= LONGEST_DEADLINE_S:
        allowed = f"a number of seconds above 0 and at most {LONGEST_DEADLINE_S:g}"
        message = f"{DEADLINE_HEADER}: got {given[:40]!r}; allowed: {allowed}"
        return Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN)
    return value
