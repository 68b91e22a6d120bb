"""Bound the load reports that are kept of nodes and cells which the store does not name."""

import logging
from collections.abc import Mapping
from typing import Any

from parsleyrouter.ids import NodeId
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.loop import Loop

__all__ = ["MAX_REPORTED_NODES", "ReportRoom"]

MAX_REPORTED_NODES = 1024
"""Nodes and cells whose reports are kept although the store doesn't name them; a fleet has 360."""

REFUSAL_LOG_INTERVAL_S = 10.0

log = logging.getLogger(__name__)


class ReportRoom:
    """Tell whether a load report may be kept."""

    def __init__(self, loop: Loop, members: CellMembers) -> None:
        self.loop = loop
        self.members = members
        self.next_refusal_log_s = 0.0

    def takes(self, node: NodeId) -> bool:
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
        now = self.loop.now()
        if now >= self.next_refusal_log_s:
            self.next_refusal_log_s = now + REFUSAL_LOG_INTERVAL_S
            log.warning("load reports of more nodes than a fleet has are dropped")
        return False
