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

RETURNING_EXCESS_SHARE = 0.2
"""Share for excess that comes back after a refusal."""

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
"""Age up to which the use of a customer's limit counts for the mean."""

MEAN_INTERVAL_S = 1.0
"""Pause between two computations of the mean use."""


@dataclass
class QueueShares:
    """Choose the share of the usual wait for each request of a customer."""

    rates: UsualRates = field(default_factory=UsualRates)
    used: dict[CustomerName, tuple[float, float]] = field(default_factory=dict)
    """When a limited customer's use was last told, monotonic, and the use."""
    mean_usage: float = 0.0
    mean_at_s: float = -math.inf

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
        waits as long as its caller, if it is none.
        """
        times = max(self.rates.count(customer.name, now), self._times_usual(customer, usage, now))
        beyond = max(0.0, draw * times - 1.0)
        if returning:
            return RETURNING_EXCESS_SHARE if beyond else math.inf
        priority = max(MIN_PRIORITY_SHARE, FULL_SHARE - PRIORITY_STEP * max(0, less_urgent))
        return priority * max(MIN_EXCESS_SHARE, FULL_SHARE - EXCESS_STEP * beyond)

    def _times_usual(self, customer: Customer, usage: float, now: float) -> float:
        """Return the use of a limit in times the mean of all customers."""
        if usage <= 0 or not customer.limited:
            return 1.0
        self.used[customer.name] = (now, usage)
        if now - self.mean_at_s >= MEAN_INTERVAL_S:
            known = {name: one for name, one in self.used.items() if now - one[0] <= KNOWN_USE_S}
            self.used, self.mean_at_s = known, now
            self.mean_usage = sum(used for _, used in known.values()) / len(known)
        by_chance = math.sqrt(usage / (customer.rate_per_s * USAGE_WINDOW_S))
        return (usage - by_chance) / max(MIN_USUAL_USAGE, self.mean_usage)
