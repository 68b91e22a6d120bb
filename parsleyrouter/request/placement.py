"""Choose the endpoint of a request when several nodes send to the same endpoints.

Engines admit in order of arrival. During a burst, a request sent to an endpoint with a queue would
wait although another endpoint has a free slot.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from parsleyrouter.ids import DomainName, EndpointId

__all__ = ["PlacementCandidate", "choose_endpoint", "queue_wait_s"]

REMOTE_COST = 0.1
"""Cost of another failure domain as a fraction of the slots; below one request in eight slots."""

CACHED_PREFIX_BONUS = 0.04
"""Value of a cached prompt prefix as a fraction of the slots; its prefill takes milliseconds."""

PREEMPTION_COST = 0.25
"""Cost of preempting a batch item as a fraction of the slots; it takes a few engine steps."""

BATCH_WEIGHT = 0.5
"""Weight of a batch item relative to an online request; less than 1 as it is preempted."""

LIMIT_COST = 0.75
"""Cost of an endpoint that has named a limit as a fraction of the slots: its permits are kept for
requests that find no free slot elsewhere."""

SLOWNESS_COST = 0.5
"""Cost of work that takes twice as long, as a fraction of the slots, at an idle endpoint: a request
in a free slot there is late, too."""

UNEVEN_JITTER = 0.25
"""Largest random cost where speeds differ, two slots of eight: equal counts then cause no equal
costs, and all nodes would choose the same endpoint until they hear of each other."""

BATCH_SLOWNESS = 1.5
"""Slowness from which on batch items leave slots of an endpoint free."""

MAX_JITTER = 0.03
"""Largest random cost, so that nodes which see the same loads choose different endpoints."""


@dataclass(frozen=True)
class PlacementCandidate:
    """Endpoint that could run a request.

    ``slowness`` is its service time as a multiple of the typical one, ``cached`` the fraction of
    the prompt in its prefix cache, from 0 to 1.
    An ``avoided`` endpoint is used only if there is no other.
    """

    endpoint: EndpointId
    domain: DomainName
    slots: int
    online: int = 0
    batch: int = 0
    slowness: float = 1.0
    cached: float = 0.0
    avoided: bool = False
    permits: float = math.inf
    """Requests that the endpoint's own limit leaves for now."""
    batch_permits: float = math.inf
    """Batch items among them."""
    by_durations: bool = False
    """Whether ``slowness`` compares the durations of whole responses, of any size."""

    @property
    def limited(self) -> bool:
        """Return whether the endpoint has named a limit."""
        return math.isfinite(self.permits)

    @property
    def used(self) -> int:
        """Return the number of requests at the endpoint."""
        return self.online + self.batch

    @property
    def free(self) -> int:
        """Return the number of slots without a request."""
        return max(0, self.slots - self.used)

    @property
    def efficient_slots(self) -> int:
        """Return how many slots do as much work as all would at the typical speed, at least 1."""
        if self.by_durations or self.slowness < BATCH_SLOWNESS:
            return self.slots
        return max(1, round(self.slots / self.slowness))

    @property
    def free_for_batch(self) -> int:
        """Return the number of slots that batch items may use."""
        free = max(0, self.efficient_slots - self.used)
        return free if not self.limited else max(0, min(free, int(self.batch_permits)))


def choose_endpoint(
    candidates: Iterable[PlacementCandidate], domain: DomainName, random: Random
) -> PlacementCandidate | None:
    """Return the endpoint expected to serve a request first, ``None`` without candidates.

    Avoided endpoints are used only when there are no others.
    """
    listed = list(candidates)
    pool = [candidate for candidate in listed if not candidate.avoided] or listed
    if not pool:
        return None
    is_even = all(one.by_durations or one.slowness == 1.0 for one in pool)
    jitter = MAX_JITTER if is_even else UNEVEN_JITTER
    return min(pool, key=lambda one: _cost(one, domain) + jitter * random.random())


def _cost(candidate: PlacementCandidate, domain: DomainName) -> float:
    work = candidate.online + BATCH_WEIGHT * candidate.batch + 1
    slowness, slow = _slowness_costs(candidate)
    utilization = work / candidate.slots * slowness
    if not candidate.free:
        utilization += PREEMPTION_COST
    queued = max(0, candidate.online + 1 - candidate.slots) * slowness
    remote = REMOTE_COST if candidate.domain != domain else 0.0
    limited = LIMIT_COST if candidate.limited else 0.0
    return utilization + queued + slow + remote + limited - CACHED_PREFIX_BONUS * candidate.cached


def _slowness_costs(candidate: PlacementCandidate) -> tuple[float, float]:
    """Return the factor for the load of an endpoint, and the cost of a slow one that is idle."""
    if candidate.by_durations:
        return candidate.slowness, 0.0
    # At a full endpoint, a request that another node has just placed costs more than a slow one.
    free_share = candidate.free / candidate.slots
    difference = (candidate.slowness - 1.0) * free_share
    return 1.0 + difference, SLOWNESS_COST * difference


def queue_wait_s(candidate: PlacementCandidate, service_s: float) -> float:
    """Return the expected wait of an online request; batch items do not delay it."""
    ahead = candidate.online + 1 - candidate.slots
    if ahead <= 0:
        return 0.0
    return ahead * service_s * candidate.slowness / candidate.slots
