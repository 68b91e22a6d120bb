"""Choose the nodes that should hold shares; deterministic, so that nodes with equal input agree."""

from collections.abc import Mapping

from xxhash import xxh3_64_intdigest

from parsleyrouter.ids import DomainName, NodeId, ShareId
from parsleyrouter.limits.shares import SHARES_PER_GROUP

__all__ = ["claim_delay_s"]

RANK_DELAY_S = 0.4
"""Delay of each further node: the time in which it learns that another has claimed the share."""

STANDBY_DELAY_S = 10.0
"""Delay of nodes to which callers do not come, in addition."""

MAX_RANK = 50


def claim_delay_s(
    share: ShareId,
    own: NodeId,
    active: Mapping[NodeId, DomainName],
    registered: Mapping[NodeId, DomainName],
) -> float:
    """Return how long a share must be free before a node claims it.

    Active nodes come first; the shares of a group prefer different failure domains.
    """
    if own in active:
        return RANK_DELAY_S * _rank(share, own, active)
    return STANDBY_DELAY_S + RANK_DELAY_S * _rank(share, own, registered)


def _rank(share: ShareId, own: NodeId, nodes: Mapping[NodeId, DomainName]) -> int:
    """Return the place of a node among those that may hold a share.

    The nodes of a group are in one order, in which failure domains take turns. The first share
    prefers the first of them, the second share the second, and so on.
    """
    group, index = divmod(share, SHARES_PER_GROUP)
    by_domain: dict[DomainName, list[tuple[int, NodeId]]] = {}
    for node, domain in nodes.items():
        score = xxh3_64_intdigest(f"{group}/{node}".encode())
        by_domain.setdefault(domain, []).append((score, node))
    domains = sorted(by_domain)
    places = {
        node: (place, (domains.index(domain) - group) % len(domains))
        for domain, members in by_domain.items()
        for place, (_, node) in enumerate(sorted(members))
    }
    order = sorted(places, key=places.__getitem__)
    if own not in places:
        return MAX_RANK
    return min(MAX_RANK, (order.index(own) - index) % len(order))
