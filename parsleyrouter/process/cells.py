"""Divide a large fleet into cells.

Nodes send every load change within their cell and only aggregates to other cells. Without cells
the number of load reports grows with the square of the node count, and most of them cross failure
domains.
"""

from collections.abc import Mapping
from zlib import crc32

from parsleyrouter.ids import CellId, DomainName, NodeId

__all__ = ["SINGLE_CELL", "assign_cells"]

MAX_MEAN_CELL_NODES = 20
"""Maximum mean number of nodes per cell. Each node sends some ten changes a second to the others,
which takes about two hundredths of a core on each of them."""

SINGLE_CELL = CellId("")
"""The cell of all nodes in a fleet that is not divided."""


def assign_cells(domains: Mapping[NodeId, DomainName]) -> dict[NodeId, CellId]:
    """Return the cell of each node; deterministic, so nodes with equal input agree."""
    if len(domains) <= MAX_MEAN_CELL_NODES:
        return dict.fromkeys(domains, SINGLE_CELL)
    sizes: dict[DomainName, int] = {}
    for domain in domains.values():
        sizes[domain] = sizes.get(domain, 0) + 1
    return {
        node: CellId(f"{domain}/{crc32(node.encode()) % -(-sizes[domain] // MAX_MEAN_CELL_NODES)}")
        for node, domain in domains.items()
    }
