"""Estimate the load of endpoints from own requests, other nodes' counts and observed responses.

Performs no I/O; methods take the current time as monotonic seconds.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from parsleyrouter.demand import DemandForecasts
from parsleyrouter.endpoint_speed import EndpointSpeeds, ReportingServices, WorkClass
from parsleyrouter.ids import EndpointId, ServiceName
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.fleet_limits import FleetLimits
from parsleyrouter.process.fleet_loads import FleetLoads, RequestCounts
from parsleyrouter.request.outlier_ejection import EjectionOptions, EndpointEjector
from parsleyrouter.request.placement import PlacementCandidate

__all__ = ["EndpointLoads"]

INACTIVITY_TIMEOUT_S = 0.4
"""Longest time without output from an engine with requests in flight; a step takes milliseconds."""

EWMA_WEIGHT = 0.1
"""Weight of one observation in the moving averages."""

DEFAULT_SERVICE_S = 0.5
"""Service time assumed before the first response."""

MAX_DURATION_RATIO = 8.0
MIN_DURATION_RATIO = 0.7
"""Bounds of an endpoint's mean service time, as multiples of the typical one."""

REPORT_TTL_S = 0.6
"""Validity of an endpoint's own request count, about the duration of a request."""

REPORT_TOLERANCE = 2
"""Difference allowed between a report and the nodes' counts, for requests in transit."""

EJECTION_OPTIONS = EjectionOptions(failures_in_row=2, first_s=0.6, longest_s=4.0, return_s=2.0)
"""Ejections are short because registrations reveal lasting failures within a few seconds."""


@dataclass
class _Observed:
    """State of one endpoint as observed from its responses."""

    last_activity_s: float = 0.0
    waiting_since_s: float = 0.0
    in_flight: int = 0
    service_s: float = 0.0
    foreign: int = 0
    """Requests that the endpoint reports and no node counts, such as those of a failed node."""
    reported_s: float = -REPORT_TTL_S


