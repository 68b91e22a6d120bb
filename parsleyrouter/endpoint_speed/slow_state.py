"""Decide which endpoints count as slow, with hysteresis, and log the changes at a bounded rate."""

import logging
from dataclasses import dataclass, field
from enum import Enum

from parsleyrouter.ids import EndpointId

__all__ = ["SlowStates", "SpeedState"]

SLOW_FROM = 2.0
NORMAL_BELOW = 1.3
"""Slowness at which an endpoint starts and stops to count as slow."""

LOG_INTERVAL_S = 10.0
"""Time for which at most ``LOG_LINES`` changes are logged."""

LOG_LINES = 10

log = logging.getLogger(__name__)


class SpeedState(Enum):
    """Whether an endpoint counts as slow."""

    NORMAL = "normal speed"
    SLOW = "slow"


@dataclass
class SlowStates:
    """The endpoints that count as slow."""

    slow: set[EndpointId] = field(default_factory=set)
    changes: int = 0
    logged_since_s: float = 0.0
    logged: int = 0

    def update(self, endpoint: EndpointId, slowness: float, now: float) -> None:
        """Record the present slowness of an endpoint."""
        is_slow = endpoint in self.slow
        if is_slow and slowness < NORMAL_BELOW:
            self.slow.discard(endpoint)
            self._log(endpoint, SpeedState.NORMAL, slowness, now)
        elif not is_slow and slowness >= SLOW_FROM:
            self.slow.add(endpoint)
            self._log(endpoint, SpeedState.SLOW, slowness, now)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop an endpoint."""
        self.slow.discard(endpoint)

    def _log(self, endpoint: EndpointId, state: SpeedState, slowness: float, now: float) -> None:
        self.changes += 1
        if now >= self.logged_since_s + LOG_INTERVAL_S:
            self.logged_since_s, self.logged = now, 0
        self.logged += 1
        if self.logged <= LOG_LINES:
            fields = {"endpoint": endpoint, "state": state.value, "slowness": round(slowness, 2)}
            log.info("endpoint speed changed", extra=fields)
