"""Rank the endpoints to try for a request by the power of two random choices."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from parsleyrouter.ids import DomainName, EndpointId, ModelName
from parsleyrouter.process.grant_port import GrantRequest
from parsleyrouter.version.schema import EndpointSettings, EndpointState, ModelSettings

__all__ = ["RoutingCandidate", "can_serve", "model_labels", "rank_candidates"]

REMOTE_PENALTY = 0.25
"""Cost of another failure domain, as load per slot."""

PREFIX_BONUS = 0.5
"""Value of a cached prompt prefix, as load per slot."""


@dataclass(frozen=True)
class RoutingCandidate:
    """Endpoint that could serve a request.

    ``load`` is in requests per slot; ``cached``, from 0 to 1, is how likely it has the prefix.
    """

    endpoint: EndpointId
    domain: DomainName
    load: float = 0.0
    cached: float = 0.0

    def cost(self, domain: DomainName) -> float:
        """Return the cost of choosing this endpoint for a request from a failure domain."""
        remote = REMOTE_PENALTY if self.domain != domain else 0.0
        return self.load + remote - PREFIX_BONUS * self.cached


def model_labels(model: ModelName, settings: ModelSettings | None) -> frozenset[str]:
    """Return the labels by which endpoints list a model, with its adapter and version."""
    if settings is None:
        return frozenset((model,))
    full = f"{model}+{settings.adapter}" if settings.adapter else str(model)
    return frozenset((full, f"{full}@{settings.version}"))


def can_serve(endpoint: EndpointSettings, request: GrantRequest, labels: frozenset[str]) -> bool:
    """Return whether an endpoint is active and serves the requested model or application."""
    if endpoint.state is not EndpointState.ACTIVE:
        return False
    if request.application:
        return endpoint.application == request.application
    return not labels.isdisjoint(endpoint.models)


def rank_candidates(
    candidates: Iterable[RoutingCandidate], domain: DomainName, random: Random
) -> list[EndpointId]:
    """Return all candidates in the order to try them.

    The first choice is made within the own failure domain if it has candidates; the endpoint most
    likely to have the prefix cached is compared as well.
    """
    rest = list(candidates)
    if not rest:
        return []
    near = [candidate for candidate in rest if candidate.domain == domain]
    first = random.choice(near or rest)
    rest.remove(first)
    cached = max(rest, key=lambda candidate: candidate.cached, default=None)
    chosen = [first]
    if rest:
        chosen.append(random.choice(rest))
    if cached is not None and cached.cached > 0 and cached not in chosen:
        chosen.append(cached)
    chosen.sort(key=lambda candidate: candidate.cost(domain))
    others = [candidate for candidate in rest if candidate not in chosen]
    random.shuffle(others)
    return [candidate.endpoint for candidate in chosen + others]
