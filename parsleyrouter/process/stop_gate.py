"""Refuse requests and calls that a stopping process cannot finish."""

from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.stop_window import REQUEST_ARRIVAL_S, RecentMaximum, StopWindow

__all__ = ["StopGate"]

DURATIONS_WINDOW_S = 10.0

START_S = 1.0
"""About the time from the exit of a process until its next start accepts callers."""


class StopGate:
    """Decide whether a request or call may begin; all may while the process is not stopping."""

    def __init__(self, loop: Loop, members: CellMembers) -> None:
        self.loop = loop
        self.members = members
        self.window: StopWindow | None = None
        self.durations: dict[str, RecentMaximum] = {}
        """Durations of the calls that were recently answered, by kind."""
        self.running: dict[str, list[float]] = {}
        """When the calls in progress began, by kind."""
        self.closed = False
        self.refused = 0

    def begin_stop(self, window: StopWindow) -> None:
        """Begin only what ends within a window from now on."""
        self.window = window

    def close(self) -> None:
        """Let nothing begin from now on: the process is about to exit."""
        self.closed = True

    def refuse_request(self, deadline_s: float) -> Refusal | None:
        """Refuse a request that is not sure to end before the exit; ``deadline_s`` is monotonic."""
        if self.window is None or (not self.closed and self.window.may_begin(deadline_s)):
            return None
        return self._refusal()

    def refuse_call(self, kind: str, assumed_s: float) -> Refusal | None:
        """Refuse a call of this node's own interface that is not expected to end before the exit.

        ``assumed_s`` is its duration if there was no call of its kind recently.
        """
        if self.window is None:
            return None
        slowest_s = self._slowest_s(kind)
        slowest_s = assumed_s if slowest_s is None else slowest_s
        if not self.closed and self.window.expects_end(self.loop.now(), slowest_s):
            return None
        return self._refusal()

    def start(self, kind: str) -> float:
        """Note that a call begins, and return when."""
        now = self.loop.now()
        self.running.setdefault(kind, []).append(now)
        return now

    def end(self, kind: str, began_s: float, *, answered: bool) -> None:
        """Note the end of a call; only answered ones tell how long calls take."""
        self.running[kind].remove(began_s)
        if answered:
            now = self.loop.now()
            recent = self.durations.setdefault(kind, RecentMaximum(DURATIONS_WINDOW_S))
            recent.record(now - began_s, now)

    def _refusal(self) -> Refusal:
        self.refused += 1
        message = "this node stops before the request can end: try another node"
        return Refusal(RefusalKind.STOPPING, message, ExecutionStatus.NOT_RUN, self._retry_s())

    def _retry_s(self) -> float:
        """Return the time until a node accepts callers, 0 while another one does."""
        if self.members.serving_nodes():
            return 0.0
        now = self.loop.now()
        named_until_s = [until_s for _, until_s in self.members.stopping_nodes().values()]
        exit_s = min(named_until_s, default=now) + REQUEST_ARRIVAL_S
        return max(0.0, exit_s - now) + START_S

    def _slowest_s(self, kind: str) -> float | None:
        """Return the longest recent duration, of requests in progress too."""
        now = self.loop.now()
        recent = self.durations.get(kind)
        answered_s = recent.value(now) if recent is not None else None
        running_s = max((now - began_s for began_s in self.running.get(kind, ())), default=0.0)
        return None if answered_s is None else max(answered_s, running_s)
