"""Stop a process without cutting a request.

An entry leaves the locate answers, serves until every answer that names it has lapsed and the last
request has ended, and only then ends. Register ``PlannedStop`` after the other stop hooks of an
entry and ``leave_first`` after those of a process that follows an agent: hooks run the latest
first.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from parsleyrouter.connection.http_server import HttpServer
from parsleyrouter.process.agent import Agent
from parsleyrouter.process.entry_locator import EntryLocator
from parsleyrouter.process.follower import Follower
from parsleyrouter.process.runtime import Runtime

__all__ = ["GracefulShutdown", "StopPlan", "StopState", "leave_before_stop"]

SPREAD_S = 3.0
"""Seconds after which every node knows that one is leaving."""

ARRIVAL_S = 1.0
"""Seconds that a request sent with the last valid answer may take to arrive."""

CHECK_S = 0.05

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class StopState:
    """What a stop depends on at one moment."""

    now: float
    own_answers_until_s: float
    open_requests: int


@dataclass(frozen=True)
class StopPlan:
    """Decide when a leaving entry may end; times are local and monotonic, in seconds."""

    began_s: float
    locate_ttl_s: float
    stop_timeout_s: float
    spread_s: float = SPREAD_S
    arrival_s: float = ARRIVAL_S

    def answers_lapsed(self, state: StopState) -> bool:
        """Tell whether no caller may hold an answer that names this entry."""
        others_until_s = self.began_s + self.spread_s + self.locate_ttl_s
        last_s = max(others_until_s, state.own_answers_until_s) + self.arrival_s
        return state.now >= last_s

    def may_end(self, state: StopState) -> bool:
        """Tell whether the process may end and cut nothing."""
        return self.answers_lapsed(state) and state.open_requests == 0

    def overdue(self, state: StopState) -> bool:
        """Tell whether the stop must end even if it cuts something."""
        return state.now >= self.began_s + self.stop_timeout_s


class GracefulShutdown:
    """Carry out the plan for an entry."""

    def __init__(
        self,
        runtime: Runtime,
        agent: Agent,
        locate: EntryLocator,
        server: HttpServer,
        *,
        stop_timeout_s: float,
        spread_s: float = SPREAD_S,
        arrival_s: float = ARRIVAL_S,
    ) -> None:
        self.loop = runtime.loop
        self.agent = agent
        self.locate = locate
        self.server = server
        self.stop_timeout_s = stop_timeout_s
        self.spread_s = spread_s
        self.arrival_s = arrival_s
        runtime.on_stop(self.run)
        runtime.on_forced_stop(self.report_cut)

    async def run(self) -> None:
        """Leave, wait for the end of all work, then say good-bye to the other nodes."""
        plan = StopPlan(
            began_s=self.loop.now(),
            locate_ttl_s=self.locate.ttl_s,
            stop_timeout_s=self.stop_timeout_s,
            spread_s=self.spread_s,
            arrival_s=self.arrival_s,
        )
        self.locate.leaving = True
        self.server.closing = True
        self.agent.leave()
        while not plan.may_end(self._state()):
            if plan.overdue(self._state()):
                self.report_cut()
                break
            await self.loop.sleep(CHECK_S)
        self.agent.end()

    def report_cut(self) -> None:
        """Log which requests are cut by ending now."""
        cut = self.server.open_requests()
        log.warning("ending cuts requests", extra={"count": len(cut), "requests": cut})

    def _state(self) -> StopState:
        return StopState(
            now=self.loop.now(),
            own_answers_until_s=self.locate.used_until_s,
            open_requests=len(self.server.open_requests()),
        )


def leave_before_stop(
    runtime: Runtime,
    follower: Follower,
    report_cut: Callable[[], None] = lambda: None,
    *,
    spread_s: float = SPREAD_S,
) -> None:
    """Let a process be known to leave before its other stop hooks run."""

    async def leave() -> None:
        await follower.leave()
        await runtime.loop.sleep(spread_s)

    runtime.on_stop(leave)
    runtime.on_forced_stop(report_cut)
