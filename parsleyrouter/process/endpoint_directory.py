"""Track registered endpoints; performs no I/O.

Registrations expire while the store is unreachable although their endpoints are alive. A removal
therefore takes effect only if the registration is still missing some time after the store is back.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from parsleyrouter.ids import Address, DomainName, EndpointId, ServiceName

__all__ = ["REREGISTRATION_GRACE_S", "EndpointDirectory", "RegisteredEndpoint"]

REREGISTRATION_GRACE_S = 2.9
"""Time after the last failed store call in which live endpoints register again: they do so within
two seconds of the store's return, which is noticed up to one call timeout later."""


@dataclass(frozen=True)
class RegisteredEndpoint:
    """What an endpoint registers about itself; ``started_ms`` differs between its restarts."""

    endpoint: EndpointId
    service: ServiceName
    address: Address
    domain: DomainName
    slots: int
    leaving: bool = False
    started_ms: int = 0
    cold_remaining_s: float = 0.0


LEAVING_RETENTION_S = 3600.0
"""How long an endpoint that reported in an answer that it leaves counts as leaving; registrations
lag by seconds."""


@dataclass
class EndpointDirectory:
    """Hold the registrations in force; times are monotonic seconds."""

    endpoints: dict[EndpointId, RegisteredEndpoint] = field(default_factory=dict)
    missing: set[EndpointId] = field(default_factory=set)
    removals_deferred_until_s: float = 0.0
    reported_leaving: dict[EndpointId, tuple[int, float]] = field(default_factory=dict)
    """The latest start of each endpoint that reported in an answer that it leaves, and when it did.

    Kept beyond the registration, which may still, or again, be read as that of a ready endpoint.
    """

    def record_store_failure(self, now: float) -> None:
        """Defer removals, since registrations may expire while the store does not answer."""
        self.removals_deferred_until_s = max(
            self.removals_deferred_until_s, now + REREGISTRATION_GRACE_S
        )

    def put(self, entry: RegisteredEndpoint) -> RegisteredEndpoint | None:
        """Store a registration; return the previous one if the endpoint restarted or moved."""
        former = self.endpoints.get(entry.endpoint)
        self.endpoints[entry.endpoint] = entry
        self.missing.discard(entry.endpoint)
        if former is None:
            return None
        same = former.started_ms == entry.started_ms and former.address == entry.address
        return None if same else former

    def mark_removed(self, endpoint: EndpointId, now: float) -> list[RegisteredEndpoint]:
        """Mark a registration as removed; return the endpoints dropped now."""
        if endpoint in self.endpoints:
            self.missing.add(endpoint)
        return self.drop_missing(now)

    def replace(
        self, entries: Mapping[EndpointId, RegisteredEndpoint], now: float
    ) -> list[RegisteredEndpoint]:
        """Apply a full listing; return the endpoints dropped now."""
        for entry in entries.values():
            self.put(entry)
        self.missing.update(self.endpoints.keys() - entries.keys())
        return self.drop_missing(now)

    def drop_missing(self, now: float) -> list[RegisteredEndpoint]:
        """Drop and return the missing endpoints, unless removals are deferred."""
        if now < self.removals_deferred_until_s or not self.missing:
            return []
        dropped = [self.endpoints.pop(endpoint) for endpoint in sorted(self.missing)]
        self.missing.clear()
        return dropped

    def available_for(self, service: ServiceName) -> Iterable[RegisteredEndpoint]:
        """Return the endpoints of a service that accept new work."""
        return [
            entry
            for entry in self.endpoints.values()
            if entry.service == service and not self.is_leaving(entry)
        ]

    def mark_leaving(self, entry: RegisteredEndpoint, now: float, unix_ms: int) -> bool:
        """Record that an endpoint reported that it leaves; return whether this is new.

        ``unix_ms`` is the time of day. The endpoint may have started again before it answered, and
        its registration since that start may not have been read yet.
        """
        is_new = not self.is_leaving(entry)
        since_s = now - LEAVING_RETENTION_S
        kept = {name: one for name, one in self.reported_leaving.items() if one[1] > since_s}
        self.reported_leaving = kept | {entry.endpoint: (max(entry.started_ms, unix_ms), now)}
        return is_new

    def is_leaving(self, entry: RegisteredEndpoint) -> bool:
        """Return whether an endpoint leaves, by its registration or an answer since its start."""
        reported = self.reported_leaving.get(entry.endpoint)
        return entry.leaving or (reported is not None and entry.started_ms <= reported[0])
