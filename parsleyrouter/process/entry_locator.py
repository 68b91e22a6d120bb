"""Tell callers which entries to use."""

import random
from dataclasses import dataclass

from parsleyrouter.ids import Address, DomainName
from parsleyrouter.process.fleet_view import FleetView, NodeInfo, NodeState, Service
from parsleyrouter.process.loop import Loop

__all__ = ["EntryAddress", "EntryLocator", "LocateAnswer", "order_entries"]

TIME_TO_LIVE_S = 5.0
LEAST_WEIGHT = 0.05


@dataclass(frozen=True)
class EntryAddress:
    """One entry that takes requests; a caller shares its requests out by weight."""

    address: Address
    domain: DomainName
    weight: float


@dataclass(frozen=True)
class LocateAnswer:
    """Entries in the order in which to try them, good for ``ttl_s`` seconds."""

    entries: tuple[EntryAddress, ...]
    ttl_s: float


def order_entries(
    nodes: tuple[NodeInfo, ...], domain: str, rng: random.Random
) -> tuple[EntryAddress, ...]:
    """Return live entries, those of the domain first, within it at random by free capacity."""
    ranked = []
    for info in nodes:
        address = info.addresses.get(Service.ENTRY)
        if address is None or info.state is not NodeState.LIVE:
            continue
        weight = max(LEAST_WEIGHT, 1.0 - info.load)
        draw = rng.random() ** (1.0 / weight)
        entry = EntryAddress(address, info.domain, round(weight, 3))
        ranked.append((info.domain != domain, -draw, entry))
    ranked.sort(key=lambda item: item[:2])
    return tuple(entry for _, _, entry in ranked)


class EntryLocator:
    """Answer from the view and remember until when an answer may be used."""

    def __init__(self, loop: Loop, view: FleetView, ttl_s: float = TIME_TO_LIVE_S) -> None:
        self.loop = loop
        self.view = view
        self.ttl_s = ttl_s
        self.rng = random.Random()
        self.leaving = False
        self.used_until_s = 0.0

    def find_entries(self, domain: str = "") -> LocateAnswer:
        """Return the entries for a caller in a failure domain, by default this node's own."""
        me = self.view.self_node()
        nodes = self.view.nodes()
        if self.leaving:
            nodes = tuple(info for info in nodes if info.node != me.node)
        entries = order_entries(nodes, domain or me.domain, self.rng)
        if any(entry.address == me.addresses.get(Service.ENTRY) for entry in entries):
            self.used_until_s = self.loop.now() + self.ttl_s
        return LocateAnswer(entries, self.ttl_s)
