"""Token bucket of one share of a customer's limit; times in seconds, performs no I/O.

In any span the permits that were granted and not given back are at most rate x span + capacity.
"""

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["GIVE_BACK_S", "ShareBucket"]

GIVE_BACK_S = 2.0
"""Time within which a permit can be given back."""

PROMISE_GRACE_S = 0.25
"""Time after the told one for which room is kept for a refused caller."""

PROMISE_MARGIN_S = 0.02
"""Added to told times, so that a caller that is a little early finds its room."""

MAX_PROMISES = 1000

LASTING_S = 1.0
"""Time from which on refusals without a pause are no short burst."""

REFUSAL_PAUSE_S = 0.5
"""Time without a refusal of a new caller that ends a burst."""

REFUSAL_PAUSE_PERMITS = 2
"""Permits that accrue in such a pause at least: shares with low rates are asked seldom."""

LASTING_PROMISED_SHARE = 0.25
"""Share of the permits that is promised while refusals last. Callers that are told to return then
meet new ones: were all permits promised, every caller would be served late and none at once."""

UNTOLD_RETURN_ROOM = 1.0
"""Permits that a caller leaves for new ones if it returns while no promise is due."""

RETURN_WEIGHT = 0.1
"""Weight of the latest caller in the share of callers that return."""

USAGE_TIME_S = 2.5
"""Time constant of the rate of granted permits."""

FULL = 1.0 - 1e-9
"""Level from which a permit can be granted, with room for the error of sums."""


@dataclass
class _RecentPermit:
    granted_s: float
    headroom: float
    """What the bucket would hold more had the permit not been granted."""


@dataclass
class ShareBucket:
    """Permits that accrue at a rate up to a capacity, and the callers that were told to return."""

    rate_per_s: float
    capacity: float
    level: float
    at_s: float
    promises: deque[float] = field(default_factory=deque)
    """Times at which refused callers were told to return, in order."""
    promised_s: float = -math.inf
    """The latest time that a refused caller was told."""
    refused_since_s: float = -math.inf
    refused_s: float = -math.inf
    """When new callers began to be refused without a pause, and when the latest one was."""
    recent: dict[int, _RecentPermit] = field(default_factory=dict)
    """Permits that can still be given back, by number."""
    return_share: float = 1.0
    """Share of the callers that returned of those that were told to."""
    granted_per_s: float = 0.0

    def set_limit(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Apply a new limit at once."""
        self._earn(now)
        self.rate_per_s, self.capacity = rate_per_s, capacity
        self.level = min(self.level, capacity)
        self._cut_headroom()

    def take(self, number: int, now: float, *, returning: bool) -> bool:
        """Take a permit; room that was promised goes to those that return first."""
        self._earn(now)
        due = self._due(now)
        promised = returning and due > 0
        needed = FULL
        if not promised:
            needed += due * self.return_share + (UNTOLD_RETURN_ROOM if returning else 0.0)
            needed = min(needed, max(FULL, self.capacity - 1e-9))
        if self.level < needed:
            if not returning and self.rate_per_s:
                self._note_refusal(now)
            return False
        self.level = max(0.0, self.level - 1.0)
        if promised:
            self.promises.popleft()
            self.return_share += RETURN_WEIGHT * (1.0 - self.return_share)
        self.granted_per_s += 1.0 / USAGE_TIME_S
        self.recent[number] = _RecentPermit(now, min(1.0, self.capacity - self.level))
        return True

    def give_back(self, number: int, now: float) -> bool:
        """Undo a recent permit; return whether there was one."""
        self._earn(now)
        permit = self.recent.pop(number, None)
        if permit is None or now - permit.granted_s > GIVE_BACK_S:
            return False
        self.level = min(self.capacity, self.level + permit.headroom)
        self.granted_per_s = max(0.0, self.granted_per_s - 1.0 / USAGE_TIME_S)
        self._cut_headroom()
        return True

    def wait_s(self, now: float) -> float:
        """Return the time until there is room that nobody else was told of."""
        self._earn(now)
        if not self.rate_per_s:
            return math.inf
        next_s = now + max(0.0, 1.0 - self.level) / self.rate_per_s
        lasting = self.refused_s - self.refused_since_s > LASTING_S
        promised_per_s = self.rate_per_s * (LASTING_PROMISED_SHARE if lasting else 1.0)
        next_s = max(next_s, self.promised_s + 1.0 / promised_per_s)
        return next_s - now + PROMISE_MARGIN_S

    def room_s(self, now: float) -> float:
        """Return the time until there may be room for a new caller if no other comes first."""
        self._earn(now)
        if not self.rate_per_s:
            return math.inf
        missing = max(0.0, 1.0 - self.level)
        most = max(0.0, self.capacity - self.level)
        for told_s in self.promises:
            if told_s > now + missing / self.rate_per_s + PROMISE_MARGIN_S or missing >= most:
                break
            missing += self.return_share
        return min(missing, most) / self.rate_per_s

    def promise(self, now: float, longest_s: float) -> float:
        """Return the time after which there is room for this caller, and keep it for the caller.

        A caller that does not wait for more than ``longest_s`` takes no place beyond that.
        """
        wait_s = self.wait_s(now)
        if wait_s <= longest_s and len(self.promises) < MAX_PROMISES:
            self.promised_s = now + wait_s - PROMISE_MARGIN_S
            self.promises.append(self.promised_s)
        return wait_s

    def usage(self, now: float) -> float:
        """Return the recent rate of permits as a share of the limit, from 0 to 1."""
        self._earn(now)
        return min(1.0, self.granted_per_s / self.rate_per_s) if self.rate_per_s else 1.0

    def _note_refusal(self, now: float) -> None:
        pause_s = max(REFUSAL_PAUSE_S, REFUSAL_PAUSE_PERMITS / self.rate_per_s)
        if now - self.refused_s > pause_s:
            self.refused_since_s = now
        self.refused_s = now

    def _due(self, now: float) -> int:
        return sum(1 for told_s in self.promises if told_s <= now + PROMISE_MARGIN_S)

    def _earn(self, now: float) -> None:
        passed_s = now - self.at_s
        if passed_s > 0:
            self.at_s = now
            self.level = min(self.capacity, self.level + self.rate_per_s * passed_s)
            self.granted_per_s *= math.exp(-passed_s / USAGE_TIME_S)
            self._cut_headroom()
        while self.promises and self.promises[0] + PROMISE_GRACE_S < now:
            self.promises.popleft()
            self.return_share -= RETURN_WEIGHT * self.return_share
        while self.recent:
            oldest = next(iter(self.recent))
            if now - self.recent[oldest].granted_s <= GIVE_BACK_S:
                break
            del self.recent[oldest]

    def _cut_headroom(self) -> None:
        room = self.capacity - self.level
        for permit in self.recent.values():
            permit.headroom = max(0.0, min(permit.headroom, room))
