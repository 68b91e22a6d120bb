"""Know what a grant client knows of endpoints and homes, and put the endpoints in order."""

from collections import Counter as Tally
from collections.abc import Container
from dataclasses import dataclass, field
from random import Random

from parsleyrouter.ids import Address, DomainName, EndpointId
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.process.grant_messages import is_batch
from parsleyrouter.process.grant_port import CallResult, GrantRequest
from parsleyrouter.request.outlier_ejection import Ejections
from parsleyrouter.request.prefix_affinity import PrefixAffinity
from parsleyrouter.request.routing import Candidate, in_order, model_labels, serves

__all__ = ["EndpointChoice", "LoadHint"]

HINT_S = 1.0
"""How long the load that a home told is believed."""


@dataclass(frozen=True)
class LoadHint:
    """Work per slot as a home told it, of online requests and of all."""

    online: float
    total: float
    at_s: float


@dataclass
class EndpointChoice:
    """Order endpoints by own grants, the homes' word, prefix guesses and failures."""

    view: FleetView
    own: Tally[EndpointId]
    random: Random
    ejections: Ejections = field(default_factory=Ejections)
    affinity: PrefixAffinity = field(default_factory=PrefixAffinity)
    hints: dict[EndpointId, LoadHint] = field(default_factory=dict)
    silent_until_s: dict[Address, float] = field(default_factory=dict)

    def order(
        self, request: GrantRequest, tried: Container[EndpointId], now: float
    ) -> list[EndpointId]:
        """Return the endpoints to try for a request."""
        settings = self.view.settings()
        team = settings.teams.get(request.team)
        labels = model_labels(request.model, team.models.get(request.model) if team else None)
        able = [
            EndpointId(name)
            for name, endpoint in settings.fleet.endpoints.items()
            if name not in tried and name not in request.exclude
            if serves(endpoint, request, labels)
        ]
        usable = self.ejections.usable(able, now, self.random)
        candidates = [self._candidate(name, request, now) for name in able if name in usable]
        return in_order(candidates, self.view.self_node().domain, self.random)

    def heard(self, endpoint: EndpointId, hint: LoadHint) -> None:
        """Take a home's word on the load of an endpoint."""
        self.hints[endpoint] = hint

    def ended(
        self, request: GrantRequest, endpoint: EndpointId, result: CallResult, now: float
    ) -> None:
        """Learn from what came of a grant."""
        if result.endpoint_at_fault:
            self.ejections.failed(endpoint, now)
            return
        self.affinity.used(request.prefix_key, endpoint, now)
        if result.ok:
            self.ejections.succeeded(endpoint, now)

    def mark_silent(self, home: Address, until_s: float) -> None:
        """Ask a home that did not answer no more until a time."""
        self.silent_until_s[home] = until_s

    def is_silent(self, home: Address, now: float) -> bool:
        """Tell whether a home has just not answered."""
        return self.silent_until_s.get(home, 0.0) > now

    def _candidate(self, endpoint: EndpointId, request: GrantRequest, now: float) -> Candidate:
        settings = self.view.settings().fleet.endpoints[endpoint]
        cached = self.affinity.cached(request.prefix_key, endpoint, now)
        load = self._load(endpoint, settings.slots, is_batch(request), now)
        return Candidate(endpoint, DomainName(settings.domain), load, cached)

    def _load(self, endpoint: EndpointId, slots: int, batch: bool, now: float) -> float:
        own = self.own[endpoint] / slots
        hint = self.hints.get(endpoint)
        if hint is None or now - hint.at_s > HINT_S:
            return own
        return max(own, hint.total) if batch else hint.online
