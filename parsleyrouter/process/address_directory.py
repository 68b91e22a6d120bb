"""Select the node addresses that callers should use."""

from parsleyrouter.ids import Address, DomainName
from parsleyrouter.process.cell_members import CellMembers

__all__ = ["ADDRESSES_TTL_S", "AddressDirectory"]

ADDRESSES_TTL_S = 1.5
"""How long callers cache a list. A node must keep serving for three times this when it stops."""

MAX_ADDRESSES = 64
MIN_NEAR_ADDRESSES = 3
"""With fewer than this in the caller's failure domain, other domains are listed too."""

MIN_NEAR_ACTIVE_ADDRESSES = 2
"""The same for the active nodes of a large fleet, of which a domain may have three."""


class AddressDirectory:
    """List the nodes that accept callers."""

    def __init__(self, members: CellMembers) -> None:
        self.members = members

    def for_domain(self, domain: DomainName) -> list[Address]:
        """Return the addresses for callers in a failure domain, that domain's first."""
        chosen = self.members.serving_nodes()
        chosen.sort(key=lambda info: (info.domain != domain, info.node))
        same_domain = [info for info in chosen if info.domain == domain]
        divided = self.members.divided
        if len(same_domain) >= (MIN_NEAR_ACTIVE_ADDRESSES if divided else MIN_NEAR_ADDRESSES):
            chosen = same_domain
        return [info.callers for info in chosen[:MAX_ADDRESSES]]
