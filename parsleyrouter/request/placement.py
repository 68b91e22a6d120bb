"""Choose the endpoint of a request when several nodes send to the same endpoints.

Answers the load of bursts: engines admit in order of arrival, so a request placed behind a queue
waits although another endpoint has a free slot.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from parsleyrouter.ids import DomainName, EndpointId

__all__ = ["PlacementCandidate", "choose_endpoint", "queue_wait_s"]

REMOTE_COST = 0.1
"""Slots' share that a way to another failure domain is worth: below one request in eight slots."""

WARM_BONUS = 0.04
"""Slots' share that a prompt prefix in the cache is worth; reading it anew takes milliseconds."""

YIELD_COST = 0.25
"""Slots' share that waiting for a batch item to give way is worth: a few steps of the engine."""

BATCH_WEIGHT = 0.5
"""Part of an online request that a batch item counts for, since it gives way."""

JITTER = 0.03
"""Random part of the cost, so that nodes which see the same loads do not all choose alike."""


@dataclass(frozen=True)
class PlacementCandidate:
    """One endpoint that could run a request.

    ``slowness`` is its service time as a multiple of the usual one, ``warm`` how much of the
    prompt it has read before, from 0 to 1.
    """

    endpoint: EndpointId
    domain: DomainName
    slots: int
    online: int = 0
    batch: int = 0
    slowness: float = 1.0
    warm: float = 0.0
    avoided: bool = False

    @property
    def used(self) -> int:
        """Return the requests at the endpoint."""
        return self.online + self.batch

    @property
    def free(self) -> int:
        """Return the slots without a request."""
        return max(0, self.slots - self.used)


def choose_endpoint(
    candidates: Iterable[PlacementCandidate], domain: DomainName, random: Random
) -> PlacementCandidate | None:
    """Return the endpoint where a request is expected to be served first.

    Endpoints to be avoided are used only when there are no others.
    """
    every = list(candidates)
    pool = [candidate for candidate in every if not candidate.avoided] or every
    if not pool:
        return None
    return min(pool, key=lambda one: _cost(one, domain) + JITTER * random.random())


def _cost(candidate: PlacementCandidate, domain: DomainName) -> float:
    work = candidate.online + BATCH_WEIGHT * candidate.batch + 1
    filled = work / candidate.slots * candidate.slowness
    if not candidate.free:
        filled += YIELD_COST
    queued = max(0, candidate.online + 1 - candidate.slots) * candidate.slowness
    far = REMOTE_COST if candidate.domain != domain else 0.0
    return filled + queued + far - WARM_BONUS * candidate.warm


def queue_wait_s(candidate: PlacementCandidate, service_s: float) -> float:
    """Return how long an online request would wait for a slot; batch work gives way at once."""
    ahead = candidate.online + 1 - candidate.slots
    if ahead <= 0:
        return 0.0
    return ahead * service_s * candidate.slowness / candidate.slots
