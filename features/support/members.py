"""The members of a small fleet as one node sees them, without sockets."""

from types import SimpleNamespace
from typing import Any

from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.fleet_loads import FleetLoads, NodeLoadReport
from parsleyrouter.process.node_registry import RegisteredNode


class KnownMembers:
    """Registrations and reports that reached the node ``own``."""

    def __init__(self) -> None:
        self.loop: Any = SimpleNamespace(now=lambda: 100.0)
        self.fleet = FleetLoads()
        self.registry: Any = SimpleNamespace(
            nodes={},
            own=None,
            listed=True,
            leaving=False,
            named_until_s=0.0,
            store=SimpleNamespace(failing=False),
            recent_nodes=lambda: self.registry.nodes,
        )
        self.members = CellMembers(self.loop, self.registry, self.fleet)
        self.sequence = 0

    def register(self, node: str, boot: int) -> None:
        info = RegisteredNode(
            NodeId(node), DomainName("d"), Address(f"{node}:1"), Address(f"{node}:2"), boot
        )
        self.registry.nodes[info.node] = info
        if node == "own":
            self.registry.own = info
        self.members.reported_nodes[info.node] = info

    def report(self, node: str, *, boot: int, leaving: bool, named_until_s: float) -> None:
        self.sequence += 1
        self.fleet.apply_node(
            NodeLoadReport(
                node=NodeId(node),
                boot=boot,
                sequence=self.sequence,
                uses={},
                received_s=self.loop.now(),
                leaving=leaving,
                named_until_s=named_until_s,
            )
        )

    def stop_own(self, named_until_s: float) -> None:
        self.registry.leaving, self.registry.named_until_s = True, named_until_s


def registered_members(nodes: list[str]) -> KnownMembers:
    """Return a fleet of registered nodes; ``own`` is one of them."""
    known = KnownMembers()
    for node in nodes:
        known.register(node, boot=1)
    known.members.update()
    return known
