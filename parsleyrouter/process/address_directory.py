"""Answer callers that ask which addresses to use."""

from parsleyrouter.ids import Address, DomainName
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry

__all__ = ["ADDRESSES_TTL_S", "AddressDirectory"]

ADDRESSES_TTL_S = 1.5
"""How long callers keep an answer. A node that stops must outlive three times this."""

MOST_ADDRESSES = 64
LEAST_NEAR = 3
"""Addresses in the caller's own failure domain below which all others are named too."""


class AddressDirectory:
    """Name the nodes that take callers."""

    def __init__(
        self, loop: Loop, registry: NodeRegistry, exchange: LoadExchange, loads: EndpointLoads
    ) -> None:
        self.loop = loop
        self.registry = registry
        self.exchange = exchange
        self.loads = loads

    def for_domain(self, domain: DomainName) -> list[Address]:
        """Return the addresses for callers in a failure domain, the near ones first."""
        live = {news.node: news for news in self.loads.fleet.live_nodes(self.loop.now())}
        others = self.exchange.others()
        chosen = [info for node, info in others.items() if node in live and not live[node].leaving]
        if not chosen and not live:
            chosen = list(others.values())
        if not self.registry.leaving:
            chosen.append(self.registry.own)
        chosen.sort(key=lambda info: (info.domain != domain, info.node))
        near = [info for info in chosen if info.domain == domain]
        if len(near) >= LEAST_NEAR:
            chosen = near
        return [info.callers for info in chosen[:MOST_ADDRESSES]]
