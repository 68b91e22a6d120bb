"""Shut down a process without interrupting a request.

An entry leaves the locate results, serves until every result that contains it has expired and the
last request has finished, and only then exits. Register ``GracefulShutdown`` after the other stop
hooks of an entry and ``leave_before_stop`` after those of a process that follows an agent: stop
hooks run in reverse order of registration.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from parsleyrouter.connection.http_server import HttpServer
from parsleyrouter.process.agent import Agent
from parsleyrouter.process.entry_locator import EntryLocator
from parsleyrouter.process.follower import Follower
from parsleyrouter.process.runtime import Runtime

__all__ = ["GracefulShutdown", "ShutdownPlan", "ShutdownState", "leave_before_stop"]

PROPAGATION_S = 3.0
"""Time until every node knows that one is leaving."""

REQUEST_ARRIVAL_S = 1.0
"""Time that a request to an entry from an expiring result may take to arrive."""

POLL_INTERVAL_S = 0.05

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class ShutdownState:
    """The state on which a shutdown depends, at one moment."""

    now: float
    own_results_until_s: float
    open_requests: int


@dataclass(frozen=True)
class ShutdownPlan:
    """Decide when a leaving entry may exit; times are local and monotonic, in seconds."""

    started_s: float
    locate_ttl_s: float
    stop_timeout_s: float
    propagation_s: float = PROPAGATION_S
    arrival_s: float = REQUEST_ARRIVAL_S

    def locate_results_expired(self, state: ShutdownState) -> bool:
        """Return whether no caller can hold a valid locate result with this entry."""
        other_results_until_s = self.started_s + self.propagation_s + self.locate_ttl_s
        last_s = max(other_results_until_s, state.own_results_until_s) + self.arrival_s
        return state.now >= last_s

    def may_exit(self, state: ShutdownState) -> bool:
        """Return whether the process can exit without interrupting a request."""
        return self.locate_results_expired(state) and state.open_requests == 0

    def overdue(self, state: ShutdownState) -> bool:
        """Return whether the process must exit even if that interrupts requests."""
        return state.now >= self.started_s + self.stop_timeout_s


class GracefulShutdown:
    """Shut down an entry by its ``ShutdownPlan``."""

    def __init__(
        self,
        runtime: Runtime,
        agent: Agent,
        locate: EntryLocator,
        server: HttpServer,
        *,
        stop_timeout_s: float,
        propagation_s: float = PROPAGATION_S,
        arrival_s: float = REQUEST_ARRIVAL_S,
    ) -> None:
        self.loop = runtime.loop
        self.agent = agent
        self.locate = locate
        self.server = server
        self.stop_timeout_s = stop_timeout_s
        self.propagation_s = propagation_s
        self.arrival_s = arrival_s
        runtime.on_stop(self.run)
        runtime.on_forced_stop(self.log_cut_requests)

    async def run(self) -> None:
        """Leave the fleet, wait until all requests have finished, then end the agent."""
        plan = ShutdownPlan(
            started_s=self.loop.now(),
            locate_ttl_s=self.locate.ttl_s,
            stop_timeout_s=self.stop_timeout_s,
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
        """Log which requests are interrupted by exiting now."""
        cut = self.server.open_requests()
        log.warning("exiting interrupts requests", extra={"count": len(cut), "requests": cut})

    def _state(self) -> ShutdownState:
        return ShutdownState(
            now=self.loop.now(),
            own_results_until_s=self.locate.listed_until_s,
            open_requests=len(self.server.open_requests()),
        )


def leave_before_stop(
    runtime: Runtime,
    follower: Follower,
    log_cut_requests: Callable[[], None] = lambda: None,
    *,
    propagation_s: float = PROPAGATION_S,
) -> None:
    """Announce that a process is leaving before its other stop hooks run."""

    async def leave() -> None:
        await follower.leave()
        await runtime.loop.sleep(propagation_s)

    runtime.on_stop(leave)
    runtime.on_forced_stop(log_cut_requests)
