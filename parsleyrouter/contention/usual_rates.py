"""Compare a customer's recent requests with its usual part; performs no I/O.

Load: each node sees a part of the requests of some hundred customers, and few of most of them.
"""

import math
from dataclasses import dataclass, field

from parsleyrouter.ids import CustomerName

__all__ = ["UsualRates"]

RECENT_S = 0.7
"""Time constant of the recent rate."""

USUAL_S = 120.0
"""Time constant of the usual rate."""

WARM_UP_S = 15.0
"""Time after the first request in which no rate counts as usual."""

CHANCE_DEVIATIONS = 1.0
"""Standard deviations of the number of recent requests that count as chance."""

CHANCE_REQUESTS = 2.0
"""Requests that may come close together in any case."""

MAX_CUSTOMERS = 4096
"""Customers whose rates are kept; those that sent nothing for longest are dropped."""


@dataclass
class _Counts:
    """Two decaying counts of requests, and when they were brought up to date; monotonic."""

    at_s: float
    recent: float = 0.0
    usual: float = 0.0

    def decay(self, now: float) -> None:
        passed_s = max(0.0, now - self.at_s)
        self.recent *= math.exp(-passed_s / RECENT_S)
        self.usual *= math.exp(-passed_s / USUAL_S)
        self.at_s = max(self.at_s, now)


@dataclass
class UsualRates:
    """Recent and usual rates of the customers at this node."""

    counts: dict[CustomerName, _Counts] = field(default_factory=dict)
    total: _Counts | None = None
    started_s: float = 0.0

    def count(self, customer: CustomerName, now: float) -> float:
        """Count a request; return its customer's recent rate in times its usual part.

        The usual part grows with the requests of all others. What goes beyond it does not become
        usual.
        """
        if self.total is None:
            self.total, self.started_s = _Counts(now), now
        counts = self.counts.pop(customer, None) or _Counts(now)
        self.counts[customer] = counts
        if len(self.counts) > MAX_CUSTOMERS:
            del self.counts[next(iter(self.counts))]
        for one in (counts, self.total):
            one.decay(now)
            one.recent += 1.0
        times = self._times_usual(counts, self.total, now)
        for one in (counts, self.total):
            one.usual += 1.0 / max(1.0, times)
        return times

    def _times_usual(self, counts: _Counts, total: _Counts, now: float) -> float:
        passed_s = now - self.started_s
        others_usual = total.usual - counts.usual
        if passed_s < WARM_UP_S or others_usual <= 0.0:
            return 1.0
        # A count is its rate times the time constant, or less until it has filled.
        filled_s = USUAL_S * (1.0 - math.exp(-passed_s / USUAL_S))
        growth = (total.recent - counts.recent) / RECENT_S / (others_usual / filled_s)
        expected = max(1.0, growth) * counts.usual / filled_s * RECENT_S
        by_chance = CHANCE_DEVIATIONS * math.sqrt(expected) + CHANCE_REQUESTS
        return max(0.0, counts.recent - by_chance) / max(expected, 1e-9)
