"""Rate limit and backoff for the calls of one process to the key-value service."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

__all__ = ["BudgetRefusal", "BudgetSettings", "CallBudget"]

RAMP_START_SHARE = 0.1
MIN_OUTAGE_FAILURES = 3


@dataclass(frozen=True)
class BudgetSettings:
    """Rates in calls per second, times in seconds."""

    calls_per_s: float = 40.0
    burst_calls: float = 80.0
    wait_limit_s: float = 2.0
    backoff_base_s: float = 0.1
    backoff_limit_s: float = 5.0
    ramp_s: float = 10.0


class BudgetRefusal(Enum):
    """Reasons why a call may not be made now."""

    OVER_BUDGET = "over_budget"
    BACKING_OFF = "backing_off"


class CallBudget:
    """Limit the call rate (generic cell rate algorithm) and back off with jitter after failures.

    After an outage, detected by consecutive failures, the rate ramps up to its full value.
    Each reservation gets its own point in time, so that waiting callers do not send at once.
    """

    def __init__(
        self, settings: BudgetSettings | None = None, rng: Callable[[], float] = random.random
    ) -> None:
        self.settings = settings or BudgetSettings()
        self.rng = rng
        self.theoretical_arrival_s = 0.0
        self.failures = 0
        self.blocked_until_s = 0.0
        self.recovered_at_s: float | None = None

    def reserve(self, now: float, *, urgent: bool = False) -> float | BudgetRefusal:
        """Return how long to wait before the call, in seconds, or why it may not be made.

        An ``urgent`` call counts towards the rate, but does not wait behind the calls before it.
        """
        interval_s = 1 / self.rate(now)
        burst_allowance_s = interval_s * self._burst(now)
        theoretical_arrival_s = max(self.theoretical_arrival_s, now) + interval_s
        wait_s = 0.0 if urgent else max(0.0, theoretical_arrival_s - burst_allowance_s - now)
        if self.blocked_until_s - now > self.settings.wait_limit_s:
            return BudgetRefusal.BACKING_OFF
        wait_s = max(wait_s, self.blocked_until_s - now)
        if wait_s > self.settings.wait_limit_s:
            return BudgetRefusal.OVER_BUDGET
        self.theoretical_arrival_s = theoretical_arrival_s
        return wait_s

    def rate(self, now: float) -> float:
        """Return the rate allowed now, in calls per second."""
        return self.settings.calls_per_s * self._ramp_share(now)

    def record_failure(self, now: float) -> None:
        """Record a call without a response; failures during a backoff do not extend it."""
        if now < self.blocked_until_s:
            return
        settings = self.settings
        max_backoff_s = min(settings.backoff_limit_s, settings.backoff_base_s * 2**self.failures)
        self.failures = min(self.failures + 1, 32)
        self.blocked_until_s = now + max_backoff_s * (0.5 + 0.5 * self.rng())
        self.theoretical_arrival_s = max(self.theoretical_arrival_s, self.blocked_until_s)
        if self.failures >= MIN_OUTAGE_FAILURES:
            # Evenly spaced reservations would undo the jitter and keep processes synchronized.
            self.theoretical_arrival_s = self.blocked_until_s
            self.recovered_at_s = None

    def record_success(self, now: float) -> None:
        """Record a call with a response and end the backoff."""
        if self.failures >= MIN_OUTAGE_FAILURES:
            self.recovered_at_s = now
        self.failures = 0
        self.blocked_until_s = 0.0

    def _ramp_share(self, now: float) -> float:
        if self.failures >= MIN_OUTAGE_FAILURES:
            return RAMP_START_SHARE
        if self.recovered_at_s is None:
            return 1.0
        return min(1.0, RAMP_START_SHARE + (now - self.recovered_at_s) / self.settings.ramp_s)

    def _burst(self, now: float) -> float:
        return max(1.0, self.settings.burst_calls * self._ramp_share(now))
