"""Learn from online bursts how many slots to keep free of batch work."""

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["BurstMeter"]

WINDOW_S = 0.1
"""Arrivals this close together cannot be met by revoking."""

HALF_LIFE_S = 30.0


@dataclass
class BurstMeter:
    """Remember the largest recent burst of online arrivals; it halves in ``HALF_LIFE_S``."""

    recent: deque[float] = field(default_factory=deque)
    peak: float = 0.0
    peak_s: float = 0.0

    def arrived(self, now: float) -> None:
        """Count one online arrival."""
        self.recent.append(now)
        while self.recent[0] < now - WINDOW_S:
            self.recent.popleft()
        burst = len(self.recent)
        if burst >= self.level(now):
            self.peak = burst
            self.peak_s = now

    def level(self, now: float) -> float:
        """Return the burst to be ready for, in slots."""
        return self.peak * math.exp2((self.peak_s - now) / HALF_LIFE_S)
