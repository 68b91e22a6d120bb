"""Find the home scheduler of an endpoint by rendezvous hashing."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from parsleyrouter.ids import Address, EndpointId, NodeId
from parsleyrouter.process.fleet_view import NodeInfo, NodeState, Service

__all__ = ["home_address", "home_of", "schedulers", "score"]


def schedulers(nodes: Iterable[NodeInfo]) -> list[NodeInfo]:
    """Return the nodes that can be homes; leaving ones only while no other can."""
    able = [node for node in nodes if Service.SCHEDULER in node.addresses]
    return [node for node in able if node.state is NodeState.LIVE] or able


def home_of(endpoint: EndpointId, nodes: Iterable[NodeInfo]) -> NodeInfo | None:
    """Return the node whose scheduler admits to an endpoint."""
    able = schedulers(nodes)
    return max(able, key=lambda info: score(endpoint, info.node), default=None)


def home_address(endpoint: EndpointId, nodes: Iterable[NodeInfo]) -> Address | None:
    """Return the scheduler address of an endpoint's home."""
    home = home_of(endpoint, nodes)
    return None if home is None else home.addresses[Service.SCHEDULER]


def score(endpoint: EndpointId, node: NodeId) -> tuple[int, NodeId]:
    """Return the rank of a node for an endpoint; the highest is home."""
    return xxh3_64_intdigest(f"{endpoint}\0{node}".encode()), node
