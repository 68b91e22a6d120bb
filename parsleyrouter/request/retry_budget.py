"""Limit retries to a fraction of recent requests, so that they cannot overload endpoints."""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget"]

WINDOW_S = 10.0
BUCKET_S = 1.0
MIN_RETRIES = 3


@dataclass
class _Bucket:
    start_s: float
    requests: int = 0
    retries: int = 0


@dataclass
class RetryBudget:
    """Allow ``share`` retries per request of the last ``WINDOW_S`` seconds plus a minimum."""

    share: float = 0.1
    min_retries: int = MIN_RETRIES
    buckets: deque[_Bucket] = field(default_factory=deque)

    def count_request(self, now: float) -> None:
        """Count a request's first attempt."""
        self._bucket(now).requests += 1

    def try_withdraw(self, now: float) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        current = self._bucket(now)
        requests = sum(item.requests for item in self.buckets)
        retries = sum(item.retries for item in self.buckets)
        if retries + 1 > self.min_retries + self.share * requests:
            return False
        current.retries += 1
        return True

    def _bucket(self, now: float) -> _Bucket:
        while self.buckets and self.buckets[0].start_s <= now - WINDOW_S:
            self.buckets.popleft()
        if not self.buckets or now >= self.buckets[-1].start_s + BUCKET_S:
            self.buckets.append(_Bucket(now))
        return self.buckets[-1]
