"""Nodes that exchange load reports over real sockets, on the event loop of one test."""

from random import Random
from types import SimpleNamespace
from typing import Any

from parsleyrouter.connection.service_contact import ServiceContact
from parsleyrouter.ids import Address, CellId, DomainName, EndpointId, NodeId
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.process.node_registry import RegisteredNode
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.ports import free_address


class LoadExchangeFleet:
    """A fleet of load exchanges; all nodes know all registrations from the start."""

    def __init__(self, runtime: Runtime, sizes: dict[str, int]) -> None:
        self.loop = runtime.loop
        nodes = {
            NodeId(f"{domain}-{number:02d}"): RegisteredNode(
                node=NodeId(f"{domain}-{number:02d}"),
                domain=DomainName(domain),
                callers=Address(f"{domain}-{number:02d}:1"),
                nodes=free_address(),
                boot=1,
            )
            for domain, size in sizes.items()
            for number in range(size)
        }
        self.registered = nodes
        self.exchanges: dict[NodeId, LoadExchange] = {}
        for node, own in list(nodes.items()):
            registry: Any = SimpleNamespace(
                own=own,
                nodes=nodes,
                listed=True,
                recent_nodes=lambda: dict(nodes),
                leaving=False,
                named_until_s=0.0,
                store=SimpleNamespace(failing=False, contact=ServiceContact()),
            )
            routes: Any = SimpleNamespace(version=1)
            exchange = LoadExchange(self.loop, EndpointLoads(Random(node)), registry, routes)
            exchange.datagrams.register(runtime)
            exchange.start()
            self.exchanges[node] = exchange

    def silence(self, node: NodeId) -> None:
        """Stop a node from sending load reports."""
        exchange = self.exchanges.pop(node)
        members = exchange.members
        members.report_targets = list  # type: ignore[method-assign]
        members.peers, members.remote_peers = {}, []
        members.update = lambda: None  # type: ignore[method-assign]

    def in_cell(self, cell: CellId) -> list[NodeId]:
        """Return the nodes of a cell, in order."""
        return sorted(
            node for node, exchange in self.exchanges.items() if exchange.members.cell == cell
        )

    def online_at(self, endpoint: EndpointId) -> dict[NodeId, int]:
        """Return each node's view of the number of online requests at an endpoint."""
        now = self.loop.now()
        return {
            node: exchange.loads.fleet_use(endpoint, now).online
            for node, exchange in self.exchanges.items()
        }
