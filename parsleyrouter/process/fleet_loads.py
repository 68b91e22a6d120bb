"""Hold the load reports of other nodes: one per node in this cell, an aggregate per other cell.

Performs no I/O; methods take the time as monotonic seconds.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from parsleyrouter.endpoint_speed import SpeedNews
from parsleyrouter.ids import CellId, EndpointId, NodeId, Revision
from parsleyrouter.process.fleet_limits import LimitReport

__all__ = [
    "CellLoadReport",
    "FleetLoads",
    "NodeLoadChanges",
    "NodeLoadReport",
    "RequestCounts",
    "sum_counts",
]

REPORT_TTL_S = 1.6
"""How long a load report is valid: three heartbeats of its sender with some slack."""


@dataclass(slots=True)
class RequestCounts:
    """Number of requests of one or more nodes at one endpoint."""

    online: int = 0
    batch: int = 0

    def add(self, other: "RequestCounts", times: int = 1) -> None:
        """Add the counts of ``other``, or subtract them with ``times=-1``."""
        self.online += times * other.online
        self.batch += times * other.batch


NO_REQUESTS = RequestCounts()


def sum_counts(
    uses_by_node: Iterable[Mapping[EndpointId, RequestCounts]],
) -> dict[EndpointId, RequestCounts]:
    """Return the request counts of all nodes together, by endpoint."""
    total: dict[EndpointId, RequestCounts] = {}
    for uses in uses_by_node:
        for endpoint, counts in uses.items():
            total.setdefault(endpoint, RequestCounts()).add(counts)
    return total


@dataclass(frozen=True)
class NodeLoadReport:
    """Load report of one node; ``received_s`` is when it arrived here."""

    node: NodeId
    boot: int
    sequence: int
    uses: Mapping[EndpointId, RequestCounts]
    received_s: float = 0.0
    leaving: bool = False
    named_until_s: float = 0.0
    """While leaving, until when the node may be named to callers; monotonic, here."""
    routes_version: int = 0
    waiting_items: int = 0
    """Batch items that wait for a slot."""
    store_failing: bool = False
    """The node gets no responses from the key-value service."""
    changed: Mapping[str, Revision] = field(default_factory=dict)
    """Revision of the latest change that the node knows, by watched prefix."""
    limits: tuple[LimitReport, ...] = ()
    speeds: tuple[SpeedNews, ...] = ()


@dataclass(frozen=True)
class NodeLoadChanges:
    """The counts of one node that changed since its latest reports, zero where it has none."""

    node: NodeId
    boot: int
    sequence: int
    uses: Mapping[EndpointId, RequestCounts]
    waiting_items: int = 0
    received_s: float = 0.0
    speeds: tuple[SpeedNews, ...] = ()


@dataclass(frozen=True)
class CellLoadReport:
    """Aggregated load report that a cell's leader sends; ``received_s`` is when it arrived here."""

    cell: CellId
    leader: NodeId
    boot: int
    sequence: int
    uses: Mapping[EndpointId, RequestCounts]
    waiting_nodes: int = 0
    """Nodes with batch items that wait for a slot."""
    received_s: float = 0.0
    members: tuple[NodeId, ...] = ()
    """The nodes of the cell that callers should use."""


