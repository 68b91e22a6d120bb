"""Select the node addresses that callers should use."""

from parsleyrouter.ids import Address, DomainName
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.load_exchange import LoadExchange
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry

__all__ = ["ADDRESSES_TTL_S", "AddressDirectory"]

ADDRESSES_TTL_S = 1.5
"""How long callers cache a list. A node must keep serving for three times this when it stops."""

MAX_ADDRESSES = 64
MIN_NEAR_ADDRESSES = 3
"""With fewer than this in the caller's failure domain, other domains are listed too."""


class AddressDirectory:
    """List the nodes that accept callers."""

    def __init__(
        self, loop: Loop, registry: NodeRegistry, exchange: LoadExchange, loads: EndpointLoads
    ) -> None:
        self.loop = loop
        self.registry = registry
        self.exchange = exchange
        self.loads = loads

    def for_domain(self, domain: DomainName) -> list[Address]:
        """Return the addresses for callers in a failure domain, that domain's first."""
        live = {report.node: report for report in self.loads.fleet.live_nodes(self.loop.now())}
        others = self.exchange.other_nodes()
        chosen = [info for node, info in others.items() if node in live and not live[node].leaving]
        if not chosen and not live:
            chosen = list(others.values())
        if not self.registry.leaving:
            chosen.append(self.registry.own)
        chosen.sort(key=lambda info: (info.domain != domain, info.node))
        same_domain = [info for info in chosen if info.domain == domain]
        if len(same_domain) >= MIN_NEAR_ADDRESSES:
            chosen = same_domain
        return [info.callers for info in chosen[:MAX_ADDRESSES]]
