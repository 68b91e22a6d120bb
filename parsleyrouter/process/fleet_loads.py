"""Hold what other nodes tell of their work at endpoints: each node of the own cell, sums of others.

Pure: every method takes the time as monotonic seconds.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from parsleyrouter.ids import CellId, EndpointId, NodeId

__all__ = ["CellSum", "RequestCounts", "FleetLoads", "NodeLoadReport", "sum_uses"]

NEWS_S = 1.6
"""How long another node's word counts: three of its heartbeats with some slack."""


@dataclass
class RequestCounts:
    """Requests of one node, or of several, at one endpoint."""

    online: int = 0
    batch: int = 0

    def add(self, other: "RequestCounts", times: int = 1) -> None:
        """Count the requests of another one too, or with -1 no longer."""
        self.online += times * other.online
        self.batch += times * other.batch


def sum_uses(
    every: Iterable[Mapping[EndpointId, RequestCounts]],
) -> dict[EndpointId, RequestCounts]:
    """Return the requests of all together."""
    total: dict[EndpointId, RequestCounts] = {}
    for uses in every:
        for endpoint, use in uses.items():
            total.setdefault(endpoint, RequestCounts()).add(use)
    return total


@dataclass(frozen=True)
class NodeLoadReport:
    """What a node told of its work, and when it arrived here."""

    node: NodeId
    boot: int
    sequence: int
    uses: Mapping[EndpointId, RequestCounts]
    received_s: float = 0.0
    leaving: bool = False
    routes_version: int = 0
    waiting_items: int = 0
    """Batch items that wait for a slot."""
    store_failing: bool = False
    """The node gets no answers from the key-value service."""


@dataclass(frozen=True)
class CellSum:
    """What the speaker of another cell told of all its nodes, and when it arrived here."""

    cell: CellId
    speaker: NodeId
    boot: int
    sequence: int
    uses: Mapping[EndpointId, RequestCounts]
    contenders: int = 0
    """Nodes with batch items that wait for a slot."""
    received_s: float = 0.0


@dataclass
class FleetLoads:
    """The latest word of every node and cell heard of lately."""

    nodes: dict[NodeId, NodeLoadReport] = field(default_factory=dict)
    cells: dict[CellId, CellSum] = field(default_factory=dict)
    totals: dict[EndpointId, RequestCounts] = field(default_factory=dict)
    """Sums over nodes and cells; they hold until ``fresh_until_s``."""
    fresh_until_s: float = 0.0

    def apply_node(self, news: NodeLoadReport) -> bool:
        """Take another node's word; return whether it is newer than what was known."""
        known = self.nodes.get(news.node)
        if known is not None and (known.boot, known.sequence) >= (news.boot, news.sequence):
            return False
        self.nodes[news.node] = news
        self._replace(known, news)
        return True

    def take_cell(self, told: CellSum) -> bool:
        """Take the sum of another cell; a new speaker's word replaces that of the former one."""
        known = self.cells.get(told.cell)
        if (
            known is not None
            and known.speaker == told.speaker
            and (known.boot, known.sequence) >= (told.boot, told.sequence)
        ):
            return False
        self.cells[told.cell] = told
        self._replace(known, told)
        return True

    def forget_cell(self, cell: CellId) -> None:
        """Drop the sum of a cell whose nodes are heard one by one."""
        if self.cells.pop(cell, None) is not None:
            self.fresh_until_s = 0.0

    def live_nodes(self, now: float) -> list[NodeLoadReport]:
        """Return the latest word of every node heard of lately."""
        self._refresh(now)
        return list(self.nodes.values())

    def live_cells(self, now: float) -> list[CellSum]:
        """Return the latest sum of every cell heard of lately."""
        self._refresh(now)
        return list(self.cells.values())

    def counts_at(self, endpoint: EndpointId, now: float) -> RequestCounts:
        """Return the requests of all other nodes at an endpoint, to be changed by the caller."""
        self._refresh(now)
        known = self.totals.get(endpoint)
        return RequestCounts() if known is None else RequestCounts(known.online, known.batch)

    def batch_by_cell(self, endpoint: EndpointId, now: float) -> dict[CellId, int]:
        """Return the batch items of each other cell at an endpoint."""
        return {
            told.cell: told.uses[endpoint].batch
            for told in self.live_cells(now)
            if endpoint in told.uses
        }

    def count_waiting_nodes(self, now: float) -> int:
        """Return how many other nodes have batch items that wait for a slot."""
        near = sum(1 for news in self.live_nodes(now) if news.waiting_items)
        return near + sum(told.contenders for told in self.cells.values())

    def _replace(
        self, former: "NodeLoadReport | CellSum | None", word: "NodeLoadReport | CellSum"
    ) -> None:
        """Change the sums by one word, which costs less than summing all words anew."""
        if former is not None:
            for endpoint, use in former.uses.items():
                self.totals[endpoint].add(use, -1)
        for endpoint, use in word.uses.items():
            self.totals.setdefault(endpoint, RequestCounts()).add(use)
        self.fresh_until_s = min(self.fresh_until_s, word.received_s + NEWS_S)

    def _refresh(self, now: float) -> None:
        if now < self.fresh_until_s:
            return
        self.nodes = {
            name: news for name, news in self.nodes.items() if news.received_s + NEWS_S > now
        }
        self.cells = {
            name: told for name, told in self.cells.items() if told.received_s + NEWS_S > now
        }
        words: list[NodeLoadReport | CellSum] = [*self.nodes.values(), *self.cells.values()]
        self.totals = sum_uses(word.uses for word in words)
        self.fresh_until_s = min((word.received_s for word in words), default=now) + NEWS_S
