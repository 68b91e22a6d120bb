"""Decide how long a request of a customer may wait at full endpoints; performs no I/O.

Load: one customer sends several times its usual while the endpoints have room for the usual load.
"""

import math
from dataclasses import dataclass, field

from parsleyrouter.contention.usual_rates import UsualRates
from parsleyrouter.customers import Customer
from parsleyrouter.ids import CustomerName

__all__ = ["FULL_SHARE", "QueueShares"]

FULL_SHARE = 1.0
"""Share of the usual wait of a request that is no excess and has the most urgent priority."""

MIN_EXCESS_SHARE = 0.1
"""Least share of the usual wait, for what goes far beyond a customer's part."""

RETURNING_EXCESS_SHARE = 0.1
"""Share for excess that comes back after a refusal."""

HOT_TIMES = 1.3
"""Times its usual part from which a customer is hot."""

HOT_SHARE = 0.5
"""Share for the usual part of a hot customer; the queue drains while only others enter it."""

EXCESS_STEP = 8.0
"""Share of the usual wait that is taken away by each whole part beyond the customer's own."""

PRIORITY_STEP = 0.1
"""Share of the usual wait that each step of priority below the most urgent one takes away."""

MIN_PRIORITY_SHARE = 0.6

MIN_USUAL_USAGE = 0.5
"""Use of a limit, as a share of it, that is usual for each customer."""

USAGE_WINDOW_S = 5.0
"""Time over which the use of a limit varies by chance, for the deviation that is allowed."""

KNOWN_USE_S = 10.0
"""Age up to which the use of a customer's limit counts for that of all."""

SUM_INTERVAL_S = 1.0
"""Pause between two computations of the use of all limits."""


@dataclass(frozen=True)
class _Use:
    """How much of its limit a customer used, as told at a time; monotonic."""

    at_s: float
    usage: float
    limit_per_s: float

    @property
    def used_per_s(self) -> float:
        return self.usage * self.limit_per_s


_NO_USE = _Use(0.0, 0.0, 0.0)


@dataclass
class QueueShares:
    """Choose the share of the usual wait for each request of a customer."""

    rates: UsualRates = field(default_factory=UsualRates)
    uses: dict[CustomerName, _Use] = field(default_factory=dict)
    """The latest use of each limit."""
    summed: dict[CustomerName, _Use] = field(default_factory=dict)
    """The uses of which the sums consist."""
    summed_at_s: float = -math.inf
    used_per_s: float = 0.0
    limit_per_s: float = 0.0

    def share(
        self,
        customer: Customer,
        *,
        usage: float,
        less_urgent: int,
        returning: bool,
        draw: float,
        now: float,
    ) -> float:
        """Return the share for a request and count it.

        ``usage`` is the use of the customer's limit, 0 without one; ``less_urgent`` the steps of
        priority below the most urgent one; ``draw``, from 0 to 1, chooses which requests of a
        customer that goes beyond its part are excess. One that is ``returning`` after a refusal
        waits as long as its caller, unless its customer is hot.
        """
        times = max(self.rates.count(customer.name, now), self._times_usual(customer, usage, now))
        beyond = max(0.0, draw * times - 1.0)
        hot = times > HOT_TIMES
        if returning:
            usual = FULL_SHARE if hot else math.inf
            return RETURNING_EXCESS_SHARE if beyond else usual
        priority = max(MIN_PRIORITY_SHARE, FULL_SHARE - PRIORITY_STEP * max(0, less_urgent))
        usual = HOT_SHARE if hot else FULL_SHARE
        return priority * max(MIN_EXCESS_SHARE, usual - EXCESS_STEP * beyond)

    def _times_usual(self, customer: Customer, usage: float, now: float) -> float:
        """Return the use of a limit in times that of all other customers together."""
        if usage <= 0 or not customer.limited:
            return 1.0
        self.uses[customer.name] = _Use(now, usage, customer.rate_per_s)
        if now - self.summed_at_s >= SUM_INTERVAL_S:
            self._sum(now)
        own = self.summed.get(customer.name, _NO_USE)
        others_limit_per_s = self.limit_per_s - own.limit_per_s
        if others_limit_per_s <= 0:
            return 1.0
        others = (self.used_per_s - own.used_per_s) / others_limit_per_s
        by_chance = math.sqrt(usage / (customer.rate_per_s * USAGE_WINDOW_S))
        return (usage - by_chance) / max(MIN_USUAL_USAGE, others)

    def _sum(self, now: float) -> None:
        self.uses = {name: use for name, use in self.uses.items() if now - use.at_s <= KNOWN_USE_S}
        self.summed, self.summed_at_s = dict(self.uses), now
        self.used_per_s = sum(use.used_per_s for use in self.summed.values())
        self.limit_per_s = sum(use.limit_per_s for use in self.summed.values())
