"""Bounds of docs/design/limits.md and the most runs in any window."""

import math

from parsleyrouter.customers import Customer
from parsleyrouter.limits.authority import SETTLE_S
from parsleyrouter.limits.permit_calls import PERMIT_VALID_S
from parsleyrouter.limits.shares import capacity_of, rate_of

MAX_DRIFT = 0.02
"""By how much clocks of the model run faster or slower."""


def most_in_window(times: list[float], window_s: float) -> int:
    """Return the most times in any window."""
    ordered = sorted(times)
    most, first = 0, 0
    for last, at_s in enumerate(ordered):
        while ordered[first] <= at_s - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def share_bound(customer: Customer, window_s: float) -> float:
    """Return the bound of docs/design/limits.md for one share and a window."""
    begun = 1 + math.floor(window_s / SETTLE_S)
    span_s = (window_s + PERMIT_VALID_S) * (1 + MAX_DRIFT)
    return rate_of(customer) * span_s + capacity_of(customer) + begun
