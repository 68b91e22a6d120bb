"""Assign endpoints to home nodes by rendezvous hashing."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from parsleyrouter.ids import Address, EndpointId, NodeId
from parsleyrouter.process.fleet_view import NodeInfo, NodeState, Service

__all__ = ["eligible_nodes", "home_address", "home_of", "rendezvous_score"]


def eligible_nodes(nodes: Iterable[NodeInfo]) -> list[NodeInfo]:
    """Return the nodes that can be homes; leaving nodes only if there are no others."""
    eligible = [node for node in nodes if Service.SCHEDULER in node.addresses]
    return [node for node in eligible if node.state is NodeState.LIVE] or eligible


def home_of(endpoint: EndpointId, nodes: Iterable[NodeInfo]) -> NodeInfo | None:
    """Return the node whose scheduler grants the slots of an endpoint."""
    eligible = eligible_nodes(nodes)
    return max(eligible, key=lambda info: rendezvous_score(endpoint, info.node), default=None)


def home_address(endpoint: EndpointId, nodes: Iterable[NodeInfo]) -> Address | None:
    """Return the address of an endpoint's home scheduler."""
    home = home_of(endpoint, nodes)
    return None if home is None else home.addresses[Service.SCHEDULER]


def rendezvous_score(endpoint: EndpointId, node: NodeId) -> tuple[int, NodeId]:
    """Return the score of a node for an endpoint; the highest score is the home."""
    return xxh3_64_intdigest(f"{endpoint}\0{node}".encode()), node
