"""Decide whether a request is worth sending, and when a refused caller should come back.

Answers the load of a burst above what the endpoints serve: a request that would be answered late
delays all behind it, while its caller could be served in time by coming back once the burst is
over. Callers come back once, so one who has come back is served even if that is late.
"""

from dataclasses import dataclass

__all__ = ["Admission", "Admit", "TurnAway", "admit"]

MAX_WAIT_SHARE = 0.85
"""Part of the latency target that waiting may take; the rest is the way and the first token."""

MAX_RETRY_AFTER_SHARE = 1 / 3
"""Part of the time left that callers wait at most before they come back."""

MIN_SPREAD_SHARE = 0.5
"""Returns are spread from this part of the longest wait on: a burst lasts longer than one wait."""

RETRY_DETECTION_MARGIN_S = 0.05
"""A caller with this much less time than its route allows has been refused before."""


@dataclass(frozen=True)
class Admit:
    """Send the request now."""


@dataclass(frozen=True)
class TurnAway:
    """Refuse the request; a slot is expected in ``retry_after_s``."""

    retry_after_s: float


Admission = Admit | TurnAway


def admit(
    *, wait_s: float, target_s: float, left_s: float, allowed_s: float, spread: float
) -> Admission:
    """Return whether to send a request that is expected to wait ``wait_s`` for a slot.

    ``left_s`` is left of the caller's time and ``allowed_s`` is what its route allows;
    ``spread``, from 0 to 1, keeps callers from coming back together.
    """
    max_retry_after_s = left_s * MAX_RETRY_AFTER_SHARE
    spread_retry_after_s = max_retry_after_s * (MIN_SPREAD_SHARE + (1 - MIN_SPREAD_SHARE) * spread)
    if wait_s >= left_s:
        return TurnAway(spread_retry_after_s)
    if wait_s <= target_s * MAX_WAIT_SHARE or left_s < allowed_s - RETRY_DETECTION_MARGIN_S:
        return Admit()
    return TurnAway(max(spread_retry_after_s, min(wait_s, max_retry_after_s)))
