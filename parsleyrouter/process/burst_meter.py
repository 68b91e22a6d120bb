"""Measure online bursts, which determine the slots kept free of batch work."""

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["BurstMeter"]

BURST_WINDOW_S = 0.1
"""Revoking batch grants takes too long for arrivals this close together."""

HALF_LIFE_S = 30.0


@dataclass
class BurstMeter:
    """Track the largest recent burst of online arrivals, decaying by half per ``HALF_LIFE_S``."""

    recent: deque[float] = field(default_factory=deque)
    peak: float = 0.0
    peak_s: float = 0.0

    def record_arrival(self, now: float) -> None:
        """Record one online arrival."""
        self.recent.append(now)
        while self.recent[0] < now - BURST_WINDOW_S:
            self.recent.popleft()
        burst = len(self.recent)
        if burst >= self.expected_burst(now):
            self.peak = burst
            self.peak_s = now

    def expected_burst(self, now: float) -> float:
        """Return the burst size to expect, in slots."""
        return self.peak * math.exp2((self.peak_s - now) / HALF_LIFE_S)
