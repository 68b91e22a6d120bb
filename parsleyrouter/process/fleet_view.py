"""Interface through which every role sees the fleet: live nodes and active settings."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.version.snapshot import SettingsSnapshot

__all__ = ["StaticFleetView", "FleetView", "NodeInfo", "NodeState", "Service"]


class Service(Enum):
    """A service that a node offers to its peers or callers."""

    ENTRY = "entry"
    AGENT = "agent"
    SCHEDULER = "scheduler"
    BATCH = "batch"
    STORE = "store"


class NodeState(Enum):
    """Whether a node accepts new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class NodeInfo:
    """A node considered up; a service without an address does not run there."""

    node: NodeId
    domain: DomainName
    addresses: Mapping[Service, Address] = field(default_factory=dict)
    state: NodeState = NodeState.LIVE
    load: float = 0.0
    incarnation: int = 0


class FleetView(Protocol):
    """Nodes and settings of the fleet as a process sees them, possibly some seconds old."""

    def self_node(self) -> NodeInfo:
        """Return the node of this process."""

    def nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes considered up, this one included, ordered by id."""

    def settings(self) -> SettingsSnapshot:
        """Return the active settings of this process."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes of nodes or settings."""


class StaticFleetView:
    """A view with given content, for tests and tools."""

    def __init__(
        self,
        me: NodeInfo,
        others: tuple[NodeInfo, ...] = (),
        snapshot: SettingsSnapshot | None = None,
    ) -> None:
        self.me = me
        self.others = others
        self.snapshot = snapshot or SettingsSnapshot()
        self.callbacks: list[Callable[[], None]] = []

    def self_node(self) -> NodeInfo:
        """Return the given own node."""
        return self.me

    def nodes(self) -> tuple[NodeInfo, ...]:
        """Return the given nodes, ordered by id."""
        return tuple(sorted((self.me, *self.others), key=lambda info: info.node))

    def settings(self) -> SettingsSnapshot:
        """Return the given settings."""
        return self.snapshot

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for ``set``."""
        self.callbacks.append(callback)

    def set(
        self,
        others: tuple[NodeInfo, ...] | None = None,
        snapshot: SettingsSnapshot | None = None,
    ) -> None:
        """Replace nodes or settings and run the callbacks."""
        self.others = self.others if others is None else others
        self.snapshot = snapshot or self.snapshot
        for callback in self.callbacks:
            callback()
