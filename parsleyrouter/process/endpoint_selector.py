"""Rank the endpoints that a grant client can request a slot on."""

from collections import Counter as Tally
from collections.abc import Container
from dataclasses import dataclass, field
from random import Random

from parsleyrouter.ids import Address, DomainName, EndpointId
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.process.grant_messages import is_batch
from parsleyrouter.process.grant_port import CallResult, GrantRequest
from parsleyrouter.request.outlier_ejection import EndpointEjector
from parsleyrouter.request.prefix_affinity import PrefixAffinity
from parsleyrouter.request.routing import RoutingCandidate, can_serve, model_labels, rank_candidates

__all__ = ["EndpointSelector", "LoadHint"]

HINT_MAX_AGE_S = 1.0
"""After this time a load reported by a home scheduler is ignored."""


@dataclass(frozen=True)
class LoadHint:
    """Requests per slot that a home scheduler reported, online ones and all."""

    online: float
    total: float
    at_s: float


@dataclass
class EndpointSelector:
    """Rank endpoints by load, failure domain, cached prompt prefix and recent failures."""

    view: FleetView
    own_counts: Tally[EndpointId]
    random: Random
    ejector: EndpointEjector = field(default_factory=EndpointEjector)
    affinity: PrefixAffinity = field(default_factory=PrefixAffinity)
    hints: dict[EndpointId, LoadHint] = field(default_factory=dict)
    unresponsive_until_s: dict[Address, float] = field(default_factory=dict)

    def rank(
        self, request: GrantRequest, tried: Container[EndpointId], now: float
    ) -> list[EndpointId]:
        """Return the endpoints to try for a request, best first."""
        settings = self.view.settings()
        team = settings.teams.get(request.team)
        labels = model_labels(request.model, team.models.get(request.model) if team else None)
        serving = [
            EndpointId(name)
            for name, endpoint in settings.fleet.endpoints.items()
            if name not in tried and name not in request.exclude
            if can_serve(endpoint, request, labels)
        ]
        usable = self.ejector.select_usable(serving, now, self.random)
        candidates = [self._candidate(name, request, now) for name in serving if name in usable]
        return rank_candidates(candidates, self.view.self_node().domain, self.random)

    def record_load(self, endpoint: EndpointId, hint: LoadHint) -> None:
        """Store the load that a home scheduler reported for an endpoint."""
        self.hints[endpoint] = hint

    def record_result(
        self, request: GrantRequest, endpoint: EndpointId, result: CallResult, now: float
    ) -> None:
        """Update failure counts and prefix affinity from the result of a grant."""
        if result.endpoint_at_fault:
            self.ejector.record_failure(endpoint, now)
            return
        self.affinity.record_use(request.prefix_key, endpoint, now)
        if result.ok:
            self.ejector.record_success(endpoint, now)

    def mark_unresponsive(self, home: Address, until_s: float) -> None:
        """Skip a home scheduler, which did not answer, until ``until_s``."""
        self.unresponsive_until_s[home] = until_s

    def is_unresponsive(self, home: Address, now: float) -> bool:
        """Return whether a home scheduler is skipped because it did not answer."""
        return self.unresponsive_until_s.get(home, 0.0) > now

    def _candidate(
        self, endpoint: EndpointId, request: GrantRequest, now: float
    ) -> RoutingCandidate:
        settings = self.view.settings().fleet.endpoints[endpoint]
        cached = self.affinity.cached_probability(request.prefix_key, endpoint, now)
        load = self._effective_load(endpoint, settings.slots, is_batch(request), now)
        return RoutingCandidate(endpoint, DomainName(settings.domain), load, cached)

    def _effective_load(self, endpoint: EndpointId, slots: int, batch: bool, now: float) -> float:
        own_load = self.own_counts[endpoint] / slots
        hint = self.hints.get(endpoint)
        if hint is None or now - hint.at_s > HINT_MAX_AGE_S:
            return own_load
        return max(own_load, hint.total) if batch else hint.online
