"""Decide whether a request is worth sending, and when a refused caller should come back.

Answers the load of a burst above what the endpoints serve: a request that would be answered late
delays all behind it, while its caller could be served in time by coming back once the burst is
over. Callers come back once.
"""

from dataclasses import dataclass

__all__ = ["Admission", "Admit", "TurnAway", "admit"]

LEAST_RETURN_S = 0.05
"""Shortest time after which a caller is asked back, one round trip with some slack."""

LATE_SHARE = 0.9
"""Part of the latency target that waiting may take; the rest is the way and the first token."""


@dataclass(frozen=True)
class Admit:
    """Send the request now."""


@dataclass(frozen=True)
class TurnAway:
    """Refuse the request; a slot is expected in ``retry_after_s``."""

    retry_after_s: float


Admission = Admit | TurnAway


def admit(*, wait_s: float, target_s: float, remaining_s: float, service_s: float) -> Admission:
    """Return whether to send a request that is expected to wait ``wait_s`` for a slot.

    A request that cannot be answered by its deadline is refused at once. One that would be late
    is refused while coming back is expected to be quicker.
    """
    if wait_s <= target_s * LATE_SHARE:
        return Admit()
    back_s = max(LEAST_RETURN_S, wait_s - target_s * LATE_SHARE)
    if wait_s + service_s >= remaining_s or back_s < remaining_s / 3:
        return TurnAway(back_s)
    return Admit()
