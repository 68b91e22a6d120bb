"""Select the node addresses that callers should use."""

from dataclasses import dataclass

from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.node_registry import RegisteredNode
from parsleyrouter.process.stop_window import (
    MAX_ADDRESSES_TTL_S,
    MIN_ADDRESSES_TTL_S,
    expiring_ttl_s,
)

__all__ = ["AddressDirectory", "AddressList"]

MAX_ADDRESSES = 64
MIN_NEAR_ADDRESSES = 3
"""With fewer than this in the caller's failure domain, other domains are listed too."""

MIN_NEAR_ACTIVE_ADDRESSES = 2
"""The same for the active nodes of a large fleet, of which a domain may have three."""

MIN_LEFT_SHARE = 0.5
"""While all nodes stop, those are named that accept callers for at least this share of the longest
time: a shorter one would shorten the lifetime of the list."""


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
    """List the nodes that accept callers; ``ttl_s`` is the lifetime of a usual list."""

    def __init__(self, members: CellMembers, ttl_s: float = MAX_ADDRESSES_TTL_S) -> None:
        self.members = members
        self.ttl_s = ttl_s

    def for_domain(self, domain: DomainName) -> AddressList:
        """Return the nodes for callers in a failure domain, that domain's first.

        While all nodes stop, the list names those that accept callers for longest and expires
        before they cease to.
        """
        chosen = self.members.serving_nodes()
        if not chosen:
            return self._stopping()
        chosen.sort(key=lambda info: (info.domain != domain, info.node))
        same_domain = [info for info in chosen if info.domain == domain]
        divided = self.members.divided
        if len(same_domain) >= (MIN_NEAR_ACTIVE_ADDRESSES if divided else MIN_NEAR_ADDRESSES):
            chosen = same_domain
        return AddressList(tuple(chosen[:MAX_ADDRESSES]), (), self.ttl_s)

    def _stopping(self) -> AddressList:
        now = self.members.loop.now()
        stopping = list(self.members.stopping_nodes().values())
        latest_s = max((until_s for _, until_s in stopping), default=now)
        named = [one for one in stopping if one[1] - now >= (latest_s - now) * MIN_LEFT_SHARE]
        ttl_s = expiring_ttl_s((until_s for _, until_s in named), now, self.ttl_s)
        if not named or ttl_s < MIN_ADDRESSES_TTL_S:
            return AddressList((), (), self.ttl_s)
        nodes = tuple(info for info, _ in named[:MAX_ADDRESSES])
        return AddressList(nodes, tuple(info.node for info in nodes), round(ttl_s, 3))
