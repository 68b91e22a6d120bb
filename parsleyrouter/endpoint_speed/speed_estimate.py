"""Estimate how slow one endpoint is now: its lasting speed, and the changes of this moment.

The parts are logarithms of a multiple of the service's typical time, so that twice as slow and
twice as fast weigh the same, and a product of the two is a sum.
"""

import math
from dataclasses import dataclass

__all__ = ["MAX_SLOWNESS", "MIN_SLOWNESS", "SpeedEstimate"]

MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
"""Bounds of an estimate, as multiples of the typical time."""

LASTING_MEMORY_S = 30.0
"""Time constant over which observations of the lasting speed lose their weight."""

LASTING_PRIOR = 1.0
"""Weight of the assumption that an endpoint is as fast as others, in whole responses."""

MAX_LASTING_WEIGHT = 12.0
"""Weight of the past at most, so that a lasting change shows after as many responses."""

LASTING_TOLERANCE = math.log(1.1)
"""Lasting difference that counts as none: it is within the noise of equal endpoints."""

FRESH_S = 0.2
"""Time for which a reported or observed change holds in full."""

CHANGE_DECAY_S = 0.25
"""Time constant with which a change fades afterwards; changes last some tenths of a second."""

CHANGE_GAIN = 0.6
"""Share of the difference by which an observation of full weight moves the change."""

CHANGE_TOLERANCE = math.log(1.3)
"""Observed change that counts as none: load and the size of events vary as much."""


@dataclass
class SpeedEstimate:
    """State of one endpoint; methods take the time as monotonic seconds."""

    lasting_weight: float = 0.0
    lasting_sum: float = 0.0
    lasting_s: float = 0.0
    change_log: float = 0.0
    change_s: float = -math.inf
    reported_s: float = -math.inf
    reports: bool = False
    """Whether the endpoint has reported how slow it is."""

    def report(self, slowness: float, now: float) -> None:
        """Record the endpoint's own figure, a multiple of its usual time."""
        if not _is_sane(slowness):
            return
        self.reports = True
        if now >= self.reported_s:
            self.change_log, self.change_s, self.reported_s = _bounded_log(slowness), now, now

    def observe(self, ratio: float, weight: float, now: float) -> None:
        """Record the time of work as a multiple of the typical one; 1 is a whole response."""
        if not _is_sane(ratio) or not 0 < weight <= 1:
            return
        seen = _bounded_log(ratio)
        is_reported = now - self.reported_s <= FRESH_S
        change = self.change_log if is_reported else 0.0
        self._learn_lasting(seen - change, weight, now)
        if is_reported:
            return
        current = self.change(now)
        residual = seen - self._lasting(now)
        self.change_log = current + CHANGE_GAIN * weight**0.5 * (residual - current)
        self.change_s = max(self.change_s, now)

    def slowness(self, now: float) -> float:
        """Return the time that work takes now as a multiple of the typical one."""
        if not self.lasting_weight and not self.reports:
            return 1.0
        change = self.change(now)
        if self.change_s > self.reported_s:
            change = _beyond(change, CHANGE_TOLERANCE)
        total = _beyond(self._lasting(now), LASTING_TOLERANCE) + change
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, math.exp(total)))

    def change(self, now: float) -> float:
        """Return the logarithm of the change in force."""
        age_s = max(0.0, now - self.change_s - FRESH_S)
        return self.change_log * math.exp(-age_s / CHANGE_DECAY_S)

    def _lasting(self, now: float) -> float:
        kept = math.exp(-max(0.0, now - self.lasting_s) / LASTING_MEMORY_S)
        return self.lasting_sum * kept / (self.lasting_weight * kept + LASTING_PRIOR)

    def _learn_lasting(self, seen: float, weight: float, now: float) -> None:
        kept = math.exp(-max(0.0, now - self.lasting_s) / LASTING_MEMORY_S)
        kept = min(kept, MAX_LASTING_WEIGHT / max(MAX_LASTING_WEIGHT, self.lasting_weight))
        self.lasting_weight = self.lasting_weight * kept + weight
        self.lasting_sum = self.lasting_sum * kept + weight * seen
        self.lasting_s = max(self.lasting_s, now)


def _is_sane(value: float) -> bool:
    return math.isfinite(value) and value > 0


def _bounded_log(value: float) -> float:
    return math.log(min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, value)))


def _beyond(value: float, tolerance: float) -> float:
    """Return by how much a value exceeds what is tolerated, which makes no step at its bound."""
    return math.copysign(max(0.0, abs(value) - tolerance), value)
