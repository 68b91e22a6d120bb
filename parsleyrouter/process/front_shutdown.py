"""Stop a front process without cutting a request.

Callers keep an answer that names this node for up to three times its life, so the process goes on
serving that long. It then closes its connections as they become idle.
"""

import logging

from parsleyrouter.connection.forward_server import ForwardServer
from parsleyrouter.process.address_directory import ADDRESSES_TTL_S
from parsleyrouter.process.job_owner import JobOwner
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry

__all__ = ["FrontShutdown"]

KEPT_ANSWERS = 3
"""Multiples of an answer's life for which some callers keep it."""

ARRIVAL_S = 0.3
"""Time that a request sent with the last valid answer may take to arrive."""

GRACE_SHARE = 0.85
"""Part of the grace time after which the process ends even if that cuts a request."""

CHECK_S = 0.02

log = logging.getLogger(__name__)


class FrontShutdown:
    """Leave, serve until callers are gone, hand work over, end."""

    def __init__(
        self,
        loop: Loop,
        registry: NodeRegistry,
        exchange: LoadExchange,
        server: ForwardServer,
        owner: JobOwner,
        grace_s: float,
    ) -> None:
        self.loop = loop
        self.registry = registry
        self.exchange = exchange
        self.server = server
        self.owner = owner
        self.grace_s = grace_s

    async def run(self) -> None:
        """Carry out the stop."""
        began_s = self.loop.now()
        limit_s = began_s + self.grace_s * GRACE_SHARE
        self.registry.leaving = True
        self.server.closing = True
        self.exchange.broadcast()
        work = self.loop.spawn(self._hand_over(limit_s - began_s - 1.0), "hand over")
        quiet_s = began_s + KEPT_ANSWERS * ADDRESSES_TTL_S + ARRIVAL_S
        while self.loop.now() < limit_s:
            over = self.loop.now() >= quiet_s
            if over:
                self.server.close_idle()
            if over and work.done and not self.server.open_requests():
                break
            await self.loop.sleep(CHECK_S)
        cut = self.server.open_requests()
        log.info("stop ends", extra={"cut": cut, "took_s": round(self.loop.now() - began_s, 3)})

    async def _hand_over(self, limit_s: float) -> None:
        await self.owner.leave(max(0.0, limit_s))
        await self.registry.leave()
