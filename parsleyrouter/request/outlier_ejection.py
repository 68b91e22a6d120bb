"""Keep requests away from endpoints that keep failing, and let them return by degrees."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from parsleyrouter.ids import EndpointId

__all__ = ["EjectionOptions", "Ejections"]


@dataclass(frozen=True)
class EjectionOptions:
    """When to eject; times are in seconds."""

    failures_in_row: int = 5
    first_s: float = 5.0
    longest_s: float = 120.0
    return_s: float = 10.0
    least_share: float = 0.5
    """Part of the candidates that always stays in use."""


@dataclass
class _Health:
    failures: int = 0
    times: int = 0
    until_s: float = 0.0
    ejected: bool = False


@dataclass
class Ejections:
    """Count failures in a row of each endpoint as this process sees them."""

    options: EjectionOptions = EjectionOptions()
    health: dict[EndpointId, _Health] = field(default_factory=dict)

    def succeeded(self, endpoint: EndpointId, now: float) -> None:
        """Take note of an answer; a whole time without failures clears the record."""
        health = self.health.get(endpoint)
        if health is None:
            return
        health.failures = 0
        if now >= health.until_s + self.options.return_s:
            del self.health[endpoint]

    def failed(self, endpoint: EndpointId, now: float) -> None:
        """Take note of a failure that was the endpoint's own."""
        health = self.health.setdefault(endpoint, _Health())
        if now < health.until_s:
            return
        health.failures += 1
        returning = health.ejected and now < health.until_s + self.options.return_s
        if health.failures >= self.options.failures_in_row or returning:
            length_s = self.options.first_s * 2**health.times
            health.until_s = now + min(self.options.longest_s, length_s)
            health.times += 1
            health.failures = 0
            health.ejected = True

    def weight(self, endpoint: EndpointId, now: float) -> float:
        """Return the part of its usual requests that an endpoint gets, from 0 to 1."""
        health = self.health.get(endpoint)
        if health is None or not health.ejected:
            return 1.0
        if now < health.until_s:
            return 0.0
        return min(1.0, 0.1 + (now - health.until_s) / self.options.return_s)

    def usable(
        self, endpoints: Iterable[EndpointId], now: float, random: Random
    ) -> set[EndpointId]:
        """Return those to choose from; never fewer than the least share, the healthiest first."""
        every = list(endpoints)
        weights = {endpoint: self.weight(endpoint, now) for endpoint in every}
        chosen = {endpoint for endpoint in every if random.random() < weights[endpoint]}
        least = max(1, round(len(every) * self.options.least_share)) if every else 0
        if len(chosen) < least:
            every.sort(key=lambda endpoint: (-weights[endpoint], self._until_s(endpoint)))
            chosen.update(every[:least])
        return chosen

    def _until_s(self, endpoint: EndpointId) -> float:
        health = self.health.get(endpoint)
        return health.until_s if health else 0.0
