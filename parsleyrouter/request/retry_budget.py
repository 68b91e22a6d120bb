"""Keep retries a small share of recent requests, so that they cannot pile up."""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget"]

WINDOW_S = 10.0
SLICE_S = 1.0
MIN_RETRIES = 3


@dataclass
class _Slice:
    start_s: float
    requests: int = 0
    retries: int = 0


@dataclass
class RetryBudget:
    """Allow ``share`` retries per request of the last ``WINDOW_S`` seconds, and a few besides."""

    share: float = 0.1
    min_retries: int = MIN_RETRIES
    slices: deque[_Slice] = field(default_factory=deque)

    def count_request(self, now: float) -> None:
        """Count a first attempt."""
        self._slice(now).requests += 1

    def try_withdraw(self, now: float) -> bool:
        """Take one retry if the budget has one."""
        current = self._slice(now)
        requests = sum(item.requests for item in self.slices)
        retries = sum(item.retries for item in self.slices)
        if retries + 1 > self.min_retries + self.share * requests:
            return False
        current.retries += 1
        return True

    def _slice(self, now: float) -> _Slice:
        while self.slices and self.slices[0].start_s <= now - WINDOW_S:
            self.slices.popleft()
        if not self.slices or now >= self.slices[-1].start_s + SLICE_S:
            self.slices.append(_Slice(now))
        return self.slices[-1]
