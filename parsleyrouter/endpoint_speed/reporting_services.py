"""Decide for which services the speed of endpoints is learnt and used."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from parsleyrouter.ids import ServiceName

__all__ = ["ReportingServices"]


@dataclass
class ReportingServices:
    """The services of which an endpoint has reported how slow it is.

    Elsewhere the times of answers alone are too weak a hint to move requests between endpoints.
    """

    services: set[ServiceName] = field(default_factory=set)

    def __contains__(self, service: ServiceName) -> bool:
        return service in self.services

    def add(self, service: ServiceName) -> None:
        """Record that an endpoint of a service has reported how slow it is, or as usual."""
        self.services.add(service)

    def retain(self, services: Iterable[ServiceName]) -> None:
        """Drop the services that have no endpoints any more."""
        self.services.intersection_update(services)
