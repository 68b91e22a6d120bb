"""Callers of one customer at the real limiters and holders of some nodes, in virtual time."""

import heapq
import math
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any

from parsleyrouter.customers import Customer, Customers
from parsleyrouter.ids import Address, CustomerName, DomainName, NodeId, ShareId
from parsleyrouter.limits.holder import ShareAnswer, ShareHolder
from parsleyrouter.limits.limiter import FleetLimiter
from parsleyrouter.limits.shares import ShareRecord, group_of, shares_of
from parsleyrouter.outcome import Refusal
from parsleyrouter.process.loop import Promise

CUSTOMER = CustomerName("ant")
DEADLINE_S = 5.0
CALM_FACTOR = 0.3
NETWORK_S = 0.02
"""Longest time for a caller to come back beside the delay that it was told."""


@dataclass
class Demand:
    """What callers of the customer send."""

    rate_per_s: float
    burst: float
    factor: float
    """Requests for each one that the limit allows."""
    entries: int
    """Nodes to which the callers come."""
    returning: float
    """Share of the refused callers that return when they are told."""
    seed: int
    hot_s: float = math.inf
    """Time after which it sends ``CALM_FACTOR`` instead."""


@dataclass
class DemandPlay:
    """Four nodes, each with a limiter and one share, and the answers to callers."""

    demand: Demand
    now: float = 0.0
    granted: list[float] = field(default_factory=list)
    returned: list[bool] = field(default_factory=list)
    """Whether each caller that returned got a permit."""
    at_once: int = 0
    """Permits of callers that had not been refused before."""

    def __post_init__(self) -> None:
        one = self.demand
        self.random = Random(one.seed)
        customer = Customer(CUSTOMER, one.rate_per_s, one.burst)
        self.holders: dict[Address, ShareHolder] = {}
        self.records: dict[ShareId, ShareRecord] = {}
        for number, share in enumerate(shares_of(group_of(CUSTOMER))):
            address = Address(f"10.0.0.{number + 1}:1")
            holder = self.holders[address] = ShareHolder(lambda share, now: True)
            holder.set_customers(Customers.of([(customer, [])]), 0.0)
            holder.begin(share, 0.0, generous=True)
            node, domain = NodeId(f"n{number}"), DomainName("abc"[number % 3])
            self.records[share] = ShareRecord(node, 1, address, domain, 1)
        view: Any = SimpleNamespace(holders=lambda _: self.records, proof_age_s=lambda: 0.0)
        metrics: Any = SimpleNamespace(count=lambda outcome, customer: None)
        calls: Any = SimpleNamespace(ask=self._ask)
        self.limiters = [
            FleetLimiter(
                record.node,
                record.domain,
                calls,
                view,
                lambda _: customer,
                metrics,
                lambda: self.now,
                self.random,
            )
            for record in self.records.values()
        ]

    def _ask(
        self, address: Address, share: ShareId, customer: CustomerName, **named: Any
    ) -> Promise[ShareAnswer | None]:
        loop: Any = SimpleNamespace()
        promise: Promise[ShareAnswer | None] = Promise(loop)
        promise.resolve(self.holders[address].take(share, customer, self.now, **named))
        return promise

    def run(self, time_s: float) -> None:
        """Let callers come for some time."""
        one = self.demand
        events = [(at_s, number, False) for number, at_s in enumerate(self._arrivals(time_s))]
        heapq.heapify(events)
        while events and events[0][0] <= time_s:
            self.now, number, returning = heapq.heappop(events)
            refusal = self._acquire(number, returning)
            if returning:
                self.returned.append(refusal is None)
            if refusal is None:
                self.granted.append(self.now)
                self.at_once += not returning
                continue
            assert refusal.retry_after_s is not None
            if not returning and self.random.random() < one.returning:
                back_s = refusal.retry_after_s + self.random.uniform(0.0, NETWORK_S)
                heapq.heappush(events, (self.now + back_s, number, True))

    def _arrivals(self, time_s: float) -> list[float]:
        """Return times at even distances, each moved by chance."""
        one = self.demand
        arrivals, at_s = [], 0.0
        while at_s < time_s:
            factor = one.factor if at_s < one.hot_s else CALM_FACTOR
            pause_s = 1.0 / (one.rate_per_s * factor)
            arrivals.append(at_s + pause_s * self.random.random())
            at_s += pause_s
        return arrivals

    def _acquire(self, number: int, returning: bool) -> Refusal | None:
        limiter = self.limiters[number % self.demand.entries]
        left_s = DEADLINE_S * (0.6 if returning else 1.0)
        asking = limiter.acquire(CUSTOMER, left_s=left_s, returning=returning)
        try:
            asking.send(None)
        except StopIteration as done:
            return done.value if isinstance(done.value, Refusal) else None
        raise AssertionError("an answered ask waits")
