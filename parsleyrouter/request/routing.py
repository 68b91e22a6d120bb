"""Choose the endpoints to try for a request: two random choices, the better one first."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from parsleyrouter.ids import DomainName, EndpointId, ModelName
from parsleyrouter.process.grant_port import GrantRequest
from parsleyrouter.version.schema import EndpointSettings, EndpointState, ModelSettings

__all__ = ["RoutingCandidate", "rank_candidates", "model_labels", "can_serve"]

REMOTE_PENALTY = 0.25
"""Load per slot that a longer way is worth."""

PREFIX_BONUS = 0.5
"""Load per slot that a cached prompt prefix is worth."""


@dataclass(frozen=True)
class RoutingCandidate:
    """One endpoint that could serve; ``load`` is work per slot, ``cached`` from 0 to 1."""

    endpoint: EndpointId
    domain: DomainName
    load: float = 0.0
    cached: float = 0.0

    def cost(self, domain: DomainName) -> float:
        """Return the cost of this choice for a request from a failure domain."""
        remote = REMOTE_PENALTY if self.domain != domain else 0.0
        return self.load + remote - PREFIX_BONUS * self.cached


def model_labels(model: ModelName, settings: ModelSettings | None) -> frozenset[str]:
    """Return the names under which an endpoint may list a model, its adapter and version."""
    if settings is None:
        return frozenset((model,))
    full = f"{model}+{settings.adapter}" if settings.adapter else str(model)
    return frozenset((full, f"{full}@{settings.version}"))


def can_serve(endpoint: EndpointSettings, request: GrantRequest, labels: frozenset[str]) -> bool:
    """Tell whether an endpoint may be given a request."""
    if endpoint.state is not EndpointState.ACTIVE:
        return False
    if request.application:
        return endpoint.application == request.application
    return not labels.isdisjoint(endpoint.models)


def rank_candidates(
    candidates: Iterable[RoutingCandidate], domain: DomainName, random: Random
) -> list[EndpointId]:
    """Return all candidates in the order to try them.

    The first of the two choices is made in the own failure domain where it has any.
    """
    rest = list(candidates)
    if not rest:
        return []
    near = [candidate for candidate in rest if candidate.domain == domain]
    first = random.choice(near or rest)
    rest.remove(first)
    cached = max(rest, key=lambda candidate: candidate.cached, default=None)
    picks = [first]
    if rest:
        picks.append(random.choice(rest))
    if cached is not None and cached.cached > 0 and cached not in picks:
        picks.append(cached)
    picks.sort(key=lambda candidate: candidate.cost(domain))
    others = [candidate for candidate in rest if candidate not in picks]
    random.shuffle(others)
    return [candidate.endpoint for candidate in picks + others]
