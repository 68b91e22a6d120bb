"""Decide from answered and failed calls which pending calls to a service are lost.

Performs no I/O; times are monotonic seconds. A long poll that reaches a service during an outage
gets no reply, and its own time-out notices that long after the service is back. Other calls notice
it at once.
"""

import math
from dataclasses import dataclass

__all__ = ["SendWindow", "ServiceContact"]


@dataclass(frozen=True)
class SendWindow:
    """Calls that were sent after ``after_s`` and before ``before_s``."""

    after_s: float
    before_s: float

    def __contains__(self, sent_s: float) -> bool:
        return self.after_s < sent_s < self.before_s


@dataclass
class ServiceContact:
    """When calls were last answered and last failed."""

    answered_s: float = -math.inf
    answered_sent_s: float = -math.inf
    """Latest time at which a call was sent that has been answered."""
    doubted_s: float = -math.inf
    """When a call last failed, here or at another node."""

    def record_answer(self, sent_s: float, now: float) -> SendWindow | None:
        """Record an answered call; return which pending ones are lost if it is the first again."""
        recovered = self.doubted_s > self.answered_s
        self.answered_s = now
        self.answered_sent_s = max(self.answered_sent_s, sent_s)
        return SendWindow(-math.inf, sent_s) if recovered else None

    def record_failure(self, now: float) -> None:
        """Record a call that failed, here or at another node."""
        self.doubted_s = now

    def is_outdated(self, sent_s: float) -> bool:
        """Return whether a time-out tells of the past: a call that was sent later was answered."""
        return sent_s < self.answered_sent_s
