"""Bound the load reports that are kept of nodes and cells which the store does not name."""

import logging
from collections.abc import Mapping
from typing import Any

from parsleyrouter.ids import CellId, NodeId
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.fleet_loads import CellLoadReport, NodeLoadChanges, NodeLoadReport
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.report_bounds import MAX_USES

__all__ = ["MAX_REPORTED_NODES", "ReportRoom"]

MAX_REPORTED_NODES = 1024
"""Nodes and cells whose reports are kept although the store doesn't name them; a fleet has 360."""

MAX_STRANGER_USES = 20_000
"""Endpoints in all reports that are kept of nodes which the store does not name."""

MAX_KEPT_USES = 80_000
"""Endpoints in all reports that are kept: those of twenty nodes with some thousand each."""

REFUSAL_LOG_INTERVAL_S = 10.0

log = logging.getLogger(__name__)


class ReportRoom:
    """Tell whether a load report may be kept."""

    def __init__(self, loop: Loop, members: CellMembers) -> None:
        self.loop = loop
        self.members = members
        self.next_refusal_log_s = 0.0

    def takes(self, report: NodeLoadReport) -> bool:
        """Return whether the report of a node may be kept."""
        return self._takes_name(report.node) and self._has_rows(report.node, len(report.uses))

    def takes_changes(self, changes: NodeLoadChanges) -> bool:
        """Return whether a report with these changes may be kept."""
        former = self.members.fleet.nodes.get(changes.node)
        if former is None:
            return True
        uses = len(former.uses) + len(changes.uses)
        known = sum(name in former.uses for name in changes.uses)
        return uses - known <= MAX_USES and self._has_rows(changes.node, uses - known)

    def takes_cell(self, aggregate: CellLoadReport) -> bool:
        """Return whether the aggregate of a cell may be kept."""
        if not self.has_room(self.members.fleet.cells, aggregate.cell):
            return False
        return self._has_rows(aggregate.leader, len(aggregate.uses), aggregate.cell)

    def _has_rows(self, node: NodeId, uses: int, cell: CellId | None = None) -> bool:
        """Return whether so many endpoints may be kept for a node or the cell that it leads."""
        fleet, registered = self.members.fleet, self.members.registry.nodes
        kept = strangers = uses
        for name, report in fleet.nodes.items():
            if cell is not None or name != node:
                kept += len(report.uses)
                strangers += 0 if name in registered else len(report.uses)
        for name_of_cell, aggregate in fleet.cells.items():
            if name_of_cell != cell:
                kept += len(aggregate.uses)
                strangers += 0 if aggregate.leader in registered else len(aggregate.uses)
        if kept <= MAX_KEPT_USES and (node in registered or strangers <= MAX_STRANGER_USES):
            return True
        self._log_refusal()
        return False

    def _takes_name(self, node: NodeId) -> bool:
        """Return whether a node is registered, or reports are kept of it or can be."""
        members = self.members
        nodes, registered = members.fleet.nodes, members.registry.nodes
        reported = members.reported_nodes
        if len(reported) >= 2 * MAX_REPORTED_NODES:
            kept = nodes.keys() | registered.keys()
            members.reported_nodes = {name: info for name, info in reported.items() if name in kept}
        return node in registered or self.has_room(nodes, node)

    def has_room(self, reports: Mapping[Any, object], name: object) -> bool:
        """Return whether reports are kept under a name or one more can be; log if not."""
        if name in reports or len(reports) < MAX_REPORTED_NODES:
            return True
        self._log_refusal()
        return False

    def _log_refusal(self) -> None:
        now = self.loop.now()
        if now >= self.next_refusal_log_s:
            self.next_refusal_log_s = now + REFUSAL_LOG_INTERVAL_S
            log.warning("load reports of more nodes or endpoints than a fleet has are dropped")
