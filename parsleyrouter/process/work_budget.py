"""Bound the share of the processor's time that work takes which other nodes cause.

Load: evidence of crashes from strangers, each of which costs a decision. A pause of the process
does not count as work.
"""

import logging
import time
from collections import deque
from collections.abc import Callable

from parsleyrouter.process.loop import Loop

__all__ = ["PacedCall", "WorkBudget"]

REFUSAL_LOG_INTERVAL_S = 10.0

log = logging.getLogger(__name__)

WorkClock = Callable[[], float]
"""Returns the seconds that the thread has worked."""


class WorkBudget:
    """Drop calls once they take more than a share of the time, beyond ``burst_s``."""

    def __init__(
        self,
        loop: Loop,
        share: float,
        burst_s: float,
        worked_s: WorkClock = time.thread_time,
    ) -> None:
        self.loop = loop
        self.worked_s = worked_s
        self.share = share
        self.burst_s = burst_s
        self.left_s = burst_s
        self.at_s = loop.now()
        self.next_refusal_log_s = self.at_s

    def within(self, function: Callable[..., object]) -> Callable[..., None]:
        """Return a function that is not called while no time is left."""

        def call_if_allowed(*arguments: object) -> None:
            now = self.loop.now()
            if self._allows(now):
                worked_s = self.worked_s()
                function(*arguments)
                self.left_s -= self.worked_s() - worked_s
            elif now >= self.next_refusal_log_s:
                self.next_refusal_log_s = now + REFUSAL_LOG_INTERVAL_S
                log.warning("evidence of crashes is dropped: other nodes send too much of it")

        return call_if_allowed

    def _allows(self, now: float) -> bool:
        self.left_s = min(self.burst_s, self.left_s + self.share * (now - self.at_s))
        self.at_s = now
        return self.left_s > 0


class PacedCall:
    """Call a function at given times; while it takes long, once for several of them."""

    MIN_GAP_S = 0.02
    GAP_PER_COST = 4.0
    """Pause after a call as a multiple of the time that it took."""

    def __init__(
        self, loop: Loop, function: Callable[[], object], worked_s: WorkClock = time.thread_time
    ) -> None:
        self.loop = loop
        self.function = function
        self.worked_s = worked_s
        self.due_s: deque[float] = deque()
        """When calls are due, in order; monotonic."""
        self.earliest_s = loop.now()
        """When the pause after the latest call ends."""
        self.waits = False

    def ask(self, delay_s: float) -> None:
        """Have a call made after a delay, or a little later."""
        due_s = self.loop.now() + delay_s
        if self.due_s:
            if self.due_s[-1] >= due_s:
                return
            due_s = max(due_s, self.due_s[-1] + self.MIN_GAP_S)
        self.due_s.append(due_s)
        self._wait()

    def _wait(self) -> None:
        if self.due_s and not self.waits:
            self.waits = True
            next_s = max(self.due_s[0], self.earliest_s)
            self.loop.call_later(max(0.0, next_s - self.loop.now()), self._call)

    def _call(self) -> None:
        self.waits = False
        begun_s = self.loop.now()
        while self.due_s and self.due_s[0] <= begun_s:
            self.due_s.popleft()
        worked_s = self.worked_s()
        try:
            self.function()
        finally:
            cost_s = self.worked_s() - worked_s
            self.earliest_s = self.loop.now() + self.GAP_PER_COST * cost_s
            self._wait()
