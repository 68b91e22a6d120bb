"""Exchange load reports with the other nodes over UDP.

Within a cell, each node sends its report to every other node after a change and as a heartbeat.
Between cells, the leader of a cell sends an aggregate and relays the aggregates that it receives. A
lost datagram makes loads inaccurate until the next one; no guarantee depends on it.
"""

import itertools
import logging
from collections.abc import Callable

from parsleyrouter.connection.datagram import DatagramSocket
from parsleyrouter.ids import Address, CellId, EndpointId, NodeId
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.cells import SINGLE_CELL, assign_cells
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.fleet_loads import (
    CellLoadReport,
    NodeLoadReport,
    RequestCounts,
    sum_counts,
)
from parsleyrouter.process.load_codec import (
    InvalidLoadReport,
    decode,
    encode_cell_reports,
    encode_node_report,
)
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry, RegisteredNode

__all__ = ["LoadExchange"]

HEARTBEAT_INTERVAL_S = 0.5
DEBOUNCE_S = 0.015
"""Debounce time for load changes; well below the time to an engine's first token."""

MULTI_CELL_DEBOUNCE_S = 0.03
"""Debounce time in a fleet of several cells, where a report costs time on every node of a cell."""

AGGREGATE_INTERVAL_S = 0.1
"""Interval between aggregates of a cell: a fifth of the time that a request takes."""

REMOTE_PEERS_PER_CELL = 2
"""Nodes of each other cell that get the aggregate: the second becomes leader if the first fails."""

log = logging.getLogger(__name__)


