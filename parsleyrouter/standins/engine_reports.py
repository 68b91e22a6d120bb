"""Reports of the stand-in engine: load with a lag, cache events with a lag and with losses."""

import random
from collections import deque
from dataclasses import dataclass

__all__ = ["CacheEvent", "CacheEvents", "LoadReports"]

MAX_EVENTS_KEPT = 1000


class LoadReports:
    """Report the load of the last full interval before a lag, both in seconds."""

    def __init__(self, interval_s: float, lag_s: float) -> None:
        self.interval_s = interval_s
        self.lag_s = lag_s
        self.changes: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])

    def record(self, now: float, running: int, waiting: int) -> None:
        """Record the current load."""
        self.changes.append((now, running, waiting))
        while len(self.changes) > 1 and self.changes[1][0] <= self._shown_at_s(now):
            self.changes.popleft()

    def shown(self, now: float) -> tuple[int, int]:
        """Return the running and waiting generations that are reported now."""
        at_s = self._shown_at_s(now)
        seen = [change for change in self.changes if change[0] <= at_s]
        _, running, waiting = seen[-1] if seen else self.changes[0]
        return running, waiting

    def _shown_at_s(self, now: float) -> float:
        return (now - self.lag_s) // self.interval_s * self.interval_s


@dataclass(frozen=True)
class CacheEvent:
    """Prefixes stored and removed; gaps in ``number`` reveal lost events."""

    number: int
    at_s: float
    stored: list[str]
    removed: list[str]


class CacheEvents:
    """Deliver cache events to readers with a lag, and lose some of them."""

    def __init__(self, lag_s: float, loss: float, rng: random.Random) -> None:
        self.lag_s = lag_s
        self.loss = loss
        self.rng = rng
        self.number = 0
        self.events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS_KEPT)

    def add(self, now: float, stored: list[str], removed: list[str]) -> None:
        """Add an event; a lost one leaves a gap in the numbers."""
        if not stored and not removed:
            return
        self.number += 1
        if self.rng.random() >= self.loss:
            self.events.append(CacheEvent(self.number, now, stored, removed))

    def visible(self, now: float, after: int) -> list[CacheEvent]:
        """Return the events after a number that are visible to readers now."""
        return [
            event
            for event in self.events
            if event.number > after and event.at_s <= now - self.lag_s
        ]
