"""Play callers of many customers against endpoints with room for the usual load."""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from parsleyrouter.contention import QueueShares
from parsleyrouter.customers import Customer
from parsleyrouter.ids import CustomerName
from parsleyrouter.request.admission import Refuse, admit, is_retry

TARGET_S = 0.5
TIMEOUT_S = 3.0
SERVICE_S = 0.15
RETRY_CREDIT = 0.75
"""Credit of a request that was refused, and served within its target from the new attempt."""

LATE_CREDIT = 0.5
WARM_UP_S = 30.0
HOT_S = 20.0
NODES = 8
USAGE_S = 3.0


@dataclass
class Load:
    """The usual rates of customers, and what one of them does for ``HOT_S`` after the warm-up."""

    rates: list[float]
    use: float
    """The usual load as a share of the slots."""
    hot_times: float = 1.0
    """Times the usual rate that the first customer sends while it is hot."""
    limit_times: float = 0.0
    """Limit of each customer, in times its usual rate; 0 without limits."""
    all_times: float = 1.0
    """Times the usual rate that all send in the hot time."""

    @property
    def slots(self) -> int:
        return max(1, round(sum(self.rates) * SERVICE_S / self.use))


@dataclass
class Request:
    customer: int
    first_s: float
    refused: bool = False


@dataclass
class Bucket:
    """The limit of one customer over all nodes."""

    rate: float
    tokens: float
    at_s: float = 0.0
    recent: float = 0.0

    def take(self, now: float) -> float | None:
        """Return the use of the limit, ``None`` if there is no token."""
        passed_s = now - self.at_s
        self.tokens = min(self.rate, self.tokens + passed_s * self.rate)
        self.recent *= 2.718281828 ** (-passed_s / USAGE_S)
        self.at_s = now
        if self.tokens < 1:
            return None
        self.tokens -= 1
        self.recent += 1
        return min(1.0, self.recent / USAGE_S / self.rate)


@dataclass
class Outcome:
    """Credit of the requests that began while the customer was hot, by customer."""

    credit: dict[int, list[float]] = field(default_factory=dict)

    def mean(self, customers: Iterator[int] | range) -> float:
        """Return the mean credit of some customers' requests."""
        known = [one for customer in customers for one in self.credit.get(customer, ())]
        return sum(known) / len(known)


class Play:
    """Endpoints that admit in order of arrival, and nodes that decide by their estimate."""

    def __init__(self, load: Load, seed: int, *, with_part: bool) -> None:
        self.load, self.with_part = load, with_part
        self.arrivals = [Random(f"{seed} {number}") for number in range(len(load.rates))]
        """Draws by customer: the others send the same requests in each play of a seed."""
        self.choices = Random(seed)
        self.nodes = [QueueShares() for _ in range(NODES)]
        self.customers = [
            Customer(CustomerName(f"c{number}"), rate_per_s=load.limit_times * rate)
            for number, rate in enumerate(load.rates)
        ]
        self.buckets = [Bucket(one.rate_per_s, one.rate_per_s) for one in self.customers]
        self.free_at = [0.0] * load.slots
        self.queued: list[float] = []
        """When each request that waits begins."""
        self.outcome = Outcome()
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Request]] = []

    def run(self) -> Outcome:
        """Play until all requests have ended."""
        for customer, rate in enumerate(self.load.rates):
            self._schedule(customer, rate)
        while self.events:
            now, _, request = heapq.heappop(self.events)
            self._arrive(request, now)
        return self.outcome

    def _schedule(self, customer: int, rate: float) -> None:
        now, end_s = 0.0, WARM_UP_S + HOT_S
        while now < end_s:
            hot = now >= WARM_UP_S
            times = self.load.hot_times if customer == 0 else 1.0
            now += self.arrivals[customer].expovariate(
                rate * (times * self.load.all_times if hot else 1.0)
            )
            self._push(now, Request(customer, now))

    def _push(self, at_s: float, request: Request) -> None:
        heapq.heappush(self.events, (at_s, next(self.numbers), request))

    def _arrive(self, request: Request, now: float) -> None:
        customer = self.customers[request.customer]
        left_s = request.first_s + TIMEOUT_S - now
        usage = 0.0
        if customer.limited:
            used = self.buckets[request.customer].take(now)
            if used is None:
                if not request.refused:
                    self._retry(request, now, left_s / 4)
                return  # Beyond the limit nothing is owed.
            usage = used
        share = None
        if self.with_part:
            share = self.choices.choice(self.nodes).share(
                customer,
                usage=usage,
                less_urgent=0,
                returning=is_retry(left_s, TIMEOUT_S),
                draw=self.choices.random(),
                now=now,
            )
        verdict = admit(
            wait_s=self._estimate_s(now),
            target_s=TARGET_S,
            left_s=left_s,
            allowed_s=TIMEOUT_S,
            spread=self.choices.random(),
            wait_share=share,
        )
        if isinstance(verdict, Refuse):
            if request.refused:
                self._note(request, 0.0)
            else:
                self._retry(request, now, verdict.retry_after_s)
            return
        ends_s = self._serve(now)
        if ends_s - request.first_s <= TARGET_S and not request.refused:
            self._note(request, 1.0)
        elif ends_s - now <= TARGET_S:
            self._note(request, RETRY_CREDIT)
        else:
            self._note(request, LATE_CREDIT if ends_s < request.first_s + TIMEOUT_S else 0.0)

    def _retry(self, request: Request, now: float, after_s: float) -> None:
        self._push(now + after_s, Request(request.customer, request.first_s, refused=True))

    def _estimate_s(self, now: float) -> float:
        """Estimate the wait as nodes do: by the number of requests beyond the slots."""
        self.queued = [begins_s for begins_s in self.queued if begins_s > now]
        if min(self.free_at) <= now:
            return 0.0
        return (len(self.queued) + 1) * SERVICE_S / self.load.slots

    def _serve(self, now: float) -> float:
        begins_s = max(now, heapq.heappop(self.free_at))
        if begins_s > now:
            self.queued.append(begins_s)
        ends_s = begins_s + self.choices.gammavariate(4.0, SERVICE_S / 4.0)
        heapq.heappush(self.free_at, ends_s)
        return ends_s

    def _note(self, request: Request, credit: float) -> None:
        if request.first_s >= WARM_UP_S:
            self.outcome.credit.setdefault(request.customer, []).append(credit)
