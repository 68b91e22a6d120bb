"""Nodes that tell each other their loads over real sockets, on the loop of one test."""

from random import Random
from types import SimpleNamespace
from typing import Any

from features.support.processes import free_address
from parsleyrouter.ids import Address, DomainName, EndpointId, NodeId
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.process.node_registry import RegisteredNode
from parsleyrouter.process.runtime import Runtime


class Exchanges:
    """All nodes know all registrations from the start."""

    def __init__(self, runtime: Runtime, sizes: dict[str, int]) -> None:
        self.loop = runtime.loop
        nodes = {
            NodeId(f"{domain}-{number:02d}"): RegisteredNode(
                node=NodeId(f"{domain}-{number:02d}"),
                domain=DomainName(domain),
                callers=Address("127.0.0.1:1"),
                nodes=Address(free_address()),
                boot=1,
            )
            for domain, size in sizes.items()
            for number in range(size)
        }
        self.exchanges: dict[NodeId, LoadExchange] = {}
        for node, own in nodes.items():
            registry: Any = SimpleNamespace(
                own=own, nodes=nodes, leaving=False, store=SimpleNamespace(failing=False)
            )
            routes: Any = SimpleNamespace(version=1)
            exchange = LoadExchange(self.loop, EndpointLoads(Random(node)), registry, routes)
            exchange.datagrams.register(runtime)
            exchange.start()
            self.exchanges[node] = exchange

    def lose(self, node: NodeId) -> None:
        """Let a node fall silent."""
        lost = self.exchanges.pop(node)
        lost.cell_peers, lost.remote_peers = {}, []
        lost.find_cells = lambda: None  # type: ignore[method-assign]

    def online_at(self, endpoint: EndpointId) -> dict[NodeId, int]:
        """Return how many requests each node believes to be at an endpoint."""
        now = self.loop.now()
        return {
            node: one.loads.fleet_use(endpoint, now).online for node, one in self.exchanges.items()
        }
