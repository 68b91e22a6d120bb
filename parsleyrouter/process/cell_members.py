"""Track the cell of this node, the nodes that get its load reports, and the active nodes."""

import logging
from collections.abc import Iterable, Set

from parsleyrouter.ids import Address, CellId, JobId, NodeId
from parsleyrouter.process.cells import (
    ACTIVE_CELL,
    SINGLE_CELL,
    CellNode,
    assign_cells,
    claim_rank,
    first_claimant,
)
from parsleyrouter.process.fleet_loads import FleetLoads, NodeLoadReport
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry, RegisteredNode

__all__ = ["CellMembers"]

LEADING_NODES = 2
"""Nodes of each cell that get the aggregates of others: the second becomes leader if the first
fails."""

UPDATE_INTERVAL_S = 0.1
"""Minimum pause between checks for other nodes."""

log = logging.getLogger(__name__)


class CellMembers:
    """Divide the known nodes into cells as they come and go."""

    def __init__(self, loop: Loop, registry: NodeRegistry, fleet: FleetLoads) -> None:
        self.loop = loop
        self.registry = registry
        self.fleet = fleet
        self.reported_nodes: dict[NodeId, RegisteredNode] = {}
        self.known_nodes: dict[NodeId, RegisteredNode] = {}
        self.divided_nodes: Set[NodeId] = frozenset()
        """The registered nodes that were divided into cells; all nodes agree on them."""
        self.cell: CellId = SINGLE_CELL
        self.peers: dict[NodeId, Address] = {}
        """The other nodes of this cell."""
        self.active: dict[NodeId, RegisteredNode] = {}
        """The other active nodes of a divided fleet."""
        self.remote_peers: list[Address] = []
        """The nodes of other cells that get the aggregate of this one."""
        self.updated_s = -UPDATE_INTERVAL_S

    @property
    def divided(self) -> bool:
        """Return whether the fleet has several cells."""
        return bool(self.remote_peers)

    @property
    def on_standby(self) -> bool:
        """Return whether other nodes take the callers."""
        return self.cell not in (SINGLE_CELL, ACTIVE_CELL)

    def other_nodes(self) -> dict[NodeId, RegisteredNode]:
        """Return the other nodes that are registered or have a valid load report."""
        live = {report.node for report in self.fleet.live_nodes(self.loop.now())}
        known = {node: self.reported_nodes[node] for node in live if node in self.reported_nodes}
        known |= self.registry.recent_nodes()
        return {node: info for node, info in known.items() if node != self.registry.own.node}

    def update(self) -> None:
        """Divide again if the set of known nodes has changed."""
        now = self.loop.now()
        if now - self.updated_s < UPDATE_INTERVAL_S:
            return
        self.updated_s = now
        own, others = self.registry.own, self.other_nodes()
        registered = {**self.registry.recent_nodes(), own.node: own}
        if others == self.known_nodes and registered.keys() == self.divided_nodes:
            return
        self.known_nodes, self.divided_nodes = others, registered.keys()
        cells = assign_cells(
            {node: CellNode(info.domain, info.capacity) for node, info in registered.items()}
        )
        self._set_cell(cells.pop(own.node), len(registered))
        undivided = self.cell == SINGLE_CELL
        peers = [node for node in others if undivided or cells.get(node) == self.cell]
        self.peers = {node: others[node].nodes for node in peers}
        self.active = {node: others[node] for node in cells if cells[node] == ACTIVE_CELL}
        members: dict[CellId, list[NodeId]] = {}
        for node in sorted(cells):
            members.setdefault(cells[node], []).append(node)
        members.pop(self.cell, None)
        if self.on_standby:
            members = {ACTIVE_CELL: members.get(ACTIVE_CELL, [])}
        self.remote_peers = [
            others[node].nodes for nodes in members.values() for node in nodes[:LEADING_NODES]
        ]

    def leader(self) -> NodeId:
        """Return the leader of this cell: the first of its live nodes that can read for it."""
        return self._leading_nodes()[0]

    def active_leader(self) -> NodeId | None:
        """Return the leader of the active cell as it last reported itself to this cell."""
        cells = self.fleet.live_cells(self.loop.now())
        return next((report.leader for report in cells if report.cell == ACTIVE_CELL), None)

    def live_peer_reports(self) -> list[NodeLoadReport]:
        """Return the valid reports of the other nodes of this cell."""
        live = self.fleet.live_nodes(self.loop.now())
        return [report for report in live if report.node in self.peers]

    def heard_share(self) -> float:
        """Return the share of the nodes that send to endpoints of which this node hears.

        Nodes on standby hear the counts of the others too late to send to limited endpoints.
        """
        if self.on_standby:
            return 0.0
        return (1 + len(self.live_peer_reports())) / (1 + len(self.peers))

    def claim_rank(self, job: JobId) -> int | None:
        """Return the place of this node among those that claim a job, ``None`` on standby."""
        return claim_rank(job, self.registry.own.node, self._claimants())

    def first_claimant(self, job: JobId) -> NodeId | None:
        """Return the node that claims a job first; all nodes that agree on the others agree."""
        return first_claimant(job, self._claimants())

    def _claimants(self) -> dict[NodeId, RegisteredNode]:
        own = self.registry.own
        others = self.active if self.divided else self.known_nodes
        return others if self.on_standby else {**others, own.node: own}

    def report_targets(self) -> Iterable[Address]:
        """Return the nodes that get the load report of this node.

        On standby these are the leading nodes of the cell, which send theirs to all. A node that
        sends its reports here although it counts as a member of another cell gets them too.
        """
        own = self.registry.own.node
        leading = self._leading_nodes()
        if self.on_standby and own not in leading:
            return [self.peers[node] for node in leading]
        targets = dict(self.peers)
        for report in self.fleet.live_nodes(self.loop.now()):
            if report.node in self.known_nodes:
                targets[report.node] = self.known_nodes[report.node].nodes
        return targets.values()

    def serving_nodes(self) -> list[RegisteredNode]:
        """Return the nodes that callers should use, without those that are stopping.

        Nodes that get no answers from the key-value service are left out if others do, since they
        cannot accept jobs.
        """
        if self.on_standby:
            cells = self.fleet.live_cells(self.loop.now())
            active = next((one for one in cells if one.cell == ACTIVE_CELL), None)
            if active is None:
                return [*self.active.values(), *self._live_members()]
            if active.members:
                names = active.members
                return [self.known_nodes[node] for node in names if node in self.known_nodes]
        return self._live_members()

    def stopping_nodes(self) -> dict[NodeId, tuple[RegisteredNode, float]]:
        """Return the nodes that stop, and until when lists may name them; monotonic seconds."""
        registry = self.registry
        found = {
            one.node: (self.known_nodes[one.node], one.named_until_s)
            for one in self.fleet.live_nodes(self.loop.now())
            if one.leaving and one.node in self.known_nodes and not self._has_restarted(one)
        }
        if registry.leaving:
            found[registry.own.node] = (registry.own, registry.named_until_s)
        return found

    def unreported_nodes(self) -> list[RegisteredNode]:
        """Return the registered nodes without a report; some may have failed."""
        reported = {one.node for one in self.fleet.live_nodes(self.loop.now())}
        own = self.registry.own.node
        return [
            info
            for node, info in self.registry.nodes.items()
            if node not in reported and node != own
        ]

    def _has_restarted(self, report: NodeLoadReport) -> bool:
        """Return whether a node has registered again since a report."""
        registered = self.registry.nodes.get(report.node)
        return registered is not None and registered.boot > report.boot

    def _live_members(self) -> list[RegisteredNode]:
        """Return the nodes of this cell that callers can use."""
        reports = [
            one for one in self.live_peer_reports() if not one.leaving or self._has_restarted(one)
        ]
        failing = {one.node: one.store_failing for one in reports}
        if not self.registry.leaving:
            failing[self.registry.own.node] = self.registry.store.failing
        answered = [node for node, store_failing in failing.items() if not store_failing]
        names = answered if 2 * len(answered) >= len(failing) else failing
        known = self.known_nodes | {self.registry.own.node: self.registry.own}
        return [known[node] for node in names if node in known]

    def _leading_nodes(self) -> list[NodeId]:
        """Return the lowest live nodes of this cell, its leader first.

        Those that get no answers from the key-value service come last: the service may turn away
        some nodes and serve the others.
        """
        own = self.registry.own.node
        reports = self.live_peer_reports()
        staying = [(one.store_failing, one.node) for one in reports if not one.leaving]
        if not self.registry.leaving:
            staying.append((self.registry.store.failing, own))
        return [node for _, node in sorted(staying)[:LEADING_NODES]] or [own]

    def _set_cell(self, cell: CellId, node_count: int) -> None:
        if cell != self.cell:
            log.info("cell changed", extra={"cell": cell, "node_count": node_count})
            self.fleet.drop_cell(cell)
        self.cell = cell
