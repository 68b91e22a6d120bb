"""Estimate which endpoints have a prompt prefix cached; estimates decay and memory is bounded."""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from parsleyrouter.ids import EndpointId

__all__ = ["PrefixAffinity"]

HALF_LIFE_S = 60.0
MAX_PREFIXES = 10_000
MAX_ENDPOINTS = 3
"""Endpoints remembered for one prefix."""


@dataclass
class PrefixAffinity:
    """Track the endpoints that served each prefix and the evictions they report.

    Eviction events arrive late and with gaps; after a missed event the estimate only decays.
    """

    last_uses: OrderedDict[str, dict[EndpointId, float]] = field(default_factory=OrderedDict)
    """Time of the last use by prefix and endpoint, least recent first."""

    def record_use(self, prefix: str, endpoint: EndpointId, now: float) -> None:
        """Record that an endpoint has just served a prefix."""
        if not prefix:
            return
        endpoints = self.last_uses.setdefault(prefix, {})
        # Reinserted, so that the order is that of use even where the clock has not advanced.
        endpoints.pop(endpoint, None)
        endpoints[endpoint] = now
        self.last_uses.move_to_end(prefix)
        if len(endpoints) > MAX_ENDPOINTS:
            del endpoints[next(iter(endpoints))]
        while len(self.last_uses) > MAX_PREFIXES:
            self.last_uses.popitem(last=False)

    def record_eviction(self, prefix: str, endpoint: EndpointId, evicted_s: float) -> None:
        """Record that an endpoint evicted a prefix; an event older than the last use is ignored."""
        endpoints = self.last_uses.get(prefix, {})
        if endpoints.get(endpoint, math.inf) <= evicted_s:
            del endpoints[endpoint]

    def forget_endpoint(self, endpoint: EndpointId) -> None:
        """Forget all prefixes of an endpoint, after its restart or a gap in its events."""
        for endpoints in self.last_uses.values():
            endpoints.pop(endpoint, None)

    def cached_probability(self, prefix: str, endpoint: EndpointId, now: float) -> float:
        """Return the estimated probability, from 0 to 1, that an endpoint has the prefix cached."""
        used_s = self.last_uses.get(prefix, {}).get(endpoint)
        return 0.0 if used_s is None else math.exp2((used_s - now) / HALF_LIFE_S)
