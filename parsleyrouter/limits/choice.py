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
    domains = sorted({*nodes.values()})
    group, index = divmod(share, SHARES_PER_GROUP)

    def place(node: NodeId) -> tuple[int, int]:
        if node not in nodes:
            return len(domains), 0
        turn = (domains.index(nodes[node]) - group - index) % len(domains)
        return turn, xxh3_64_intdigest(f"{share}/{node}".encode())

    own_place = place(own)
    return min(MAX_RANK, sum(place(node) < own_place for node in nodes))
