"""Count the work at endpoints: own requests, what other nodes tell, and what answers show.

Pure: every method takes the time as monotonic seconds.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from parsleyrouter.ids import EndpointId, ServiceName
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.fleet_loads import EndpointUse, FleetLoads
from parsleyrouter.request.ejection import EjectionOptions, EndpointEjector
from parsleyrouter.request.placement import Candidate

__all__ = ["EndpointLoads"]

MAX_SILENCE_S = 0.4
"""How long an engine with requests under way may send nothing; a step takes milliseconds."""

EWMA_WEIGHT = 0.1
"""Weight of one observation in the running means."""

DEFAULT_SERVICE_S = 0.5
"""Service time assumed before the first answer."""

MAX_SLOWNESS = 8.0
MIN_SLOWNESS = 0.7
"""Bounds of the slowness that is believed, as multiples of the usual service time."""

REPORT_TTL_S = 0.6
"""How long an endpoint's own count of its requests is believed, about the length of a request."""

REPORT_TOLERANCE = 2
"""Requests by which a report may differ from what the nodes count: some are on their way."""

EJECTION_OPTIONS = EjectionOptions(failures_in_row=2, first_s=0.6, longest_s=4.0, return_s=2.0)
"""Short ejections: registrations tell of lasting losses within a few seconds."""


@dataclass
class _Observed:
    """What answers showed of one endpoint."""

    last_activity_s: float = 0.0
    waiting_since_s: float = 0.0
    in_flight: int = 0
    service_s: float = 0.0
    foreign: int = 0
    """Requests that the endpoint reports and no node counts, such as those of a lost node."""
    reported_s: float = -REPORT_TTL_S


@dataclass
class EndpointLoads:
    """Hold what this process believes of the work at endpoints."""

    random: Random = field(default_factory=Random)
    own: dict[EndpointId, EndpointUse] = field(default_factory=dict)
    waiting_items: int = 0
    """Batch items of this node that wait for a slot."""
    fleet: FleetLoads = field(default_factory=FleetLoads)
    observed: dict[EndpointId, _Observed] = field(default_factory=dict)
    service_s: dict[ServiceName, float] = field(default_factory=dict)
    ejector: EndpointEjector = field(default_factory=lambda: EndpointEjector(EJECTION_OPTIONS))
    on_own_change: list[Callable[[], object]] = field(default_factory=list)

    def begin(self, endpoint: EndpointId, *, batch: bool, now: float) -> None:
        """Count a request that is being sent."""
        use = self.own.setdefault(endpoint, EndpointUse())
        use.batch += batch
        use.online += not batch
        observed = self.observed.setdefault(endpoint, _Observed())
        if not observed.in_flight:
            observed.waiting_since_s = now
        observed.in_flight += 1
        self._changed()

    def end(self, endpoint: EndpointId, *, batch: bool) -> None:
        """Count a request that has ended."""
        use = self.own[endpoint]
        use.batch -= batch
        use.online -= not batch
        if not use.online and not use.batch:
            del self.own[endpoint]
        self.observed[endpoint].in_flight -= 1
        self._changed()

    def heard(self, endpoint: EndpointId, now: float) -> None:
        """Take note that an endpoint sent something."""
        self.observed[endpoint].last_activity_s = now

    def reported(self, endpoint: EndpointId, present: int, now: float) -> None:
        """Take an endpoint's own count of the requests that run or wait there."""
        use = self.use(endpoint, now)
        observed = self.observed[endpoint]
        observed.foreign = max(0, present - use.online - use.batch - REPORT_TOLERANCE)
        observed.reported_s = now

    def served(self, endpoint: EndpointId, service: ServiceName, took_s: float, now: float) -> None:
        """Learn from a whole answer."""
        self.ejector.record_success(endpoint, now)
        mean_s = self.service_s.get(service, took_s)
        self.service_s[service] = mean_s + EWMA_WEIGHT * (took_s - mean_s)
        observed = self.observed[endpoint]
        observed.service_s += (
            EWMA_WEIGHT * (took_s - observed.service_s) if observed.service_s else took_s
        )

    def failed(self, endpoint: EndpointId, now: float) -> None:
        """Take note of a failure that was the endpoint's own."""
        self.ejector.record_failure(endpoint, now)

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is gone, or that has started anew."""
        self.ejector.health.pop(endpoint, None)
        observed = self.observed.get(endpoint)
        if observed is not None and not observed.in_flight:
            del self.observed[endpoint]

    def usual_s(self, service: ServiceName) -> float:
        """Return the usual service time in seconds."""
        return self.service_s.get(service, DEFAULT_SERVICE_S)

    def use(self, endpoint: EndpointId, now: float) -> EndpointUse:
        """Return the requests of all nodes at an endpoint."""
        total = self.fleet.use(endpoint, now)
        own = self.own.get(endpoint)
        if own is not None:
            total.add(own)
        return total

    def present(self, endpoint: EndpointId, now: float) -> EndpointUse:
        """Return the requests at an endpoint, those included that only it knows of."""
        use = self.use(endpoint, now)
        observed = self.observed.get(endpoint)
        if observed is not None and now - observed.reported_s < REPORT_TTL_S:
            use.online += observed.foreign
        return use

    def candidates(self, entries: Iterable[RegisteredEndpoint], now: float) -> list[Candidate]:
        """Return the endpoints with their loads."""
        known = list(entries)
        usable = self.ejector.select_usable([one.endpoint for one in known], now, self.random)
        return [self._candidate(entry, entry.endpoint not in usable, now) for entry in known]

    def is_silent(self, endpoint: EndpointId, now: float) -> bool:
        """Tell whether an endpoint owes answers and has sent nothing for a while."""
        observed = self.observed.get(endpoint)
        if observed is None or not observed.in_flight:
            return False
        return now - max(observed.last_activity_s, observed.waiting_since_s) > MAX_SILENCE_S

    def _changed(self) -> None:
        for callback in self.on_own_change:
            callback()

    def _candidate(self, entry: RegisteredEndpoint, ejected: bool, now: float) -> Candidate:
        use = self.present(entry.endpoint, now)
        return Candidate(
            endpoint=entry.endpoint,
            domain=entry.domain,
            slots=entry.slots,
            online=use.online,
            batch=use.batch,
            slowness=self._slowness(entry),
            avoided=ejected or self.is_silent(entry.endpoint, now),
        )

    def _slowness(self, entry: RegisteredEndpoint) -> float:
        usual_s = self.service_s.get(entry.service, 0.0)
        observed = self.observed.get(entry.endpoint)
        if not usual_s or observed is None or not observed.service_s:
            return 1.0
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, observed.service_s / usual_s))
