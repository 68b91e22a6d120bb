"""Divide a large fleet into cells, and choose the nodes that take callers.

Nodes send every load change within their cell and only aggregates to other cells. Without cells
the number of load reports grows with the square of the node count. The strongest nodes of each
failure domain are active: they form one cell, so that the nodes which place requests know each
other's latest counts. The others are on standby: they serve callers that still come, and replace
active nodes that are lost.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from zlib import crc32

from xxhash import xxh3_64_intdigest

from parsleyrouter.ids import CellId, DomainName, NodeId

__all__ = [
    "ACTIVE_CELL",
    "SINGLE_CELL",
    "CellNode",
    "assign_cells",
    "choose_active",
    "claim_rank",
    "first_claimant",
]

MAX_MEAN_CELL_NODES = 20
"""Maximum mean number of nodes per cell. Each node sends some ten changes a second to the others,
which takes about two hundredths of a core on each of them."""

SINGLE_CELL = CellId("")
"""The cell of all nodes in a fleet that is not divided."""

ACTIVE_CELL = CellId("active")
"""The cell of the active nodes of a divided fleet."""


@dataclass(frozen=True)
class CellNode:
    """What the division depends on; ``capacity`` is in cores."""

    domain: DomainName
    capacity: float = 1.0


def choose_active(nodes: Mapping[NodeId, CellNode]) -> set[NodeId]:
    """Return the active nodes: as many in each failure domain, the strongest first."""
    by_domain: dict[DomainName, list[NodeId]] = {}
    for node in sorted(nodes, key=lambda one: (-nodes[one].capacity, crc32(one.encode()), one)):
        by_domain.setdefault(nodes[node].domain, []).append(node)
    per_domain = max(1, MAX_MEAN_CELL_NODES // max(1, len(by_domain)))
    return {node for members in by_domain.values() for node in members[:per_domain]}


def assign_cells(nodes: Mapping[NodeId, CellNode]) -> dict[NodeId, CellId]:
    """Return the cell of each node; deterministic, so nodes with equal input agree."""
    if len(nodes) <= MAX_MEAN_CELL_NODES:
        return dict.fromkeys(nodes, SINGLE_CELL)
    active = choose_active(nodes)
    sizes: dict[DomainName, int] = {}
    for node, info in nodes.items():
        if node not in active:
            sizes[info.domain] = sizes.get(info.domain, 0) + 1
    cells = dict.fromkeys(active, ACTIVE_CELL)
    for node, info in nodes.items():
        if node not in active:
            count = -(-sizes[info.domain] // MAX_MEAN_CELL_NODES)
            cells[node] = CellId(f"{info.domain}/{crc32(node.encode()) % count}")
    return cells


def claim_rank(job: str, node: NodeId, claimants: Mapping[NodeId, object]) -> int | None:
    """Return the place of a node among those that may claim a job, ``None`` if it is not one."""
    if node not in claimants:
        return None
    scores = {name: _score(job, name) for name in claimants}
    return sum(score > scores[node] for score in scores.values())


def first_claimant(job: str, claimants: Iterable[NodeId]) -> NodeId | None:
    """Return the first among the nodes that may claim a job."""
    return max(claimants, key=lambda name: _score(job, name), default=None)


def _score(job: str, node: NodeId) -> int:
    return xxh3_64_intdigest(f"{job}/{node}".encode())
