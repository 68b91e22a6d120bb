"""Refuse requests that a stopping process cannot finish."""

from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.stop_window import RecentMaximum, StopWindow

__all__ = ["StopGate"]

DURATIONS_WINDOW_S = 10.0

ALL_STOPPING_RETRY_S = 1.0
"""Retry-After while no other node accepts callers: about the time that a process takes to start."""


class StopGate:
    """Decide whether a request may begin; all may while the process is not stopping."""

    def __init__(self, loop: Loop, members: CellMembers) -> None:
        self.loop = loop
        self.members = members
        self.window: StopWindow | None = None
        self.durations: dict[str, RecentMaximum] = {}
        """Durations of recent requests by what determines them, such as their service."""
        self.closed = False
        """No request may begin any more: the process is about to exit."""
        self.refused = 0

    def record(self, kind: str, duration_s: float) -> None:
        """Record how long a request took."""
        recent = self.durations.setdefault(kind, RecentMaximum(DURATIONS_WINDOW_S))
        recent.record(duration_s, self.loop.now())

    def refusal(
        self, kind: str, deadline_s: float, assumed_s: float | None = None
    ) -> Refusal | None:
        """Return the refusal of a request that may not begin; ``deadline_s`` is monotonic.

        ``assumed_s`` is its duration if there was no request of its kind recently.
        """
        if self.window is None:
            return None
        now = self.loop.now()
        recent = self.durations.get(kind)
        slowest_s = recent.value(now) if recent is not None else None
        slowest_s = assumed_s if slowest_s is None else slowest_s
        if not self.closed and self.window.may_begin(now, deadline_s, slowest_s):
            return None
        self.refused += 1
        message = "this node stops before the request can end: try another node"
        retry_s = 0.0 if self.members.serving_nodes() else ALL_STOPPING_RETRY_S
        return Refusal(RefusalKind.STOPPING, message, ExecutionStatus.NOT_RUN, retry_s)

    def close(self) -> None:
        """Let no request begin from now on."""
        self.closed = True

    def limit(self, deadline_s: float) -> float:
        """Return the deadline of a request that begins now, which the exit limits."""
        return deadline_s if self.window is None else min(deadline_s, self.window.exit_s)
