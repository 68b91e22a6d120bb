"""Choose the endpoint of a request when several nodes send to the same endpoints.

Answers the load of bursts: engines admit in order of arrival, so a request placed behind a queue
waits although another endpoint has a free slot.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from parsleyrouter.ids import DomainName, EndpointId

__all__ = ["Candidate", "choose", "queue_wait_s"]

REMOTE_COST = 0.1
"""Slots' share that a way to another failure domain is worth: below one request in eight slots."""

CACHED_PREFIX_BONUS = 0.04
"""Slots' share that a prompt prefix in the cache is worth; reading it anew takes milliseconds."""

PREEMPTION_COST = 0.25
"""Slots' share that waiting for a batch item to give way is worth: a few steps of the engine."""

BATCH_WEIGHT = 0.5
"""Part of an online request that a batch item counts for, since it gives way."""

MAX_JITTER = 0.03
"""Random part of the cost, so that nodes which see the same loads do not all choose alike."""


@dataclass(frozen=True)
class Candidate:
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
    cached: float = 0.0
    avoided: bool = False

    @property
    def used(self) -> int:
        """Return the requests at the endpoint."""
        return self.online + self.batch

    @property
    def free(self) -> int:
        """Return the slots without a request."""
        return max(0, self.slots - self.used)


def choose(candidates: Iterable[Candidate], domain: DomainName, random: Random) -> Candidate | None:
    """Return the endpoint where a request is expected to be served first.

    Endpoints to be avoided are used only when there are no others.
    """
    every = list(candidates)
    pool = [candidate for candidate in every if not candidate.avoided] or every
    if not pool:
        return None
    return min(pool, key=lambda one: _cost(one, domain) + MAX_JITTER * random.random())


def _cost(candidate: Candidate, domain: DomainName) -> float:
    work = candidate.online + BATCH_WEIGHT * candidate.batch + 1
    utilization = work / candidate.slots * candidate.slowness
    if not candidate.free:
        utilization += PREEMPTION_COST
    queued = max(0, candidate.online + 1 - candidate.slots) * candidate.slowness
    remote = REMOTE_COST if candidate.domain != domain else 0.0
    return utilization + queued + remote - CACHED_PREFIX_BONUS * candidate.cached


def queue_wait_s(candidate: Candidate, service_s: float) -> float:
    """Return how long an online request would wait for a slot; batch work gives way at once."""
    ahead = candidate.online + 1 - candidate.slots
    if ahead <= 0:
        return 0.0
    return ahead * service_s * candidate.slowness / candidate.slots
