"""Decide by the forecasts of all services which slots batch items leave free."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from parsleyrouter.demand.step_forecast import StepForecast
from parsleyrouter.ids import ServiceName

__all__ = ["DemandForecasts"]

MARGIN_SHARE = 0.125
"""Share of the slots kept beside what a step needs, since requests are not spread evenly."""

MAX_LASTING_SHARE = 0.875
"""Largest share of the slots that batch items leave free all the time, without a known period."""

URGENT_FACTOR = 3.0
URGENT_S = 6.0
"""An item is urgent if its job is due in less than this multiple of its work left, or this time."""


@dataclass
class DemandForecasts:
    """The forecast of each service."""

    services: dict[ServiceName, StepForecast] = field(default_factory=dict)

    def record(self, service: ServiceName, online: int, slots: int, now: float) -> None:
        """Record the online requests at all endpoints of a service."""
        if slots > 0:
            self.services.setdefault(service, StepForecast()).record(online / slots, slots, now)

    def retain(self, services: Iterable[ServiceName]) -> None:
        """Drop the services that have no endpoints any more."""
        kept = set(services)
        self.services = {name: one for name, one in self.services.items() if name in kept}

    def reserved_share(
        self, service: ServiceName, *, needed_s: float, left_s: float, now: float
    ) -> float:
        """Return the share of an endpoint's slots that an item leaves to online requests.

        The item still needs ``needed_s`` at an endpoint, and its job is due in ``left_s``.
        """
        forecast = self.services.get(service)
        outlook = forecast.outlook(now) if forecast is not None else None
        if outlook is None or needed_s < outlook.in_s:
            return 0.0
        if self.is_urgent(needed_s, left_s):
            return 0.0
        most = 1.0 if outlook.is_regular else MAX_LASTING_SHARE
        return min(most, outlook.needed_share + MARGIN_SHARE)

    @staticmethod
    def is_urgent(needed_s: float, left_s: float) -> bool:
        """Return whether an item with this work and time left takes any free slot."""
        return left_s < max(URGENT_S, URGENT_FACTOR * needed_s)
