"""Choose the next node to probe, alternating ring neighbours and a shuffled round of all nodes.

Every node is a neighbour of two others on a hashed ring, so the time to detect a failed node does
not grow with the fleet.
"""

import random
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from parsleyrouter.ids import NodeId

__all__ = ["ProbeOrder", "ring_position"]

NEIGHBOUR_COUNT = 2


def ring_position(node: NodeId) -> tuple[int, NodeId]:
    """Return the sort key of a node on the ring."""
    return xxh3_64_intdigest(node.encode()), node


class ProbeOrder:
    """Order of probes of one node; call ``set_members`` when the members change."""

    def __init__(self, me: NodeId, rng: random.Random) -> None:
        self.me = me
        self.rng = rng
        self.neighbours: list[NodeId] = []
        self.members: list[NodeId] = []
        self.shuffled: list[NodeId] = []
        self.turn = 0

    def set_members(self, others: Iterable[NodeId]) -> None:
        """Set the other nodes that are up."""
        self.members = list(others)
        ring = sorted([*self.members, self.me], key=ring_position)
        index = ring.index(self.me)
        successors = ring[index + 1 :] + ring[:index]
        self.neighbours = successors[:NEIGHBOUR_COUNT]

    def next(self) -> NodeId | None:
        """Return the node to probe now, ``None`` if there is no other."""
        if not self.members:
            return None
        self.turn += 1
        if self.turn % 2:
            return self.neighbours[(self.turn // 2) % len(self.neighbours)]
        return self._next_shuffled()

    def sample(self, count: int, without: NodeId | None = None) -> list[NodeId]:
        """Return up to ``count`` random members, never ``without``."""
        pool = [node for node in self.members if node != without]
        return self.rng.sample(pool, min(count, len(pool)))

    def _next_shuffled(self) -> NodeId:
        known = set(self.members)
        while self.shuffled:
            node = self.shuffled.pop()
            if node in known:
                return node
        self.shuffled = list(self.members)
        self.rng.shuffle(self.shuffled)
        return self.shuffled.pop()
