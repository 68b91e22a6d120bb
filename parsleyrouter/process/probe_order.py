"""Choose whom to probe: fixed neighbours on a hashed ring, and any node in turn with them.

Every node is a neighbour of two others, so that a lost one is noticed after a time that does not
grow with the fleet.
"""

import random
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from parsleyrouter.ids import NodeId

__all__ = ["ProbeOrder", "ring_position"]

NEIGHBOURS = 2


def ring_position(node: NodeId) -> tuple[int, NodeId]:
    """Return where a node stands on the ring."""
    return xxh3_64_intdigest(node.encode()), node


class ProbeOrder:
    """Hold the order for one node; the members are given anew when they change."""

    def __init__(self, me: NodeId, rng: random.Random) -> None:
        self.me = me
        self.rng = rng
        self.neighbours: list[NodeId] = []
        self.members: list[NodeId] = []
        self.round: list[NodeId] = []
        self.turn = 0

    def set_members(self, others: Iterable[NodeId]) -> None:
        """Take the other nodes that are up."""
        self.members = list(others)
        ring = sorted([*self.members, self.me], key=ring_position)
        at = ring.index(self.me)
        after = ring[at + 1 :] + ring[:at]
        self.neighbours = after[:NEIGHBOURS]

    def next(self) -> NodeId | None:
        """Return the node to probe now."""
        if not self.members:
            return None
        self.turn += 1
        if self.turn % 2:
            return self.neighbours[(self.turn // 2) % len(self.neighbours)]
        return self._next_of_round()

    def sample(self, count: int, without: NodeId | None = None) -> list[NodeId]:
        """Return some nodes at random."""
        pool = [node for node in self.members if node != without]
        return self.rng.sample(pool, min(count, len(pool)))

    def _next_of_round(self) -> NodeId:
        known = set(self.members)
        while self.round:
            node = self.round.pop()
            if node in known:
                return node
        self.round = list(self.members)
        self.rng.shuffle(self.round)
        return self.round.pop()
