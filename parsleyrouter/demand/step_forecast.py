"""Learn recurring steps of one service's online demand.

Performs no I/O; methods take the current time as monotonic seconds.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from statistics import median

__all__ = ["StepForecast", "StepOutlook"]

HISTORY_S = 20.0
"""Time over which demand is remembered."""

SAMPLE_INTERVAL_S = 0.05
"""Shortest time between two samples."""

SMOOTHING_S = 0.15
"""Time constant of the smoothing of samples."""

LEVELS_INTERVAL_S = 0.5
"""Time between two computations of the usual levels."""

LOW_QUANTILE = 0.2
HIGH_QUANTILE = 0.9
MIN_RISE = 1.8
"""Least high level of stepped demand, as a multiple of the low one."""

MIN_DIFFERENCE = 0.1
"""Least difference of the levels, as a share of the slots."""

NOISE_FACTOR = 4.0
"""Least difference of the levels, in standard deviations of random arrivals at the high one."""

LEAD_S = 0.2
"""Time by which demand rises before its samples show it."""

LOW_SHARE = 0.3
HIGH_SHARE = 0.6
"""Shares of the difference between the levels at which a step ends and begins."""

MIN_STEPS = 2
MAX_STEPS = 8
PERIOD_TOLERANCE = 0.25
"""Difference of periods that still counts as regular, and how late a step may be, as a share."""


@dataclass(frozen=True)
class StepOutlook:
    """What is expected of stepped demand."""

    in_s: float
    """Time to the next step; 0 in a step, and if one may come at any time."""
    needed_share: float
    """Share of the slots that online requests need in it."""
    is_regular: bool = True
    """Whether steps have a period."""


@dataclass
class StepForecast:
    """Samples of the online requests of a service as a share of its slots."""

    samples: deque[tuple[float, float]] = field(default_factory=deque)
    level: float = 0.0
    low: float = 0.0
    high: float = 0.0
    is_stepped: bool = False
    is_high: bool = False
    rises_s: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_STEPS))
    levels_s: float = -math.inf

    def record(self, share: float, slots: int, now: float) -> None:
        """Record the online requests of this moment, queued ones included."""
        last_s = self.samples[-1][0] if self.samples else -math.inf
        if now < last_s + SAMPLE_INTERVAL_S or slots <= 0:
            return
        weight = 1 - math.exp(-(now - last_s) / SMOOTHING_S)
        self.level += weight * (share - self.level)
        self.samples.append((now, self.level))
        while self.samples[0][0] < now - HISTORY_S:
            self.samples.popleft()
        if now >= self.levels_s + LEVELS_INTERVAL_S:
            self.levels_s = now
            self._update_levels(slots)
        self._update_phase()

    def outlook(self, now: float) -> StepOutlook | None:
        """Return what to expect, ``None`` if demand does not come in steps."""
        rises = [at for at in self.rises_s if at > now - HISTORY_S]
        if not self.is_stepped or len(rises) < MIN_STEPS:
            return None
        periods = [later - earlier for earlier, later in zip(rises, rises[1:], strict=False)]
        period_s = median(periods)
        tolerance_s = PERIOD_TOLERANCE * period_s
        is_regular = all(abs(one - period_s) <= tolerance_s for one in periods)
        if self.is_high or not is_regular:
            return StepOutlook(0.0, self.high, is_regular)
        next_s = rises[-1] + period_s
        if now > next_s + tolerance_s:
            return None
        return StepOutlook(max(0.0, next_s - LEAD_S - now), self.high)

    def _update_levels(self, slots: int) -> None:
        levels = sorted(level for _, level in self.samples)
        self.low = levels[int(LOW_QUANTILE * len(levels))]
        self.high = levels[int(HIGH_QUANTILE * len(levels))]
        difference = self.high - self.low
        noise = math.sqrt(max(1.0, self.high * slots)) / slots
        self.is_stepped = (
            self.high >= MIN_RISE * self.low
            and difference >= MIN_DIFFERENCE
            and difference >= NOISE_FACTOR * noise
        )

    def _update_phase(self) -> None:
        if not self.is_stepped:
            self.is_high = False
            return
        difference = self.high - self.low
        if not self.is_high and self.level > self.low + HIGH_SHARE * difference:
            self.is_high = True
            self.rises_s.append(self._begin_s())
        elif self.is_high and self.level < self.low + LOW_SHARE * difference:
            self.is_high = False

    def _begin_s(self) -> float:
        """Return when demand left the low level; the levels may have become known only later."""
        threshold = self.low + LOW_SHARE * (self.high - self.low)
        low_s = (at for at, level in reversed(self.samples) if level < threshold)
        return next(low_s, self.samples[-1][0])
