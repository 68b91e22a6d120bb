"""Decide whether a request is worth sending, and when a refused caller should come back.

Answers the load of a burst above what the endpoints serve: a request that would be answered late
delays all behind it, while its caller could be served in time by coming back once the burst is
over. Callers come back once, so one who has come back is served even if that is late.
"""

from dataclasses import dataclass

__all__ = ["Admission", "Admit", "Refuse", "admit"]

LATE_SHARE = 0.85
"""Part of the latency target that waiting may take; the rest is the way and the first token."""

RETURN_SHARE = 1 / 3
"""Part of the time left that callers wait at most before they come back."""

SPREAD_FROM = 0.5
"""Returns are spread from this part of the longest wait on: a burst lasts longer than one wait."""

CAME_BACK_S = 0.05
"""A caller with this much less time than its route allows has been refused before."""


@dataclass(frozen=True)
class Admit:
    """Send the request now."""


@dataclass(frozen=True)
class Refuse:
    """Refuse the request; a slot is expected in ``retry_after_s``."""

    retry_after_s: float


Admission = Admit | Refuse


def admit(
    *, wait_s: float, target_s: float, left_s: float, allowed_s: float, spread: float
) -> Admission:
    """Return whether to send a request that is expected to wait ``wait_s`` for a slot.

    ``left_s`` is left of the caller's time and ``allowed_s`` is what its route allows;
    ``spread``, from 0 to 1, keeps callers from coming back together.
    """
    longest_s = left_s * RETURN_SHARE
    back_s = longest_s * (SPREAD_FROM + (1 - SPREAD_FROM) * spread)
    if wait_s >= left_s:
        return Refuse(back_s)
    if wait_s <= target_s * LATE_SHARE or left_s < allowed_s - CAME_BACK_S:
        return Admit()
    return Refuse(max(back_s, min(wait_s, longest_s)))
