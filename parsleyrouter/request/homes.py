"""Find the home scheduler of an endpoint by rendezvous hashing."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from parsleyrouter.ids import Address, EndpointId, NodeId
from parsleyrouter.process.view import NodeInfo, NodeState, Service

__all__ = ["home_address", "home_of"]


def home_of(endpoint: EndpointId, nodes: Iterable[NodeInfo]) -> NodeInfo | None:
    """Return the live node whose scheduler admits to an endpoint.

    Leaving nodes are homes only while no other node has a scheduler.
    """
    able = [node for node in nodes if Service.SCHEDULER in node.addresses]
    staying = [node for node in able if node.state is NodeState.LIVE]
    return max(staying or able, key=lambda node: _score(endpoint, node.node), default=None)


def home_address(endpoint: EndpointId, nodes: Iterable[NodeInfo]) -> Address | None:
    """Return the scheduler address of an endpoint's home."""
    home = home_of(endpoint, nodes)
    return None if home is None else home.addresses[Service.SCHEDULER]


def _score(endpoint: EndpointId, node: NodeId) -> tuple[int, NodeId]:
    return xxh3_64_intdigest(f"{endpoint}\0{node}".encode()), node
