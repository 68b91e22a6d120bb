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
from parsleyrouter.process.follower import Follower
from parsleyrouter.process.locate import Locate
from parsleyrouter.process.runtime import Runtime

__all__ = ["PlannedStop", "ShutdownPlan", "ShutdownState", "leave_first"]

PROPAGATION_S = 3.0
"""Seconds after which every node knows that one is leaving."""

REQUEST_ARRIVAL_S = 1.0
"""Seconds that a request sent with the last valid answer may take to arrive."""

POLL_INTERVAL_S = 0.05

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class ShutdownState:
    """What a stop depends on at one moment."""

    now: float
    own_results_until_s: float
    open_requests: int


@dataclass(frozen=True)
class ShutdownPlan:
    """Decide when a leaving entry may end; times are local and monotonic, in seconds."""

    started_s: float
    locate_ttl_s: float
    limit_s: float
    propagation_s: float = PROPAGATION_S
    arrival_s: float = REQUEST_ARRIVAL_S

    def locate_results_expired(self, state: ShutdownState) -> bool:
        """Tell whether no caller may hold an answer that names this entry."""
        other_results_until_s = self.started_s + self.propagation_s + self.locate_ttl_s
        last_s = max(other_results_until_s, state.own_results_until_s) + self.arrival_s
        return state.now >= last_s

    def may_exit(self, state: ShutdownState) -> bool:
        """Tell whether the process may end and cut nothing."""
        return self.locate_results_expired(state) and state.open_requests == 0

    def overdue(self, state: ShutdownState) -> bool:
        """Tell whether the stop must end even if it cuts something."""
        return state.now >= self.started_s + self.limit_s


class PlannedStop:
    """Carry out the plan for an entry."""

    def __init__(
        self,
        runtime: Runtime,
        agent: Agent,
        locate: Locate,
        server: HttpServer,
        *,
        limit_s: float,
        propagation_s: float = PROPAGATION_S,
        arrival_s: float = REQUEST_ARRIVAL_S,
    ) -> None:
        self.loop = runtime.loop
        self.agent = agent
        self.locate = locate
        self.server = server
        self.limit_s = limit_s
        self.propagation_s = propagation_s
        self.arrival_s = arrival_s
        runtime.on_stop(self.run)
        runtime.on_hurry(self.log_cut_requests)

    async def run(self) -> None:
        """Leave, wait for the end of all work, then say good-bye to the other nodes."""
        plan = ShutdownPlan(
            started_s=self.loop.now(),
            locate_ttl_s=self.locate.ttl_s,
            limit_s=self.limit_s,
            propagation_s=self.propagation_s,
            arrival_s=self.arrival_s,
        )
        self.locate.leaving = True
        self.server.closing = True
        self.agent.leave()
        while not plan.may_exit(self._state()):
            if plan.overdue(self._state()):
                self.log_cut_requests()
                break
            await self.loop.sleep(POLL_INTERVAL_S)
        self.agent.end()

    def log_cut_requests(self) -> None:
        """Log which requests are cut by ending now."""
        cut = self.server.open_requests()
        log.warning("ending cuts requests", extra={"count": len(cut), "requests": cut})

    def _state(self) -> ShutdownState:
        return ShutdownState(
            now=self.loop.now(),
            own_results_until_s=self.locate.named_until_s,
            open_requests=len(self.server.open_requests()),
        )


def leave_first(
    runtime: Runtime,
    follower: Follower,
    log_cut_requests: Callable[[], None] = lambda: None,
    *,
    propagation_s: float = PROPAGATION_S,
) -> None:
    """Let a process be known to leave before its other stop hooks run."""

    async def leave() -> None:
        await follower.leave()
        await runtime.loop.sleep(propagation_s)

    runtime.on_stop(leave)
    runtime.on_hurry(log_cut_requests)
