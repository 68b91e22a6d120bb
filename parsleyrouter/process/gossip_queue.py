"""Choose which rumors go with each message: those sent least often first, each a limited number
of times."""

import math
from dataclasses import dataclass

from parsleyrouter.ids import NodeId
from parsleyrouter.process.member_table import Rumor

__all__ = ["RUMORS_A_MESSAGE", "GossipQueue"]

RUMORS_A_MESSAGE = 6
SENDS_FACTOR = 2.0


@dataclass
class _Queued:
    rumor: Rumor
    sent: int = 0


class GossipQueue:
    """Hold the newest rumor of each node until it was sent often enough."""

    def __init__(self) -> None:
        self.queued: dict[NodeId, _Queued] = {}
        self.fresh: dict[NodeId, Rumor] = {}

    def add(self, rumor: Rumor) -> None:
        """Spread a rumor in place of an older one of the same node."""
        self.queued[rumor.node] = _Queued(rumor)
        self.fresh[rumor.node] = rumor

    def take_fresh(self) -> list[list[Rumor]]:
        """Return what was added since the last call, cut into messages."""
        rumors = list(self.fresh.values())
        self.fresh = {}
        return [
            rumors[start : start + RUMORS_A_MESSAGE]
            for start in range(0, len(rumors), RUMORS_A_MESSAGE)
        ]

    def pick(self, nodes: int) -> list[Rumor]:
        """Return the rumors for one message in a fleet of so many nodes."""
        limit = math.ceil(SENDS_FACTOR * math.log2(nodes + 2))
        chosen = sorted(self.queued.values(), key=lambda one: one.sent)[:RUMORS_A_MESSAGE]
        for one in chosen:
            one.sent += 1
            if one.sent >= limit:
                del self.queued[one.rumor.node]
        return [one.rumor for one in chosen]
