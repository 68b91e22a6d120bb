"""Times of a graceful shutdown: until when callers come, requests may begin and the process runs.

Callers may use a list of addresses for three of its lifetimes. A node that stops is therefore named
only in lists that expire while it still serves. It begins only requests whose deadline is before
its exit, since nothing else bounds how long an endpoint works on a request.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "DURATION_MARGIN",
    "FINISH_SHARE",
    "KEPT_LIFETIMES",
    "MAX_ADDRESSES_TTL_S",
    "MIN_ADDRESSES_TTL_S",
    "REQUEST_ARRIVAL_S",
    "RecentMaximum",
    "StopWindow",
    "addresses_ttl_s",
    "expiring_ttl_s",
]

KEPT_LIFETIMES = 3
"""Some callers keep a list of addresses for this many of its lifetimes."""

MAX_ADDRESSES_TTL_S = 1.5
MIN_ADDRESSES_TTL_S = 0.1

REQUEST_ARRIVAL_S = 0.3
"""Time that a request to an address from an expiring list may take to arrive."""

CALLERS_SHARE = 0.6
"""Share of the grace time in which callers with unexpired lists may come."""

HANDOVER_SHARE = 0.7
"""Share of the grace time in which batch work is handed over."""

FINISH_SHARE = 0.85
"""Share of the grace time in which the calls that a stopping process begins are expected to end."""

EXIT_SHARE = 0.95
"""Share of the grace time after which the process exits even if that interrupts requests."""

DURATION_MARGIN = 1.5
"""A call may take this many times as long as the slowest recent one."""


def addresses_ttl_s(grace_s: float) -> float:
    """Return the lifetime of a list that names only nodes which are not stopping."""
    ttl_s = (CALLERS_SHARE * grace_s - REQUEST_ARRIVAL_S) / KEPT_LIFETIMES
    return max(MIN_ADDRESSES_TTL_S, min(MAX_ADDRESSES_TTL_S, ttl_s))


def expiring_ttl_s(named_until_s: Iterable[float], now: float, ttl_s: float) -> float:
    """Return the lifetime of a list of nodes that accept callers until the given times."""
    left_s = min((until_s - now for until_s in named_until_s), default=KEPT_LIFETIMES * ttl_s)
    return min(ttl_s, left_s / KEPT_LIFETIMES)


@dataclass
class RecentMaximum:
    """The largest of the values recorded in the last one or two windows; times are monotonic."""

    window_s: float
    current: float | None = None
    former: float | None = None
    began_s: float = 0.0

    def record(self, value: float, now: float) -> None:
        """Add a value."""
        self._advance(now)
        self.current = value if self.current is None else max(self.current, value)

    def value(self, now: float) -> float | None:
        """Return the maximum, ``None`` without recent values."""
        self._advance(now)
        return max((one for one in (self.current, self.former) if one is not None), default=None)

    def _advance(self, now: float) -> None:
        windows = int((now - self.began_s) / self.window_s)
        if windows > 0:
            self.former = self.current if windows == 1 else None
            self.current = None
            self.began_s += windows * self.window_s


@dataclass(frozen=True)
class StopWindow:
    """The times of one shutdown; monotonic seconds.

    ``notice_s`` is how long other nodes may still name this one after it has begun to stop.
    """

    started_s: float
    grace_s: float
    notice_s: float = 0.0

    @property
    def lists_expire_s(self) -> float:
        """Return when the last list that names this node expires."""
        return self.started_s + KEPT_LIFETIMES * addresses_ttl_s(self.grace_s) + self.notice_s

    @property
    def callers_gone_s(self) -> float:
        """Return when the last request of a caller with an unexpired list has arrived."""
        return self.lists_expire_s + REQUEST_ARRIVAL_S

    @property
    def finish_s(self) -> float:
        """Return when the calls that the process has begun are expected to have ended."""
        return self.started_s + FINISH_SHARE * self.grace_s

    @property
    def handover_s(self) -> float:
        """Return when the hand-over of batch work ends, done or not."""
        return self.started_s + HANDOVER_SHARE * self.grace_s

    @property
    def exit_s(self) -> float:
        """Return when the process exits even if that interrupts requests."""
        return self.started_s + EXIT_SHARE * self.grace_s

    def may_begin(self, deadline_s: float) -> bool:
        """Return whether a request ends before the process exits, however long it takes."""
        return deadline_s <= self.exit_s

    def expects_end(self, now: float, slowest_s: float) -> bool:
        """Return whether a call that begins now is expected to end in time.

        ``slowest_s`` is the duration of the slowest recent call. Only for calls that may be
        repeated and get an answer even if the process exits before they have ended.
        """
        return now + DURATION_MARGIN * slowest_s <= self.finish_s