@dataclass
class EndpointLoads:
    """Hold this process's estimate of the requests at each endpoint."""

    random: Random = field(default_factory=Random)
    own: dict[EndpointId, RequestCounts] = field(default_factory=dict)
    waiting_items: int = 0
    """Number of this node's batch items that wait for a slot."""
    fleet: FleetLoads = field(default_factory=FleetLoads)
    limits: FleetLimits = field(default_factory=FleetLimits)
    observed: dict[EndpointId, _Observed] = field(default_factory=dict)
    service_s: dict[ServiceName, float] = field(default_factory=dict)
    speeds: EndpointSpeeds = field(default_factory=EndpointSpeeds)
    reporting: ReportingServices = field(default_factory=ReportingServices)
    demand: DemandForecasts = field(default_factory=DemandForecasts)
    ejector: EndpointEjector = field(default_factory=lambda: EndpointEjector(EJECTION_OPTIONS))
    on_own_change: list[Callable[[], object]] = field(default_factory=list)

    def request_started(self, endpoint: EndpointId, *, batch: bool, now: float) -> None:
        """Count a request that is about to be sent."""
        use = self.own.setdefault(endpoint, RequestCounts())
        use.batch += batch
        use.online += not batch
        observed = self.observed.setdefault(endpoint, _Observed())
        if not observed.in_flight:
            observed.waiting_since_s = now
        observed.in_flight += 1
        self.limits.record_sent(endpoint, now)
        self._changed()

    def request_ended(self, endpoint: EndpointId, *, batch: bool) -> None:
        """Count a request that has ended."""
        use = self.own[endpoint]
        use.batch -= batch
        use.online -= not batch
        if not use.online and not use.batch:
            del self.own[endpoint]
        self.observed[endpoint].in_flight -= 1
        self._changed()

    def record_activity(self, endpoint: EndpointId, now: float) -> None:
        """Record that an endpoint sent data."""
        self.observed[endpoint].last_activity_s = now

    def record_report(self, endpoint: EndpointId, reported: int, now: float) -> None:
        """Record the number of running and queued requests that an endpoint reported."""
        use = self.fleet_use(endpoint, now)
        observed = self.observed[endpoint]
        observed.foreign = max(0, reported - use.online - use.batch - REPORT_TOLERANCE)
        observed.reported_s = now

    def record_success(
        self, endpoint: EndpointId, service: ServiceName, duration_s: float, now: float
    ) -> None:
        """Update service times and ejection state after a complete response."""
        self.ejector.record_success(endpoint, now)
        mean_s = self.service_s.get(service, duration_s)
        self.service_s[service] = mean_s + EWMA_WEIGHT * (duration_s - mean_s)
        observed = self.observed[endpoint]
        observed.service_s += (
            EWMA_WEIGHT * (duration_s - observed.service_s) if observed.service_s else duration_s
        )

    def record_work(
        self,
        entry: RegisteredEndpoint,
        work: WorkClass,
        took_s: float,
        weight: float,
        now: float,
    ) -> None:
        """Learn from the time of work, if the endpoints of the service report how slow they are."""
        if entry.service in self.reporting:
            self.speeds.record_work(entry.endpoint, entry.started_ms, work, took_s, weight, now)

    def record_failure(self, endpoint: EndpointId, now: float) -> None:
        """Record a failure caused by the endpoint."""
        self.ejector.record_failure(endpoint, now)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop the state of an endpoint that is gone or has restarted."""
        self.ejector.health.pop(endpoint, None)
        self.speeds.forget(endpoint)
        observed = self.observed.get(endpoint)
        if observed is not None and not observed.in_flight:
            del self.observed[endpoint]

    def typical_service_s(self, service: ServiceName) -> float:
        """Return the mean service time of a service."""
        return self.service_s.get(service, DEFAULT_SERVICE_S)

    def fleet_use(self, endpoint: EndpointId, now: float) -> RequestCounts:
        """Return the requests at an endpoint that the nodes count."""
        total = self.fleet.counts_at(endpoint, now)
        own = self.own.get(endpoint)
        if own is not None:
            total.add(own)
        return total

    def total_use(self, endpoint: EndpointId, now: float) -> RequestCounts:
        """Return the requests at an endpoint, including those that only the endpoint reports."""
        use = self.fleet_use(endpoint, now)
        observed = self.observed.get(endpoint)
        if observed is not None and now - observed.reported_s < REPORT_TTL_S:
            use.online += observed.foreign
        return use

    def candidates(
        self, entries: Iterable[RegisteredEndpoint], now: float
    ) -> list[PlacementCandidate]:
        """Return the endpoints as placement candidates with their loads."""
        known = list(entries)
        for entry in known:
            if self.speeds.has_report(entry.endpoint):
                self.reporting.add(entry.service)
        usable = self.ejector.select_usable([one.endpoint for one in known], now, self.random)
        return [self._candidate(entry, entry.endpoint not in usable, now) for entry in known]

    def record_demand(self, entries: Iterable[RegisteredEndpoint], now: float) -> None:
        """Record the online requests of each service for the forecast of its demand."""
        online: Counter[ServiceName] = Counter()
        slots: Counter[ServiceName] = Counter()
        for entry in entries:
            online[entry.service] += self.total_use(entry.endpoint, now).online
            slots[entry.service] += entry.slots
        self.demand.retain(slots)
        self.reporting.retain(slots)
        for service, count in slots.items():
            self.demand.record(service, online[service], count, now)

    def is_inactive(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint with requests in flight has sent nothing for too long."""
        observed = self.observed.get(endpoint)
        if observed is None or not observed.in_flight:
            return False
        return now - max(observed.last_activity_s, observed.waiting_since_s) > INACTIVITY_TIMEOUT_S

    def _changed(self) -> None:
        for callback in self.on_own_change:
            callback()

    def _candidate(
        self, entry: RegisteredEndpoint, ejected: bool, now: float
    ) -> PlacementCandidate:
        use = self.total_use(entry.endpoint, now)
        slowness = self.speeds.slowness(entry.endpoint, entry.started_ms, now)
        reports_speed = entry.service in self.reporting
        return PlacementCandidate(
            endpoint=entry.endpoint,
            domain=entry.domain,
            slots=entry.slots,
            online=use.online,
            batch=use.batch,
            slowness=slowness if reports_speed else self._duration_ratio(entry),
            by_durations=not reports_speed,
            avoided=ejected or self.is_inactive(entry.endpoint, now),
            permits=self.limits.permits(entry, now),
            batch_permits=self.limits.batch_permits(entry, now),
        )

    def _duration_ratio(self, entry: RegisteredEndpoint) -> float:
        typical_s = self.service_s.get(entry.service, 0.0)
        observed = self.observed.get(entry.endpoint)
        if not typical_s or observed is None or not observed.service_s:
            return 1.0
        ratio = observed.service_s / typical_s
        return min(MAX_DURATION_RATIO, max(MIN_DURATION_RATIO, ratio))
