"""Tell the other nodes what work this one has at the endpoints, and hear theirs.

One datagram to each node when something has changed, and a heartbeat without changes. Losing one
costs accuracy until the next, never a promise.
"""

import itertools
import logging
from collections.abc import Callable

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from parsleyrouter.connection.datagram import Datagrams
from parsleyrouter.ids import Address, DomainName, EndpointId, NodeId
from parsleyrouter.process.endpoint_loads import EndpointLoads, EndpointUse, NodeNews
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry, RegisteredNode
from parsleyrouter.process.routes_in_force import RoutesInForce
from parsleyrouter.thrift_gen.load.ttypes import EndpointUse as WireUse
from parsleyrouter.thrift_gen.load.ttypes import LoadNews

__all__ = ["LoadExchange"]

HEARTBEAT_S = 0.5
GATHER_S = 0.015
"""How long changes are gathered before they are told; well below an engine's first token."""

log = logging.getLogger(__name__)


class LoadExchange:
    """Send and take news over one UDP socket."""

    def __init__(
        self, loop: Loop, loads: EndpointLoads, registry: NodeRegistry, routes: RoutesInForce
    ) -> None:
        self.loop = loop
        self.loads = loads
        self.registry = registry
        self.routes = routes
        self.datagrams = Datagrams(loop, registry.own.nodes, self._take)
        self.sequence = itertools.count(1)
        self.heard: dict[NodeId, RegisteredNode] = {}
        self.sent_s = 0.0
        self.told: list[tuple[EndpointId, int, int]] = []
        self.gathering = False
        self.on_news: list[Callable[[], object]] = []
        loads.on_own_change.append(self._gather)

    def start(self) -> None:
        """Begin to tell."""
        self._beat()

    def others(self) -> dict[NodeId, RegisteredNode]:
        """Return the other nodes, as registered or as heard of lately."""
        live = {news.node for news in self.loads.live_nodes(self.loop.now())}
        known = {node: self.heard[node] for node in live if node in self.heard}
        known = self.registry.nodes | known
        return {node: info for node, info in known.items() if node != self.registry.own.node}

    def tell(self) -> None:
        """Send the current loads to all other nodes."""
        own = self.registry.own
        uses = self._uses()
        news = LoadNews(
            node=own.node,
            boot=own.boot,
            sequence=next(self.sequence),
            uses=[WireUse(endpoint, online, batch) for endpoint, online, batch in uses],
            leaving=self.registry.leaving,
            routes_version=self.routes.version,
            callers_address=own.callers,
            nodes_address=own.nodes,
            domain=own.domain,
            waiting_items=self.loads.waiting_items,
            store_failing=self.registry.store.failing,
        )
        buffer = TMemoryBuffer()
        news.write(TCompactProtocolAccelerated(buffer))
        data = buffer.getvalue()
        for node in self.others().values():
            self.datagrams.send(node.nodes, data)
        self.told, self.sent_s = uses, self.loop.now()

    def _beat(self) -> None:
        if self.loop.now() - self.sent_s >= HEARTBEAT_S:
            self.tell()
        self.loop.call_later(HEARTBEAT_S, self._beat)

    def _gather(self) -> None:
        if not self.gathering:
            self.gathering = True
            self.loop.call_later(GATHER_S, self._tell_changes)

    def _tell_changes(self) -> None:
        self.gathering = False
        if self.told != self._uses():
            self.tell()

    def _uses(self) -> list[tuple[EndpointId, int, int]]:
        return [(name, use.online, use.batch) for name, use in sorted(self.loads.own.items())]

    def _take(self, data: bytes) -> None:
        news = LoadNews()
        try:
            news.read(TCompactProtocolAccelerated(TMemoryBuffer(data)))
            uses = {
                EndpointId(use.endpoint): EndpointUse(use.online, use.batch) for use in news.uses
            }
        except Exception as error:
            log.debug("news not read", extra={"reason": str(error)})
            return
        taken = self.loads.take(
            NodeNews(
                node=NodeId(news.node),
                boot=news.boot,
                sequence=news.sequence,
                uses=uses,
                at_s=self.loop.now(),
                leaving=news.leaving,
                routes_version=news.routes_version,
                waiting_items=news.waiting_items or 0,
                store_failing=bool(news.store_failing),
            )
        )
        if taken:
            self.heard[NodeId(news.node)] = RegisteredNode(
                node=NodeId(news.node),
                domain=DomainName(news.domain),
                callers=Address(news.callers_address),
                nodes=Address(news.nodes_address),
                boot=news.boot,
            )
            for callback in self.on_news:
                callback()
