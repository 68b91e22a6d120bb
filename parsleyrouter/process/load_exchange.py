"""Tell the other nodes what work this one has at the endpoints, and hear theirs.

Within a cell: one datagram to each node when something has changed, and a heartbeat without
changes. Between cells: one node speaks for its cell and hands on what the others tell. Losing a
datagram costs accuracy until the next, never a promise.
"""

import itertools
import logging
from collections.abc import Callable

from parsleyrouter.connection.datagram import DatagramSocket
from parsleyrouter.ids import Address, CellId, EndpointId, NodeId
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.cells import SINGLE_CELL, divide
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.fleet_loads import CellSum, NodeLoadReport, RequestCounts, sum_uses
from parsleyrouter.process.load_codec import BadNews, decode, encode_cells, encode_node
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry, RegisteredNode

__all__ = ["LoadExchange"]

HEARTBEAT_S = 0.5
GATHER_S = 0.015
"""How long changes are gathered before they are told; well below an engine's first token."""

CELL_GATHER_S = 0.03
"""The same in a fleet of several cells, where each telling costs every node of a cell."""

CELLS_S = 0.1
"""Pause between two sums of a cell: a fifth of the time that a request takes."""

SPEAKERS_TOLD = 2
"""Nodes of another cell that get the sum: the second speaks when the first is lost."""

log = logging.getLogger(__name__)


class LoadExchange:
    """Send and take news over one UDP socket."""

    def __init__(
        self, loop: Loop, loads: EndpointLoads, registry: NodeRegistry, routes: ActiveRoutes
    ) -> None:
        self.loop = loop
        self.loads = loads
        self.registry = registry
        self.routes = routes
        self.datagrams = DatagramSocket(loop, registry.own.nodes, self._take)
        self.sequence = itertools.count(1)
        self.heard: dict[NodeId, RegisteredNode] = {}
        self.known: dict[NodeId, RegisteredNode] = {}
        self.cell: CellId = SINGLE_CELL
        self.cell_peers: dict[NodeId, Address] = {}
        """The other nodes of the own cell."""
        self.remote_peers: list[Address] = []
        """Those nodes of other cells that are told the sum of this one."""
        self.sent_s = 0.0
        self.told: dict[EndpointId, RequestCounts] = {}
        self.gathering = False
        self.on_load_report: list[Callable[[], object]] = []
        loads.on_own_change.append(self._gather)

    def start(self) -> None:
        """Begin to tell."""
        self._beat()
        self._speak()

    def others(self) -> dict[NodeId, RegisteredNode]:
        """Return the other nodes, as registered or as heard of lately."""
        live = {news.node for news in self.loads.fleet.live_nodes(self.loop.now())}
        known = {node: self.heard[node] for node in live if node in self.heard}
        known = self.registry.nodes | known
        return {node: info for node, info in known.items() if node != self.registry.own.node}

    def broadcast(self) -> None:
        """Send the current loads to the nodes of the own cell."""
        self.find_cells()
        own = self.registry.own
        uses = self._uses()
        news = NodeLoadReport(
            node=own.node,
            boot=own.boot,
            sequence=next(self.sequence),
            uses=uses,
            leaving=self.registry.leaving,
            routes_version=self.routes.version,
            waiting_items=self.loads.waiting_items,
            store_failing=self.registry.store.failing,
        )
        data = encode_node(news, own)
        for address in self.cell_peers.values():
            self.datagrams.send(address, data)
        self.told, self.sent_s = uses, self.loop.now()

    def find_cells(self) -> None:
        """Divide the nodes known now into cells."""
        own, others = self.registry.own, self.others()
        if others == self.known:
            return
        self.known = others
        cells = divide({own.node: own.domain} | {node: one.domain for node, one in others.items()})
        cell = cells.pop(own.node)
        if cell != self.cell:
            log.info("cell changed", extra={"cell": cell, "node_count": len(cells) + 1})
            self.loads.fleet.forget_cell(cell)
        self.cell = cell
        self.cell_peers = {node: others[node].nodes for node, its in cells.items() if its == cell}
        members: dict[CellId, list[NodeId]] = {}
        for node in sorted(cells):
            members.setdefault(cells[node], []).append(node)
        members.pop(cell, None)
        self.remote_peers = [
            others[node].nodes for nodes in members.values() for node in nodes[:SPEAKERS_TOLD]
        ]

    def leader(self) -> NodeId:
        """Return the node that speaks for this cell: the first that stays of those heard lately."""
        own = self.registry.own.node
        staying = [news.node for news in self._live_near() if not news.leaving]
        if not self.registry.leaving:
            staying.append(own)
        return min(staying, default=own)

    def _live_near(self) -> list[NodeLoadReport]:
        """Return the latest word of the other nodes of this cell."""
        live = self.loads.fleet.live_nodes(self.loop.now())
        return [news for news in live if news.node in self.cell_peers]

    def _beat(self) -> None:
        if self.loop.now() - self.sent_s >= HEARTBEAT_S:
            self.broadcast()
        self.loop.call_later(HEARTBEAT_S, self._beat)

    def _speak(self) -> None:
        """Tell the sum of this cell to others and theirs to this one, if this node speaks."""
        self.loop.call_later(CELLS_S, self._speak)
        own = self.registry.own
        if not self.remote_peers or self.leader() != own.node:
            return
        near = self._live_near()
        told = CellSum(
            cell=self.cell,
            speaker=own.node,
            boot=own.boot,
            sequence=next(self.sequence),
            uses=sum_uses([self._uses(), *(news.uses for news in near)]),
            contenders=sum(1 for news in near if news.waiting_items)
            + bool(self.loads.waiting_items),
        )
        data = encode_cells([told])
        for address in self.remote_peers:
            self.datagrams.send(address, data)
        cells = self.loads.fleet.live_cells(self.loop.now())
        if cells:
            data = encode_cells(cells)
            for address in self.cell_peers.values():
                self.datagrams.send(address, data)

    def _gather(self) -> None:
        if not self.gathering:
            self.gathering = True
            gather_s = CELL_GATHER_S if self.remote_peers else GATHER_S
            self.loop.call_later(gather_s, self._tell_changes)

    def _tell_changes(self) -> None:
        self.gathering = False
        if self.told != self.loads.own:
            self.broadcast()

    def _uses(self) -> dict[EndpointId, RequestCounts]:
        return {name: RequestCounts(use.online, use.batch) for name, use in self.loads.own.items()}

    def _take(self, data: bytes) -> None:
        try:
            node, cells = decode(data, self.loop.now())
        except BadNews as error:
            log.debug("news not read", extra={"reason": str(error)})
            return
        taken = [self.loads.fleet.take_cell(told) for told in cells if told.cell != self.cell]
        if node is not None:
            news, info = node
            taken.append(self.loads.fleet.apply_node(news))
            if taken[-1]:
                self.heard[info.node] = info
        if any(taken):
            for callback in self.on_load_report:
                callback()
