"""The rule by which endpoints were chosen before their speed was learnt."""

from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random

from parsleyrouter.ids import DomainName, EndpointId, ServiceName
from parsleyrouter.request.placement import PlacementCandidate


@dataclass
class FormerSpeeds:
    """Mean durations of whole responses, by endpoint and by service."""

    endpoints: dict[EndpointId, float] = field(default_factory=dict)
    services: dict[ServiceName, float] = field(default_factory=dict)

    def record(self, endpoint: EndpointId, service: ServiceName, took_s: float) -> None:
        """Record the duration of a whole response."""
        mean_s = self.services.get(service, took_s)
        self.services[service] = mean_s + 0.1 * (took_s - mean_s)
        known_s = self.endpoints.get(endpoint)
        self.endpoints[endpoint] = (
            known_s + 0.1 * (took_s - known_s) if known_s is not None else took_s
        )

    def slowness(self, endpoint: EndpointId, service: ServiceName) -> float:
        """Return the mean duration at an endpoint over that of its service, within bounds."""
        if service not in self.services or endpoint not in self.endpoints:
            return 1.0
        return min(8.0, max(0.7, self.endpoints[endpoint] / self.services[service]))


def former_costs(one: PlacementCandidate, slowness: float, domain: DomainName) -> float:
    """Return the cost of an endpoint but for its random part."""
    cost = (one.online + 0.5 * one.batch + 1) / one.slots * slowness
    if not one.free:
        cost += 0.25
    cost += max(0, one.online + 1 - one.slots) * slowness
    cost += 0.0 if one.domain == domain else 0.1
    return cost


def former_choice(
    candidates: Collection[PlacementCandidate],
    slowness: dict[EndpointId, float],
    domain: DomainName,
    random: Random,
) -> EndpointId:
    """Return the endpoint of least cost, with a random part of 0.03 at most."""
    return min(
        candidates,
        key=lambda one: (
            former_costs(one, slowness[one.endpoint], domain) + 0.03 * random.random()
        ),
    ).endpoint


def former_batch_choice(
    candidates: Collection[PlacementCandidate], slowness: dict[EndpointId, float]
) -> EndpointId | None:
    """Return the endpoint with the most free slots over its slowness, if any slot is free."""
    free = [one for one in candidates if one.free]
    best = max(free, key=lambda one: one.free / slowness[one.endpoint], default=None)
    return best.endpoint if best is not None else None
