"""Shares of a loop's turn for received bytes that take long to handle."""

from collections import deque
from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge

from parsleyrouter.process.loop import Loop

__all__ = ["CONNECTION_SHARE_S", "TURN_SHARE_S", "TurnShares"]

TOKEN_GAP_S = 0.045
"""Time between two tokens that most streams keep to."""

TURN_SHARE_S = TOKEN_GAP_S / 10
"""Time in one turn for all connections that have used up their share in an earlier one."""

CONNECTION_SHARE_S = TURN_SHARE_S / 4
"""Time in one turn for the received bytes of one connection."""


class TurnShares:
    """Handle what is left of received bytes in later turns, one connection after the other."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.waiting: deque[Callable[[], None]] = deque()
        self.scheduled = False
        self.longest_s = 0.0
        """The longest time that the bytes of one connection took in a turn."""
        self.on_defer: Callable[[], object] = lambda: None

    def expose(self, registry: CollectorRegistry) -> None:
        """Register the metrics of the shares."""
        longest = Gauge(
            "parsley_connection_longest_share_seconds",
            "Longest time that the received bytes of one connection took in a turn of the loop.",
            registry=registry,
        )
        longest.set_function(lambda: self.longest_s)
        deferrals = Counter(
            "parsley_connection_shares_used_up",
            "Times that received bytes of a connection were left to a later turn of the loop.",
            registry=registry,
        )
        self.on_defer = deferrals.inc

    def end_s(self) -> float:
        """Return when a share that begins now ends; monotonic."""
        return self.loop.now() + CONNECTION_SHARE_S

    def record(self, began_s: float) -> None:
        """Record the end of a share."""
        self.longest_s = max(self.longest_s, self.loop.now() - began_s)

    def defer(self, call: Callable[[], None]) -> None:
        """Call in a later turn, after the connections that already wait."""
        self.on_defer()
        self.waiting.append(call)
        self._schedule()

    def _schedule(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_later(0.0, self._run)

    def _run(self) -> None:
        self.scheduled = False
        until_s = self.loop.now() + TURN_SHARE_S
        try:
            for _ in range(len(self.waiting)):
                self.waiting.popleft()()
                if self.loop.now() >= until_s:
                    break
        finally:
            if self.waiting:
                self._schedule()
