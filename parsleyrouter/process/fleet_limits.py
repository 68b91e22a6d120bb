"""Share the limits that endpoints name among all nodes; performs no I/O.

An endpoint in need names the requests per second that it takes from all nodes together. Every node
counts the requests of all of them: its own at once, those of others from their reports. Permits
accrue at the limit and each request uses one, so that requests which several nodes send before they
have heard of each other leave a debt, and later ones wait for it. Times are monotonic seconds.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from parsleyrouter.decoding import MAX_COUNT
from parsleyrouter.ids import EndpointId, NodeId
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint

__all__ = ["FleetLimits", "LimitReport", "LimitedRequest", "parse_limit"]

MIN_PER_S = 0.05
"""Lowest rate at which permits accrue: an endpoint that gets no request cannot end its limit."""

CAPACITY = 2.0
CAPACITY_S = 1.5
"""Permits kept for a burst: two, and those of this time. With those that accrue in the four
seconds over which a limit is judged they are 5.5 times the limit and two; six times and five are
allowed."""

BATCH_RESERVE = 0.5
"""Share of the kept permits that batch items leave to online requests."""

NO_PERMITS = -1.0
"""Permits of a node that holds no share of the limits, such as one on standby."""

ENDED_RETENTION_S = 5.0
"""How long nodes tell each other that a limit has ended."""

RETENTION_S = 600.0
"""How long a limit is kept after its endpoint last named it; registrations may be gone for a while
although their endpoints are alive."""

MAX_HEARD_LIMITS = 2048
"""Limits that are kept because other nodes report them."""

MAX_HEARD_COUNTS = 40_000
"""Counts of other nodes that are kept, over all limits."""

MAX_REPORTED_CHARACTERS = 30_000
ROW_CHARACTERS = 30
"""Limits in one report, which has to fit a datagram: characters of their names and numbers."""

SHARE_INTERVAL_S = 0.1
"""How long the share that this node accrues is used before it is computed again."""

SETTLING_S = 1.0
"""Time after a limit was first heard of in which counts of other nodes may be from before."""


class LimitedRequest(Enum):
    """Kinds of online requests to limited endpoints, by the permits that must be left for them."""

    CONTINUED = 0
    """A request that has failed at another endpoint, or that comes back after a refusal."""
    NEW = 1


@dataclass(frozen=True)
class LimitReport:
    """What one node says of one limited endpoint."""

    endpoint: EndpointId
    started_ms: int
    per_s: float | None
    """``None`` if the limit has ended."""
    said_s: float
    """When the endpoint said so; monotonic, here."""
    sent: int
    """Requests that the node has sent since it knows of the limit."""


@dataclass
class _Limit:
    """State of one endpoint that names a limit, or did so lately."""

    started_ms: int
    per_s: float | None
    said_s: float
    known_s: float
    updated_s: float
    permits: float = 0.0
    sent: int = 0
    others: dict[NodeId, tuple[int, int]] = field(default_factory=dict)
    """Start of each other node and the requests that it has reported."""


@dataclass
class FleetLimits:
    """The limits in force and the permits that are left for them."""

    share: Callable[[], float] = lambda: 1.0
    """Returns the share of a limit that the nodes hold of which this one hears, from 0 to 1."""
    limits: dict[EndpointId, _Limit] = field(default_factory=dict)
    current_share: float = 1.0
    share_until_s: float = 0.0
    on_change: Callable[[EndpointId, float | None], object] = lambda endpoint, per_s: None
    """Called when a limit begins, changes or ends."""

    def record_answer(self, entry: RegisteredEndpoint, per_s: float | None, now: float) -> None:
        """Record the limit that an answer names, ``None`` if it names none."""
        limit = self.limits.get(entry.endpoint)
        if per_s is not None or (limit is not None and limit.per_s is not None):
            self._apply_limit(entry.endpoint, entry.started_ms, per_s, now, now)

    def record_sent(self, endpoint: EndpointId, now: float) -> None:
        """Count a request that is about to be sent."""
        limit = self.limits.get(endpoint)
        if limit is not None:
            self._accrue(limit, now)
            limit.sent += 1
            limit.permits -= 1

    def permits(self, entry: RegisteredEndpoint, now: float) -> float:
        """Return the permits left for an endpoint; infinite without a limit."""
        limit = self._in_force(entry)
        if limit is None:
            return math.inf
        self._accrue(limit, now)
        return limit.permits if self.current_share else min(limit.permits, NO_PERMITS)

    def batch_permits(self, entry: RegisteredEndpoint, now: float) -> float:
        """Return the permits left for batch items; infinite without a limit."""
        limit = self._in_force(entry)
        if limit is None:
            return math.inf
        return self.permits(entry, now) - BATCH_RESERVE * self._capacity(limit)

    def wait_s(self, entry: RegisteredEndpoint, needed: float, now: float) -> float:
        """Return the time until ``needed`` permits will be left, 0 without a limit."""
        limit = self._in_force(entry)
        if limit is None:
            return 0.0
        missing = max(0.0, needed - self.permits(entry, now))
        rate = self._rate(limit)
        return missing / rate if rate else math.inf

    def rate(self, entry: RegisteredEndpoint) -> float:
        """Return the requests per second that the nodes may send; infinite without a limit."""
        limit = self._in_force(entry)
        return math.inf if limit is None else self._rate(limit)

    def apply_reports(
        self, node: NodeId, boot: int, reports: Iterable[LimitReport], now: float
    ) -> None:
        """Count the requests of another node and take over newer limits."""
        heard = sum(len(limit.others) for limit in self.limits.values())
        for report in reports:
            if report.endpoint not in self.limits and len(self.limits) >= MAX_HEARD_LIMITS:
                continue
            self._apply_limit(report.endpoint, report.started_ms, report.per_s, report.said_s, now)
            limit = self.limits.get(report.endpoint)
            if limit is None or limit.started_ms != report.started_ms:
                continue
            if node not in limit.others and heard >= MAX_HEARD_COUNTS:
                continue
            heard += node not in limit.others
            self._accrue(limit, now)
            former_boot, former = limit.others.get(node, (boot, None))
            if former is None and now - limit.known_s < SETTLING_S:
                former = report.sent
            elif former is None or former_boot != boot:
                former = 0
            limit.permits -= max(0, report.sent - former)
            limit.others[node] = (boot, max(former, report.sent))

    def reports(self, now: float) -> list[LimitReport]:
        """Return what this node tells the others."""
        for endpoint, limit in list(self.limits.items()):
            if now - limit.said_s > (ENDED_RETENTION_S if limit.per_s is None else RETENTION_S):
                del self.limits[endpoint]
        told: list[LimitReport] = []
        left = MAX_REPORTED_CHARACTERS
        for endpoint, limit in sorted(self.limits.items(), key=lambda one: -one[1].sent):
            left -= len(endpoint) + ROW_CHARACTERS
            if left < 0:
                break
            told.append(
                LimitReport(endpoint, limit.started_ms, limit.per_s, limit.said_s, limit.sent)
            )
        return told

    def in_force(self, entries: Iterable[RegisteredEndpoint]) -> int:
        """Return how many endpoints are limited."""
        return sum(self._in_force(entry) is not None for entry in entries)

    def sent(self) -> Mapping[EndpointId, int]:
        """Return the requests that this node has sent to limited endpoints."""
        return {endpoint: limit.sent for endpoint, limit in self.limits.items()}

    def _apply_limit(
        self,
        endpoint: EndpointId,
        started_ms: int,
        per_s: float | None,
        said_s: float,
        now: float,
    ) -> None:
        limit = self.limits.get(endpoint)
        if limit is None or limit.started_ms < started_ms:
            self.limits[endpoint] = _Limit(started_ms, per_s, said_s, now, now)
            self.on_change(endpoint, per_s)
        elif limit.started_ms == started_ms and limit.said_s < said_s:
            limit.said_s = said_s
            if limit.per_s != per_s:
                self._accrue(limit, now)
                if limit.per_s is None:
                    limit.permits, limit.known_s = 0.0, now
                limit.per_s = per_s
                self.on_change(endpoint, per_s)

    def _in_force(self, entry: RegisteredEndpoint) -> _Limit | None:
        limit = self.limits.get(entry.endpoint)
        if limit is None or limit.per_s is None or limit.started_ms < entry.started_ms:
            return None
        return limit

    def _rate(self, limit: _Limit) -> float:
        return max(MIN_PER_S, limit.per_s or 0.0) * self.current_share

    def _capacity(self, limit: _Limit) -> float:
        return CAPACITY + CAPACITY_S * self._rate(limit)

    def _accrue(self, limit: _Limit, now: float) -> None:
        if now >= self.share_until_s:
            self.current_share, self.share_until_s = self.share(), now + SHARE_INTERVAL_S
        gained = self._rate(limit) * max(0.0, now - limit.updated_s)
        limit.permits = min(self._capacity(limit), limit.permits + gained)
        limit.updated_s = now


def parse_limit(text: str | None) -> float | None:
    """Return the requests per second that a header names; ``None`` for no valid number."""
    try:
        value = float(text) if text else math.nan
    except ValueError:
        return None
    return value if 0 <= value <= MAX_COUNT else None