@dataclass
class FleetLoads:
    """The latest valid load report of each node and cell."""

    nodes: dict[NodeId, NodeLoadReport] = field(default_factory=dict)
    cells: dict[CellId, CellLoadReport] = field(default_factory=dict)
    totals: dict[EndpointId, RequestCounts] = field(default_factory=dict)
    """Totals over nodes and cells; valid until ``totals_valid_until_s``."""
    totals_valid_until_s: float = 0.0

    def apply_node(self, report: NodeLoadReport) -> bool:
        """Store a node's report; return whether it is newer than the stored one."""
        previous = self.nodes.get(report.node)
        if previous is not None and (previous.boot, previous.sequence) >= (
            report.boot,
            report.sequence,
        ):
            return False
        self.nodes[report.node] = report
        self._update_totals(previous, report)
        return True

    def apply_changes(self, changes: NodeLoadChanges) -> bool:
        """Apply changes to a node's report; return whether they are newer and of the same start.

        Without a report of that start they say too little: the next full one follows soon.
        """
        previous = self.nodes.get(changes.node)
        if previous is None or previous.boot != changes.boot:
            return False
        uses = {**previous.uses, **changes.uses}
        report = replace(
            previous,
            sequence=changes.sequence,
            uses={name: use for name, use in uses.items() if use.online or use.batch},
            waiting_items=changes.waiting_items,
            received_s=changes.received_s,
        )
        return self.apply_node(report)

    def apply_cell(self, report: CellLoadReport) -> bool:
        """Store a cell's report if it is newer or from a new leader; return whether it was."""
        previous = self.cells.get(report.cell)
        if (
            previous is not None
            and previous.leader == report.leader
            and (previous.boot, previous.sequence) >= (report.boot, report.sequence)
        ):
            return False
        self.cells[report.cell] = report
        self._update_totals(previous, report)
        return True

    def drop_cell(self, cell: CellId) -> None:
        """Drop the aggregate of a cell whose nodes report individually."""
        if self.cells.pop(cell, None) is not None:
            self.totals_valid_until_s = 0.0

    def live_nodes(self, now: float) -> list[NodeLoadReport]:
        """Return the latest report of each node, without expired ones."""
        self._refresh(now)
        return list(self.nodes.values())

    def live_cells(self, now: float) -> list[CellLoadReport]:
        """Return the latest aggregate of each cell, without expired ones."""
        self._refresh(now)
        return list(self.cells.values())

    def counts_at(self, endpoint: EndpointId, now: float) -> RequestCounts:
        """Return the requests of all other nodes at an endpoint, as a copy."""
        self._refresh(now)
        total = self.totals.get(endpoint)
        return RequestCounts() if total is None else RequestCounts(total.online, total.batch)

    def batch_by_cell(self, endpoint: EndpointId, now: float) -> dict[CellId, int]:
        """Return the number of batch items of each other cell at an endpoint."""
        return {
            report.cell: report.uses[endpoint].batch
            for report in self.live_cells(now)
            if endpoint in report.uses
        }

    def count_waiting_nodes(self, now: float) -> int:
        """Return how many other nodes have batch items that wait for a slot."""
        nodes = sum(1 for report in self.live_nodes(now) if report.waiting_items)
        return nodes + sum(report.waiting_nodes for report in self.cells.values())

    def _update_totals(
        self,
        previous: "NodeLoadReport | CellLoadReport | None",
        report: "NodeLoadReport | CellLoadReport",
    ) -> None:
        """Update the totals by one report, which costs less than recomputing them."""
        if previous is not None:
            for endpoint, counts in previous.uses.items():
                self.totals[endpoint].add(counts, -1)
        for endpoint, counts in report.uses.items():
            self.totals.setdefault(endpoint, RequestCounts()).add(counts)
        for endpoint in () if previous is None else previous.uses:
            if self.totals[endpoint] == NO_REQUESTS and endpoint not in report.uses:
                del self.totals[endpoint]
        self.totals_valid_until_s = min(self.totals_valid_until_s, report.received_s + REPORT_TTL_S)

    def _refresh(self, now: float) -> None:
        if now < self.totals_valid_until_s:
            return
        self.nodes = {
            name: report
            for name, report in self.nodes.items()
            if report.received_s + REPORT_TTL_S > now
        }
        self.cells = {
            name: report
            for name, report in self.cells.items()
            if report.received_s + REPORT_TTL_S > now
        }
        reports: list[NodeLoadReport | CellLoadReport] = [
            *self.nodes.values(),
            *self.cells.values(),
        ]
        self.totals = sum_counts(report.uses for report in reports)
        self.totals_valid_until_s = (
            min((report.received_s for report in reports), default=now) + REPORT_TTL_S
        )
