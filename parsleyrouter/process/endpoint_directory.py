"""Know the endpoints by their registrations: the pure part of discovery.

Registrations lapse while the store is away although their endpoints live, so a removal counts only
when the store has been back for a while and the registration is still missing.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from parsleyrouter.ids import Address, DomainName, EndpointId, ServiceName

__all__ = ["EndpointDirectory", "REREGISTRATION_GRACE_S", "RegisteredEndpoint"]

REREGISTRATION_GRACE_S = 2.9
"""Seconds after the last failed call to the store in which living endpoints register again: two
after its return, which shows up to a call's timeout later."""


@dataclass(frozen=True)
class RegisteredEndpoint:
    """What an endpoint says of itself; ``born_ms`` tells its starts apart."""

    endpoint: EndpointId
    service: ServiceName
    address: Address
    domain: DomainName
    slots: int
    leaving: bool = False
    started_ms: int = 0
    cold_remaining_s: float = 0.0


@dataclass
class EndpointDirectory:
    """Hold the registrations that count; times are monotonic seconds."""

    endpoints: dict[EndpointId, RegisteredEndpoint] = field(default_factory=dict)
    missing: set[EndpointId] = field(default_factory=set)
    doubt_until_s: float = 0.0

    def record_store_failure(self, now: float) -> None:
        """Take note that the store does not answer; registrations may lapse meanwhile."""
        self.doubt_until_s = max(self.doubt_until_s, now + REREGISTRATION_GRACE_S)

    def put(self, entry: RegisteredEndpoint) -> RegisteredEndpoint | None:
        """Take a registration; return the former one if it was of another start or address."""
        former = self.endpoints.get(entry.endpoint)
        self.endpoints[entry.endpoint] = entry
        self.missing.discard(entry.endpoint)
        if former is None:
            return None
        same = former.started_ms == entry.started_ms and former.address == entry.address
        return None if same else former

    def mark_removed(self, endpoint: EndpointId, now: float) -> list[RegisteredEndpoint]:
        """Take note of a removal; return the endpoints that are gone."""
        if endpoint in self.endpoints:
            self.missing.add(endpoint)
        return self.drop_missing(now)

    def replace(
        self, entries: Mapping[EndpointId, RegisteredEndpoint], now: float
    ) -> list[RegisteredEndpoint]:
        """Take a whole listing; return the endpoints that are gone."""
        for entry in entries.values():
            self.put(entry)
        self.missing.update(self.endpoints.keys() - entries.keys())
        return self.drop_missing(now)

    def drop_missing(self, now: float) -> list[RegisteredEndpoint]:
        """Drop what is missing once the store has been back for long enough."""
        if now < self.doubt_until_s or not self.missing:
            return []
        gone = [self.endpoints.pop(endpoint) for endpoint in sorted(self.missing)]
        self.missing.clear()
        return gone

    def available_for(self, service: ServiceName) -> Iterable[RegisteredEndpoint]:
        """Return the endpoints of a service that take new work."""
        return [
            entry
            for entry in self.endpoints.values()
            if entry.service == service and not entry.leaving
        ]
