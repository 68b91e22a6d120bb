"""Decide from answered and failed calls which pending calls to a service are lost.

Performs no I/O; times are monotonic seconds. A long poll that reaches a service during an outage
gets no reply, and its own time-out notices that long after the service is back. Other calls notice
it at once.
"""

import math
from dataclasses import dataclass

__all__ = ["ServiceContact"]


@dataclass
class ServiceContact:
    """When calls were last answered and last failed."""

    answered_s: float = -math.inf
    answered_sent_s: float = -math.inf
    """Latest time at which a call was sent that has been answered."""
    doubted_s: float = -math.inf
    """When a call last failed, here or at another node."""

    def record_answer(self, sent_s: float, now: float) -> bool:
        """Record an answered call; return whether it is the first one after a failure."""
        recovered = self.doubted_s > self.answered_s
        self.answered_s = now
        self.answered_sent_s = max(self.answered_sent_s, sent_s)
        return recovered

    def record_failure(self, now: float) -> None:
        """Record a call that failed, here or at another node."""
        self.doubted_s = now

    def is_lost(self, sent_s: float) -> bool:
        """Return whether a call that is still unanswered was probably lost in an outage.

        That is so if another call failed after it was sent, and one was answered since.
        """
        return sent_s < self.doubted_s <= self.answered_s
