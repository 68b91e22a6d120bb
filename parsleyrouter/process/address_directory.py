"""Select the node addresses that callers should use."""

from dataclasses import dataclass

from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.node_registry import RegisteredNode

__all__ = ["ADDRESSES_TTL_S", "AddressDirectory", "AddressList"]

ADDRESSES_TTL_S = 1.5
"""How long callers cache a list. A node must keep serving for three times this when it stops."""

MAX_ADDRESSES = 64
MIN_NEAR_ADDRESSES = 3
"""With fewer than this in the caller's failure domain, other domains are listed too."""

MIN_NEAR_ACTIVE_ADDRESSES = 2
"""The same for the active nodes of a large fleet, of which a domain may have three."""


@dataclass(frozen=True)
class AddressList:
    """The nodes for callers, which may cache the list for ``ttl_s`` seconds."""

    nodes: tuple[RegisteredNode, ...]
    leaving: tuple[NodeId, ...]
    """Those of the nodes that are known to be stopping."""
    ttl_s: float

    @property
    def addresses(self) -> list[Address]:
        """Return the addresses for callers."""
        return [info.callers for info in self.nodes]


class AddressDirectory:
    """List the nodes that accept callers."""

    def __init__(self, members: CellMembers) -> None:
        self.members = members

    def for_domain(self, domain: DomainName) -> AddressList:
        """Return the nodes for callers in a failure domain, that domain's first."""
        chosen = self.members.serving_nodes()
        chosen.sort(key=lambda info: (info.domain != domain, info.node))
        same_domain = [info for info in chosen if info.domain == domain]
        divided = self.members.divided
        if len(same_domain) >= (MIN_NEAR_ACTIVE_ADDRESSES if divided else MIN_NEAR_ADDRESSES):
            chosen = same_domain
        nodes = tuple(chosen[:MAX_ADDRESSES])
        leaving = self.members.leaving_nodes()
        stopping = tuple(info.node for info in nodes if info.node in leaving)
        return AddressList(nodes, stopping, ADDRESSES_TTL_S)
