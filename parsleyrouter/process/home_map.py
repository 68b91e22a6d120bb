"""Keep the homes of endpoints as nodes come and go, without hashing all of them again."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from parsleyrouter.ids import Address, EndpointId, NodeId
from parsleyrouter.process.fleet_view import FleetView, NodeInfo, Service
from parsleyrouter.request.home_hashing import schedulers, score

__all__ = ["HomeMap"]


@dataclass
class HomeMap:
    """Follow a view; a change costs one hash for each known endpoint and added node."""

    view: FleetView
    nodes: Mapping[NodeId, NodeInfo] = field(default_factory=dict)
    homes: dict[EndpointId, NodeId] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.refresh()
        self.view.on_change(self.refresh)

    def home(self, endpoint: EndpointId) -> NodeId | None:
        """Return the node that is home for an endpoint."""
        found = self.homes.get(endpoint)
        if found is None and self.nodes:
            found = max(self.nodes, key=lambda node: score(endpoint, node))
            self.homes[endpoint] = found
        return found

    def address(self, endpoint: EndpointId) -> Address | None:
        """Return the scheduler address of an endpoint's home."""
        home = self.home(endpoint)
        return None if home is None else self.nodes[home].addresses[Service.SCHEDULER]

    def refresh(self) -> None:
        """Take up the nodes as the view now has them."""
        before = self.nodes
        self.nodes = {info.node: info for info in schedulers(self.view.nodes())}
        added = self.nodes.keys() - before.keys()
        if added or before.keys() - self.nodes.keys():
            self.homes = {
                endpoint: max((home, *added), key=lambda node: score(endpoint, node))
                for endpoint, home in self.homes.items()
                if home in self.nodes
            }
