"""Eject endpoints that fail repeatedly, and ramp their traffic up again afterwards."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from parsleyrouter.ids import EndpointId

__all__ = ["EjectionOptions", "EndpointEjector"]


@dataclass(frozen=True)
class EjectionOptions:
    """Thresholds and times of ejection; times are in seconds.

    An ejection lasts ``first_s``, doubled for each further one up to ``longest_s``; the share of
    traffic then rises over ``return_s``.
    """

    failures_in_row: int = 5
    first_s: float = 5.0
    longest_s: float = 120.0
    return_s: float = 10.0
    least_share: float = 0.5
    """Fraction of the candidates that always stays in use."""


@dataclass
class _Health:
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    ejected: bool = False


@dataclass
class EndpointEjector:
    """Count the consecutive failures of each endpoint that this process sees."""

    options: EjectionOptions = EjectionOptions()
    health: dict[EndpointId, _Health] = field(default_factory=dict)

    def record_success(self, endpoint: EndpointId, now: float) -> None:
        """Record a success, which clears the history ``return_s`` after the last ejection."""
        health = self.health.get(endpoint)
        if health is None:
            return
        health.failures = 0
        if now >= health.ejected_until_s + self.options.return_s:
            del self.health[endpoint]

    def record_failure(self, endpoint: EndpointId, now: float) -> None:
        """Record a failure caused by the endpoint."""
        health = self.health.setdefault(endpoint, _Health())
        if now < health.ejected_until_s:
            return
        health.failures += 1
        returning = health.ejected and now < health.ejected_until_s + self.options.return_s
        if health.failures >= self.options.failures_in_row or returning:
            length_s = self.options.first_s * 2**health.ejections
            health.ejected_until_s = now + min(self.options.longest_s, length_s)
            health.ejections += 1
            health.failures = 0
            health.ejected = True

    def traffic_share(self, endpoint: EndpointId, now: float) -> float:
        """Return the fraction of its normal traffic that an endpoint gets, from 0 to 1."""
        health = self.health.get(endpoint)
        if health is None or not health.ejected:
            return 1.0
        if now < health.ejected_until_s:
            return 0.0
        return min(1.0, 0.1 + (now - health.ejected_until_s) / self.options.return_s)

    def select_usable(
        self, endpoints: Iterable[EndpointId], now: float, random: Random
    ) -> set[EndpointId]:
        """Return the endpoints to choose from, at random by traffic share.

        If fewer than ``least_share`` are drawn, the healthiest are added.
        """
        listed = list(endpoints)
        weights = {endpoint: self.traffic_share(endpoint, now) for endpoint in listed}
        selected = {endpoint for endpoint in listed if random.random() < weights[endpoint]}
        min_usable = max(1, round(len(listed) * self.options.least_share)) if listed else 0
        if len(selected) < min_usable:
            listed.sort(key=lambda endpoint: (-weights[endpoint], self._ejected_until_s(endpoint)))
            selected.update(listed[:min_usable])
        return selected

    def _ejected_until_s(self, endpoint: EndpointId) -> float:
        health = self.health.get(endpoint)
        return health.ejected_until_s if health else 0.0
