"""Count the work at endpoints: own requests, what other nodes tell, and what answers show.

Pure: every method takes the time as monotonic seconds.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from parsleyrouter.ids import EndpointId, ServiceName
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.fleet_loads import FleetLoads, RequestCounts
from parsleyrouter.request.outlier_ejection import EjectionOptions, Ejections
from parsleyrouter.request.placement import PlacementCandidate

__all__ = ["EndpointLoads"]

SILENCE_S = 0.4
"""How long an engine with requests under way may send nothing; a step takes milliseconds."""

LEARN_SHARE = 0.1
"""Weight of one observation in the running means."""

USUAL_SERVICE_S = 0.5
"""Service time assumed before the first answer."""

SLOWEST = 8.0
QUICKEST = 0.7
"""Bounds of the slowness that is believed, as multiples of the usual service time."""

REPORT_S = 0.6
"""How long an endpoint's own count of its requests is believed, about the length of a request."""

REPORT_SLACK = 2
"""Requests by which a report may differ from what the nodes count: some are on their way."""

EJECTION = EjectionOptions(failures_in_row=2, first_s=0.6, longest_s=4.0, return_s=2.0)
"""Short ejections: registrations tell of lasting losses within a few seconds."""


@dataclass
class _Seen:
    """What answers showed of one endpoint."""

    heard_s: float = 0.0
    waiting_since_s: float = 0.0
    under_way: int = 0
    service_s: float = 0.0
    foreign: int = 0
    """Requests that the endpoint reports and no node counts, such as those of a lost node."""
    reported_s: float = -REPORT_S


@dataclass
class EndpointLoads:
    """Hold what this process believes of the work at endpoints."""

    random: Random = field(default_factory=Random)
    own: dict[EndpointId, RequestCounts] = field(default_factory=dict)
    waiting_items: int = 0
    """Batch items of this node that wait for a slot."""
    fleet: FleetLoads = field(default_factory=FleetLoads)
    seen: dict[EndpointId, _Seen] = field(default_factory=dict)
    service_s: dict[ServiceName, float] = field(default_factory=dict)
    ejections: Ejections = field(default_factory=lambda: Ejections(EJECTION))
    on_own_change: list[Callable[[], object]] = field(default_factory=list)

    def request_started(self, endpoint: EndpointId, *, batch: bool, now: float) -> None:
        """Count a request that is being sent."""
        use = self.own.setdefault(endpoint, RequestCounts())
        use.batch += batch
        use.online += not batch
        seen = self.seen.setdefault(endpoint, _Seen())
        if not seen.under_way:
            seen.waiting_since_s = now
        seen.under_way += 1
        self._changed()

    def request_ended(self, endpoint: EndpointId, *, batch: bool) -> None:
        """Count a request that has ended."""
        use = self.own[endpoint]
        use.batch -= batch
        use.online -= not batch
        if not use.online and not use.batch:
            del self.own[endpoint]
        self.seen[endpoint].under_way -= 1
        self._changed()

    def record_activity(self, endpoint: EndpointId, now: float) -> None:
        """Take note that an endpoint sent something."""
        self.seen[endpoint].heard_s = now

    def record_report(self, endpoint: EndpointId, present: int, now: float) -> None:
        """Take an endpoint's own count of the requests that run or wait there."""
        use = self.fleet_use(endpoint, now)
        seen = self.seen[endpoint]
        seen.foreign = max(0, present - use.online - use.batch - REPORT_SLACK)
        seen.reported_s = now

    def record_success(
        self, endpoint: EndpointId, service: ServiceName, took_s: float, now: float
    ) -> None:
        """Learn from a whole answer."""
        self.ejections.succeeded(endpoint, now)
        mean_s = self.service_s.get(service, took_s)
        self.service_s[service] = mean_s + LEARN_SHARE * (took_s - mean_s)
        seen = self.seen[endpoint]
        seen.service_s += LEARN_SHARE * (took_s - seen.service_s) if seen.service_s else took_s

    def record_failure(self, endpoint: EndpointId, now: float) -> None:
        """Take note of a failure that was the endpoint's own."""
        self.ejections.failed(endpoint, now)

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is gone, or that has started anew."""
        self.ejections.health.pop(endpoint, None)
        seen = self.seen.get(endpoint)
        if seen is not None and not seen.under_way:
            del self.seen[endpoint]

    def typical_service_s(self, service: ServiceName) -> float:
        """Return the usual service time in seconds."""
        return self.service_s.get(service, USUAL_SERVICE_S)

    def fleet_use(self, endpoint: EndpointId, now: float) -> RequestCounts:
        """Return the requests of all nodes at an endpoint."""
        total = self.fleet.counts_at(endpoint, now)
        own = self.own.get(endpoint)
        if own is not None:
            total.add(own)
        return total

    def total_use(self, endpoint: EndpointId, now: float) -> RequestCounts:
        """Return the requests at an endpoint, those included that only it knows of."""
        use = self.fleet_use(endpoint, now)
        seen = self.seen.get(endpoint)
        if seen is not None and now - seen.reported_s < REPORT_S:
            use.online += seen.foreign
        return use

    def candidates(
        self, entries: Iterable[RegisteredEndpoint], now: float
    ) -> list[PlacementCandidate]:
        """Return the endpoints with their loads."""
        every = list(entries)
        usable = self.ejections.usable([one.endpoint for one in every], now, self.random)
        return [self._candidate(entry, entry.endpoint not in usable, now) for entry in every]

    def silent(self, endpoint: EndpointId, now: float) -> bool:
        """Tell whether an endpoint owes answers and has sent nothing for a while."""
        seen = self.seen.get(endpoint)
        if seen is None or not seen.under_way:
            return False
        return now - max(seen.heard_s, seen.waiting_since_s) > SILENCE_S

    def _changed(self) -> None:
        for callback in self.on_own_change:
            callback()

    def _candidate(
        self, entry: RegisteredEndpoint, ejected: bool, now: float
    ) -> PlacementCandidate:
        use = self.total_use(entry.endpoint, now)
        return PlacementCandidate(
            endpoint=entry.endpoint,
            domain=entry.domain,
            slots=entry.slots,
            online=use.online,
            batch=use.batch,
            slowness=self._slowness(entry),
            avoided=ejected or self.silent(entry.endpoint, now),
        )

    def _slowness(self, entry: RegisteredEndpoint) -> float:
        usual_s = self.service_s.get(entry.service, 0.0)
        seen = self.seen.get(entry.endpoint)
        if not usual_s or seen is None or not seen.service_s:
            return 1.0
        return min(SLOWEST, max(QUICKEST, seen.service_s / usual_s))
