"""Cache the home node of each endpoint and update it incrementally when nodes change."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from parsleyrouter.ids import Address, EndpointId, NodeId
from parsleyrouter.process.fleet_view import FleetView, NodeInfo, Service
from parsleyrouter.request.home_hashing import eligible_nodes, rendezvous_score

__all__ = ["HomeMap"]


@dataclass
class HomeMap:
    """Map endpoints to home nodes; a change costs one hash per known endpoint and added node."""

    view: FleetView
    nodes: Mapping[NodeId, NodeInfo] = field(default_factory=dict)
    homes: dict[EndpointId, NodeId] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.refresh()
        self.view.on_change(self.refresh)

    def home(self, endpoint: EndpointId) -> NodeId | None:
        """Return the home node of an endpoint, ``None`` while no node has a scheduler."""
        found = self.homes.get(endpoint)
        if found is None and self.nodes:
            found = max(self.nodes, key=lambda node: rendezvous_score(endpoint, node))
            self.homes[endpoint] = found
        return found

    def address(self, endpoint: EndpointId) -> Address | None:
        """Return the address of an endpoint's home scheduler."""
        home = self.home(endpoint)
        return None if home is None else self.nodes[home].addresses[Service.SCHEDULER]

    def refresh(self) -> None:
        """Apply the nodes of the current view."""
        before = self.nodes
        self.nodes = {info.node: info for info in eligible_nodes(self.view.nodes())}
        added = self.nodes.keys() - before.keys()
        if added or before.keys() - self.nodes.keys():
            self.homes = {
                endpoint: max((home, *added), key=lambda node: rendezvous_score(endpoint, node))
                for endpoint, home in self.homes.items()
                if home in self.nodes
            }
