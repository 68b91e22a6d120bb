"""Select the node addresses that callers should use."""

from dataclasses import dataclass

from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.node_registry import RegisteredNode
from parsleyrouter.process.stop_window import (
    KEPT_LIFETIMES,
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

MAX_LOGGED_DOMAINS = 64

UNLISTED_WAIT_S = 2.0
"""How long after its start a node that does not know the others names none, rather than only
itself: callers ask another node. Later it may be that the store does not answer."""

UNREPORTED_TTL_S = 0.5
"""Lifetime of a list of nodes that are registered but have not reported yet; a report follows
within this time."""


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
        self.started_s = members.loop.now()
        self.logged: dict[DomainName, AddressList] = {}

    def note_for_log(self, domain: DomainName, found: AddressList) -> bool:
        """Return whether a list differs from the last noted, or names stopping nodes or none."""
        changed = self.logged.get(domain) != found
        if domain in self.logged or len(self.logged) < MAX_LOGGED_DOMAINS:
            self.logged[domain] = found
        return changed or bool(found.leaving) or not found.nodes

    def for_domain(self, domain: DomainName) -> AddressList:
        """Return the nodes for callers in a failure domain, that domain's first.

        While all nodes stop, the list names those that have the most time left and expires before
        it ends.
        """
        if self._knows_only_itself():
            return AddressList((), (), 0.0)
        chosen = self.members.serving_nodes()
        if not chosen:
            return self._stopping(domain)
        chosen.sort(key=lambda info: (info.domain != domain, info.node))
        same_domain = [info for info in chosen if info.domain == domain]
        divided = self.members.divided
        if len(same_domain) >= (MIN_NEAR_ACTIVE_ADDRESSES if divided else MIN_NEAR_ADDRESSES):
            chosen = same_domain
        return AddressList(tuple(chosen[:MAX_ADDRESSES]), (), self.ttl_s)

    def _knows_only_itself(self) -> bool:
        """Return whether this node has just started and has not read who the others are."""
        members = self.members
        waited = members.loop.now() - self.started_s >= UNLISTED_WAIT_S
        return not members.registry.listed and not waited

    def _stopping(self, domain: DomainName) -> AddressList:
        """Return a list for while no node is known to serve on."""
        now = self.members.loop.now()
        stopping = list(self.members.stopping_nodes().values())
        latest_s = max((until_s for _, until_s in stopping), default=now)
        least_s = max((latest_s - now) * MIN_LEFT_SHARE, KEPT_LIFETIMES * MIN_ADDRESSES_TTL_S)
        named = [(info, until_s) for info, until_s in stopping if until_s - now >= least_s]
        unreported = self.members.unreported_nodes()
        ttl_s = expiring_ttl_s((until_s for _, until_s in named), now, self.ttl_s)
        if not named:
            ttl_s = min(ttl_s, UNREPORTED_TTL_S)
        nodes = [*(info for info, _ in named), *unreported]
        nodes.sort(key=lambda info: (info.domain != domain, info.node))
        leaving = tuple(info.node for info, _ in named)
        return AddressList(tuple(nodes[:MAX_ADDRESSES]), leaving, int(ttl_s * 1000) / 1000)
