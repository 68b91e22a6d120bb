"""Hold what other nodes tell of their work at endpoints: each node of the own cell, sums of others.

Pure: every method takes the time as monotonic seconds.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from parsleyrouter.ids import CellId, EndpointId, NodeId

__all__ = ["CellLoadReport", "EndpointUse", "FleetLoads", "NodeNews", "sum_counts"]

REPORT_TTL_S = 1.6
"""How long another node's word counts: three of its heartbeats with some slack."""


@dataclass
class EndpointUse:
    """Requests of one node, or of several, at one endpoint."""

    online: int = 0
    batch: int = 0

    def add(self, other: "EndpointUse", times: int = 1) -> None:
        """Count the requests of another one too, or with -1 no longer."""
        self.online += times * other.online
        self.batch += times * other.batch


def sum_counts(
    uses_of_each: Iterable[Mapping[EndpointId, EndpointUse]],
) -> dict[EndpointId, EndpointUse]:
    """Return the requests of all together."""
    total: dict[EndpointId, EndpointUse] = {}
    for uses in uses_of_each:
        for endpoint, counts in uses.items():
            total.setdefault(endpoint, EndpointUse()).add(counts)
    return total


@dataclass(frozen=True)
class NodeNews:
    """What a node told of its work, and when it arrived here."""

    node: NodeId
    boot: int
    sequence: int
    uses: Mapping[EndpointId, EndpointUse]
    at_s: float = 0.0
    leaving: bool = False
    routes_version: int = 0
    waiting_items: int = 0
    """Batch items that wait for a slot."""
    store_failing: bool = False
    """The node gets no answers from the key-value service."""


@dataclass(frozen=True)
class CellLoadReport:
    """What the speaker of another cell told of all its nodes, and when it arrived here."""

    cell: CellId
    leader: NodeId
    boot: int
    sequence: int
    uses: Mapping[EndpointId, EndpointUse]
    waiting_nodes: int = 0
    """Nodes with batch items that wait for a slot."""
    at_s: float = 0.0


@dataclass
class FleetLoads:
    """The latest word of every node and cell heard of lately."""

    nodes: dict[NodeId, NodeNews] = field(default_factory=dict)
    cells: dict[CellId, CellLoadReport] = field(default_factory=dict)
    totals: dict[EndpointId, EndpointUse] = field(default_factory=dict)
    """Sums over nodes and cells; they hold until ``fresh_until_s``."""
    totals_valid_until_s: float = 0.0

    def take(self, report: NodeNews) -> bool:
        """Take another node's word; return whether it is newer than what was known."""
        previous = self.nodes.get(report.node)
        if previous is not None and (previous.boot, previous.sequence) >= (
            report.boot,
            report.sequence,
        ):
            return False
        self.nodes[report.node] = report
        self._update_totals(previous, report)
        return True

    def apply_cell(self, report: CellLoadReport) -> bool:
        """Take the sum of another cell; a new speaker's word replaces that of the former one."""
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
        """Drop the sum of a cell whose nodes are heard one by one."""
        if self.cells.pop(cell, None) is not None:
            self.totals_valid_until_s = 0.0

    def live_nodes(self, now: float) -> list[NodeNews]:
        """Return the latest word of every node heard of lately."""
        self._refresh(now)
        return list(self.nodes.values())

    def live_cells(self, now: float) -> list[CellLoadReport]:
        """Return the latest sum of every cell heard of lately."""
        self._refresh(now)
        return list(self.cells.values())

    def use(self, endpoint: EndpointId, now: float) -> EndpointUse:
        """Return the requests of all other nodes at an endpoint, to be changed by the caller."""
        self._refresh(now)
        previous = self.totals.get(endpoint)
        return EndpointUse() if previous is None else EndpointUse(previous.online, previous.batch)

    def batch_by_cell(self, endpoint: EndpointId, now: float) -> dict[CellId, int]:
        """Return the batch items of each other cell at an endpoint."""
        return {
            report.cell: report.uses[endpoint].batch
            for report in self.live_cells(now)
            if endpoint in report.uses
        }

    def contenders(self, now: float) -> int:
        """Return how many other nodes have batch items that wait for a slot."""
        near = sum(1 for report in self.live_nodes(now) if report.waiting_items)
        return near + sum(report.waiting_nodes for report in self.cells.values())

    def _update_totals(
        self, previous: "NodeNews | CellLoadReport | None", report: "NodeNews | CellLoadReport"
    ) -> None:
        """Change the sums by one word, which costs less than summing all words anew."""
        if previous is not None:
            for endpoint, counts in previous.uses.items():
                self.totals[endpoint].add(counts, -1)
        for endpoint, counts in report.uses.items():
            self.totals.setdefault(endpoint, EndpointUse()).add(counts)
        self.totals_valid_until_s = min(self.totals_valid_until_s, report.at_s + REPORT_TTL_S)

    def _refresh(self, now: float) -> None:
        if now < self.totals_valid_until_s:
            return
        self.nodes = {
            name: report for name, report in self.nodes.items() if report.at_s + REPORT_TTL_S > now
        }
        self.cells = {
            name: report for name, report in self.cells.items() if report.at_s + REPORT_TTL_S > now
        }
        reports: list[NodeNews | CellLoadReport] = [*self.nodes.values(), *self.cells.values()]
        self.totals = sum_counts(report.uses for report in reports)
        self.totals_valid_until_s = (
            min((report.at_s for report in reports), default=now) + REPORT_TTL_S
        )