class LoadExchange:
    """Send and receive load reports over one UDP socket."""

    def __init__(
        self, loop: Loop, loads: EndpointLoads, registry: NodeRegistry, routes: ActiveRoutes
    ) -> None:
        self.loop = loop
        self.loads = loads
        self.registry = registry
        self.routes = routes
        self.datagrams = DatagramSocket(loop, registry.own.nodes, self._receive)
        self.sequence = itertools.count(1)
        self.reported_nodes: dict[NodeId, RegisteredNode] = {}
        self.known_nodes: dict[NodeId, RegisteredNode] = {}
        self.cell: CellId = SINGLE_CELL
        self.cell_peers: dict[NodeId, Address] = {}
        """The other nodes of this cell."""
        self.remote_peers: list[Address] = []
        """The nodes of other cells that get the aggregate of this one."""
        self.sent_s = 0.0
        self.sent_counts: dict[EndpointId, RequestCounts] = {}
        self.broadcast_pending = False
        self.on_load_report: list[Callable[[], object]] = []
        loads.on_own_change.append(self._schedule_broadcast)

    def start(self) -> None:
        """Start the heartbeat and the aggregates."""
        self._heartbeat()
        self._send_aggregates()

    def other_nodes(self) -> dict[NodeId, RegisteredNode]:
        """Return the other nodes that are registered or have a valid load report."""
        live = {report.node for report in self.loads.fleet.live_nodes(self.loop.now())}
        known = {node: self.reported_nodes[node] for node in live if node in self.reported_nodes}
        known = self.registry.nodes | known
        return {node: info for node, info in known.items() if node != self.registry.own.node}

    def broadcast(self) -> None:
        """Send the current load report to the other nodes of this cell."""
        self.update_cells()
        own = self.registry.own
        uses = self._own_counts()
        report = NodeLoadReport(
            node=own.node,
            boot=own.boot,
            sequence=next(self.sequence),
            uses=uses,
            leaving=self.registry.leaving,
            routes_version=self.routes.version,
            waiting_items=self.loads.waiting_items,
            store_failing=self.registry.store.failing,
        )
        data = encode_node_report(report, own)
        for address in self.cell_peers.values():
            self.datagrams.send(address, data)
        self.sent_counts, self.sent_s = uses, self.loop.now()

    def update_cells(self) -> None:
        """Reassign cells if the set of known nodes has changed."""
        own, others = self.registry.own, self.other_nodes()
        if others == self.known_nodes:
            return
        self.known_nodes = others
        cells = assign_cells(
            {own.node: own.domain} | {node: info.domain for node, info in others.items()}
        )
        cell = cells.pop(own.node)
        if cell != self.cell:
            log.info("cell changed", extra={"cell": cell, "node_count": len(cells) + 1})
            self.loads.fleet.drop_cell(cell)
        self.cell = cell
        self.cell_peers = {
            node: others[node].nodes for node, assigned in cells.items() if assigned == cell
        }
        members: dict[CellId, list[NodeId]] = {}
        for node in sorted(cells):
            members.setdefault(cells[node], []).append(node)
        members.pop(cell, None)
        self.remote_peers = [
            others[node].nodes
            for nodes in members.values()
            for node in nodes[:REMOTE_PEERS_PER_CELL]
        ]

    def leader(self) -> NodeId:
        """Return the leader of this cell: its lowest node that is live and not leaving."""
        own = self.registry.own.node
        staying = [report.node for report in self._live_peer_reports() if not report.leaving]
        if not self.registry.leaving:
            staying.append(own)
        return min(staying, default=own)

    def _live_peer_reports(self) -> list[NodeLoadReport]:
        """Return the valid reports of the other nodes of this cell."""
        live = self.loads.fleet.live_nodes(self.loop.now())
        return [report for report in live if report.node in self.cell_peers]

    def _heartbeat(self) -> None:
        if self.loop.now() - self.sent_s >= HEARTBEAT_INTERVAL_S:
            self.broadcast()
        self.loop.call_later(HEARTBEAT_INTERVAL_S, self._heartbeat)

    def _send_aggregates(self) -> None:
        """As leader, send this cell's aggregate to other cells and relay theirs to this cell."""
        self.loop.call_later(AGGREGATE_INTERVAL_S, self._send_aggregates)
        own = self.registry.own
        if not self.remote_peers or self.leader() != own.node:
            return
        peer_reports = self._live_peer_reports()
        aggregate = CellLoadReport(
            cell=self.cell,
            leader=own.node,
            boot=own.boot,
            sequence=next(self.sequence),
            uses=sum_counts([self._own_counts(), *(report.uses for report in peer_reports)]),
            waiting_nodes=sum(1 for report in peer_reports if report.waiting_items)
            + bool(self.loads.waiting_items),
        )
        data = encode_cell_reports([aggregate])
        for address in self.remote_peers:
            self.datagrams.send(address, data)
        cells = self.loads.fleet.live_cells(self.loop.now())
        if cells:
            data = encode_cell_reports(cells)
            for address in self.cell_peers.values():
                self.datagrams.send(address, data)

    def _schedule_broadcast(self) -> None:
        if not self.broadcast_pending:
            self.broadcast_pending = True
            debounce_s = MULTI_CELL_DEBOUNCE_S if self.remote_peers else DEBOUNCE_S
            self.loop.call_later(debounce_s, self._broadcast_changes)

    def _broadcast_changes(self) -> None:
        self.broadcast_pending = False
        if self.sent_counts != self.loads.own:
            self.broadcast()

    def _own_counts(self) -> dict[EndpointId, RequestCounts]:
        return {name: RequestCounts(use.online, use.batch) for name, use in self.loads.own.items()}

    def _receive(self, data: bytes) -> None:
        try:
            node, cells = decode(data, self.loop.now())
        except InvalidLoadReport as error:
            log.debug("load report not decoded", extra={"reason": str(error)})
            return
        applied = [
            self.loads.fleet.apply_cell(aggregate)
            for aggregate in cells
            if aggregate.cell != self.cell
        ]
        if node is not None:
            report, info = node
            applied.append(self.loads.fleet.apply_node(report))
            if applied[-1]:
                self.reported_nodes[info.node] = info
        if any(applied):
            for callback in self.on_load_report:
                callback()
