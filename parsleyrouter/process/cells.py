"""Divide a large fleet into cells: nodes tell their own cell every change, other cells a sum.

Answers the load of many nodes: news from each node to all others grow with the square of their
number, and most of them cross failure domains.
"""

from collections.abc import Mapping
from zlib import crc32

from parsleyrouter.ids import CellId, DomainName, NodeId

__all__ = ["SINGLE_CELL", "divide"]

MAX_MEAN_CELL_NODES = 20
"""Nodes of a cell on average at most. Each tells the others some ten changes a second, which takes
about two hundredths of a core on each of them."""

SINGLE_CELL = CellId("")
"""The cell of all nodes of a small fleet."""


def divide(domains: Mapping[NodeId, DomainName]) -> dict[NodeId, CellId]:
    """Return the cell of each node; all nodes that know the same others find the same cells."""
    if len(domains) <= MAX_MEAN_CELL_NODES:
        return dict.fromkeys(domains, SINGLE_CELL)
    sizes: dict[DomainName, int] = {}
    for domain in domains.values():
        sizes[domain] = sizes.get(domain, 0) + 1
    return {
        node: CellId(f"{domain}/{crc32(node.encode()) % -(-sizes[domain] // MAX_MEAN_CELL_NODES)}")
        for node, domain in domains.items()
    }
