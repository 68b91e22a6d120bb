"""Admission control: decide whether to send a request, or when a refused caller should retry.

In a burst above the capacity of the endpoints, a request that would miss its latency target delays
all requests behind it, while its caller could be served in time by a retry after the burst. Callers
retry once, so a retried request is served even if it is late.
"""

import math
from dataclasses import dataclass

__all__ = ["Admission", "Admit", "Refuse", "admit", "is_retry"]

MAX_WAIT_SHARE = 0.85
"""Share of the latency target for waiting; the rest is for the network and the first token."""

MAX_RETRY_AFTER_SHARE = 1 / 3
"""Maximum delay before a retry, as a share of the caller's remaining time."""

MIN_SPREAD_SHARE = 0.5
"""Minimum of the spread retry delay, as a share of the maximum: a burst outlasts a short delay."""

RETRY_DETECTION_MARGIN_S = 0.05
"""A request with this much less time than its route allows counts as a retry."""


@dataclass(frozen=True)
class Admit:
    """Send the request now."""


@dataclass(frozen=True)
class Refuse:
    """Refuse the request; the caller should retry after ``retry_after_s``."""

    retry_after_s: float


Admission = Admit | Refuse


def is_retry(left_s: float, allowed_s: float) -> bool:
    """Return whether a caller has been refused before, by the time that it has used."""
    return left_s < allowed_s - RETRY_DETECTION_MARGIN_S


def admit(
    *,
    wait_s: float,
    target_s: float,
    left_s: float,
    allowed_s: float,
    spread: float,
    wait_share: float | None = None,
) -> Admission:
    """Decide on a request that is expected to wait ``wait_s`` for a slot.

    ``left_s`` is the caller's remaining time and ``allowed_s`` the timeout of its route;
    ``spread``, from 0 to 1, is the jitter of retries; ``wait_share`` is the share of the usual wait
    that the request may take, where customers compete for room.
    """
    max_retry_after_s = left_s * MAX_RETRY_AFTER_SHARE
    spread_retry_after_s = max_retry_after_s * (MIN_SPREAD_SHARE + (1 - MIN_SPREAD_SHARE) * spread)
    if wait_s >= left_s:
        return Refuse(spread_retry_after_s)
    if wait_share is None:
        wait_share = math.inf if is_retry(left_s, allowed_s) else 1.0
    if wait_s <= target_s * MAX_WAIT_SHARE * wait_share:
        return Admit()
    return Refuse(max(spread_retry_after_s, min(wait_s, max_retry_after_s)))
