"""Track when calls to a service were answered and when they failed; performs no I/O."""

import math
from dataclasses import dataclass

__all__ = ["ServiceContact"]


@dataclass
class ServiceContact:
    """When calls were last answered and last failed; monotonic seconds."""

    answered_s: float = -math.inf
    answered_sent_s: float = -math.inf
    """Latest time at which a call was sent that has been answered."""
    failed_s: float = -math.inf

    def record_answer(self, sent_s: float, now: float) -> bool:
        """Record an answered call; return whether it is the first one after a failure."""
        recovered = self.failed_s > self.answered_s
        self.answered_s = now
        self.answered_sent_s = max(self.answered_sent_s, sent_s)
        return recovered

    def record_failure(self, now: float) -> None:
        """Record a call that failed."""
        self.failed_s = now
