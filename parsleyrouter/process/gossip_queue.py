"""Select the rumors to send with each message.

Rumors sent least often go first, and each is sent a limited number of times.
"""

import math
from dataclasses import dataclass

from parsleyrouter.ids import NodeId
from parsleyrouter.process.member_table import Rumor

__all__ = ["MAX_RUMORS_PER_MESSAGE", "GossipQueue"]

MAX_RUMORS_PER_MESSAGE = 6
RETRANSMIT_FACTOR = 2.0


@dataclass
class _Queued:
    rumor: Rumor
    sent: int = 0


class GossipQueue:
    """Hold the latest rumor about each node until it has been sent often enough."""

    def __init__(self) -> None:
        self.queued: dict[NodeId, _Queued] = {}
        self.unsent: dict[NodeId, Rumor] = {}

    def add(self, rumor: Rumor) -> None:
        """Queue a rumor; it replaces an older one about the same node."""
        self.queued[rumor.node] = _Queued(rumor)
        self.unsent[rumor.node] = rumor

    def take_unsent(self) -> list[list[Rumor]]:
        """Return the rumors added since the last call, split into messages."""
        rumors = list(self.unsent.values())
        self.unsent = {}
        return [
            rumors[start : start + MAX_RUMORS_PER_MESSAGE]
            for start in range(0, len(rumors), MAX_RUMORS_PER_MESSAGE)
        ]

    def pick(self, nodes: int) -> list[Rumor]:
        """Return the rumors for one message.

        How often each is sent grows with the logarithm of the number of nodes.
        """
        limit = math.ceil(RETRANSMIT_FACTOR * math.log2(nodes + 2))
        chosen = sorted(self.queued.values(), key=lambda one: one.sent)[:MAX_RUMORS_PER_MESSAGE]
        for one in chosen:
            one.sent += 1
            if one.sent >= limit:
                del self.queued[one.rumor.node]
        return [one.rumor for one in chosen]
