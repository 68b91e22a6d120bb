"""Shut down a front process without interrupting a request.

The process leaves the lists of addresses, serves until those that name it have expired, begins only
requests that it can finish, and closes its connections as they become idle.
"""

import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from parsleyrouter.connection.forward_server import ForwardServer
from parsleyrouter.process.job_owner import JobOwner
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry
from parsleyrouter.process.stop_gate import StopGate
from parsleyrouter.process.stop_window import REQUEST_ARRIVAL_S, StopWindow

__all__ = ["FrontShutdown"]

STANDBY_NEWS_S = 0.8
"""Time until nodes on standby no longer list a node that stops: an aggregate and its relay."""

GIVE_UP_S = 1.0
"""Time in which what other nodes can use at once is given up, before the rest is handed over."""

POLL_INTERVAL_S = 0.02

log = logging.getLogger(__name__)


class FrontShutdown:
    """Leave the fleet, serve until no callers remain, hand over batch work, exit."""

    def __init__(
        self,
        loop: Loop,
        registry: NodeRegistry,
        exchange: LoadExchange,
        server: ForwardServer,
        owner: JobOwner,
        gate: StopGate,
        grace_s: float,
        request_header: str,
    ) -> None:
        self.loop = loop
        self.registry = registry
        self.exchange = exchange
        self.server = server
        self.owner = owner
        self.gate = gate
        self.grace_s = grace_s
        self.request_header = request_header
        self.before_leaving: list[Callable[[float], Awaitable[None]]] = []
        """Called with the monotonic time by which they should end, before work is handed over."""

    async def run(self) -> None:
        """Run the shutdown to its end."""
        notice_s = STANDBY_NEWS_S if self.exchange.members.divided else 0.0
        window = StopWindow(self.loop.now(), self.grace_s, notice_s)
        self.gate.begin_stop(window)
        self.registry.leaving, self.registry.named_until_s = True, window.lists_expire_s
        self.server.start_closing()
        self.exchange.broadcast()
        handover = self.loop.spawn(self._hand_over(window.handover_s), "hand over")
        while self.loop.now() < window.exit_s:
            if self._is_done(window) and handover.done:
                break
            await self.loop.sleep(POLL_INTERVAL_S)
        self.gate.close()
        self._log_end(window.started_s, handed_over=handover.done)
        self.server.reply_to_unanswered(HTTPStatus.BAD_GATEWAY)

    def _is_done(self, window: StopWindow) -> bool:
        """Close idle connections; return whether no caller is expected or served any more."""
        now = self.loop.now()
        if now < window.callers_gone_s:
            return False
        recent = self.server.close_idle(REQUEST_ARRIVAL_S)
        return not self.server.open_requests() and (not recent or now >= window.finish_s)

    def _log_end(self, started_s: float, *, handed_over: bool) -> None:
        now = self.loop.now()
        last_request_s = self.server.last_request_s
        exchanges = list(self.server.exchanges.values())
        fields = {
            "cut": self.server.open_requests(),
            "requests": [one.head.headers.get(self.request_header, "") for one in exchanges],
            "refused": self.gate.refused,
            "handed_over": handed_over,
            "last_request_s": round(last_request_s - started_s, 3) if last_request_s else None,
            "took_s": round(now - started_s, 3),
        }
        log.info("stop ends", extra=fields)

    async def _hand_over(self, until_s: float) -> None:
        for give_up in self.before_leaving:
            await give_up(min(until_s, self.loop.now() + GIVE_UP_S))
        await self.owner.leave(max(0.0, until_s - self.loop.now()))
        await self.registry.leave(until_s)
