"""Shut down a front process without interrupting a request.

Callers may cache an address list with this node for up to three times its TTL, so the process keeps
serving that long. It then closes its connections as they become idle.
"""

import logging

from parsleyrouter.connection.forward_server import CallerExchange, ForwardServer
from parsleyrouter.process.address_directory import ADDRESSES_TTL_S
from parsleyrouter.process.job_owner import JobOwner
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry

__all__ = ["FrontShutdown"]

MAX_KEPT_TTLS = 3
"""Some callers cache an address list for this many TTLs."""

REQUEST_ARRIVAL_S = 0.3
"""Time that a request to an address from an expiring list may take to arrive."""

STANDBY_NEWS_S = 0.8
"""Time until nodes on standby no longer list a node that stops: an aggregate and its relay."""

GRACE_SHARE = 0.85
"""Share of the grace time after which the process exits even if that interrupts requests."""

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
        grace_s: float,
        request_header: str,
    ) -> None:
        self.loop = loop
        self.registry = registry
        self.exchange = exchange
        self.server = server
        self.owner = owner
        self.grace_s = grace_s
        self.request_header = request_header

    async def run(self) -> None:
        """Run the shutdown to its end."""
        started_s = self.loop.now()
        deadline_s = started_s + self.grace_s * GRACE_SHARE
        self.registry.leaving = True
        self.server.start_closing()
        self.exchange.broadcast()
        handover = self.loop.spawn(self._hand_over(deadline_s - started_s - 1.0), "hand over")
        callers_gone_s = started_s + MAX_KEPT_TTLS * ADDRESSES_TTL_S + REQUEST_ARRIVAL_S
        if self.exchange.members.divided:
            callers_gone_s += STANDBY_NEWS_S
        while self.loop.now() < deadline_s:
            callers_gone = self.loop.now() >= callers_gone_s
            if callers_gone:
                self.server.close_idle()
            if callers_gone and handover.done and not self.server.open_requests():
                break
            await self.loop.sleep(POLL_INTERVAL_S)
        self._log_end(started_s, handed_over=handover.done)

    def _log_end(self, started_s: float, *, handed_over: bool) -> None:
        now = self.loop.now()
        last_request_s = self.server.last_request_s
        fields = {
            "cut": self.server.open_requests(),
            "requests": [one.head.headers.get(self.request_header, "") for one in self._open()],
            "handed_over": handed_over,
            "last_request_s": round(last_request_s - started_s, 3) if last_request_s else None,
            "took_s": round(now - started_s, 3),
        }
        log.info("stop ends", extra=fields)

    def _open(self) -> list[CallerExchange]:
        return list(self.server.exchanges.values())

    async def _hand_over(self, timeout_s: float) -> None:
        await self.owner.leave(max(0.0, timeout_s))
        await self.registry.leave()
