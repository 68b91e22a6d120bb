"""Guess which endpoints have a prompt prefix in their cache; the guess fades and is bounded."""

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
    """Remember where prefixes were sent, and what endpoints say they have dropped.

    Cache events come late and with gaps, so that a missing event only lets the guess fade.
    """

    seen: OrderedDict[str, dict[EndpointId, float]] = field(default_factory=OrderedDict)

    def used(self, prefix: str, endpoint: EndpointId, now: float) -> None:
        """Take note that an endpoint has just served a prefix."""
        if not prefix:
            return
        places = self.seen.setdefault(prefix, {})
        places[endpoint] = now
        self.seen.move_to_end(prefix)
        if len(places) > MAX_ENDPOINTS:
            del places[min(places, key=lambda name: places[name])]
        while len(self.seen) > MAX_PREFIXES:
            self.seen.popitem(last=False)

    def dropped(self, prefix: str, endpoint: EndpointId, at_s: float) -> None:
        """Take note that an endpoint dropped a prefix; a later use outlives a late event."""
        places = self.seen.get(prefix, {})
        if places.get(endpoint, math.inf) <= at_s:
            del places[endpoint]

    def lost(self, endpoint: EndpointId) -> None:
        """Forget all that an endpoint had, after a restart or a gap in its events."""
        for places in self.seen.values():
            places.pop(endpoint, None)

    def cached(self, prefix: str, endpoint: EndpointId, now: float) -> float:
        """Return how sure it is that the prefix is there, from 0 to 1."""
        at_s = self.seen.get(prefix, {}).get(endpoint)
        return 0.0 if at_s is None else math.exp2((at_s - now) / HALF_LIFE_S)
