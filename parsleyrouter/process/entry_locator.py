"""Select the entries that callers should use."""

import random
from dataclasses import dataclass

from parsleyrouter.ids import Address, DomainName
from parsleyrouter.process.fleet_view import FleetView, NodeInfo, NodeState, Service
from parsleyrouter.process.loop import Loop

__all__ = ["EntryAddress", "EntryLocator", "EntryList", "order_entries"]

LOCATE_TTL_S = 5.0
MIN_WEIGHT = 0.05


@dataclass(frozen=True)
class EntryAddress:
    """One entry that accepts requests; callers distribute their requests by weight."""

    address: Address
    domain: DomainName
    weight: float


@dataclass(frozen=True)
class EntryList:
    """Entries in the order in which to try them, valid for ``ttl_s`` seconds."""

    entries: tuple[EntryAddress, ...]
    ttl_s: float


def order_entries(
    nodes: tuple[NodeInfo, ...], domain: str, rng: random.Random
) -> tuple[EntryAddress, ...]:
    """Return live entries, those of the domain first, each group shuffled by free capacity."""
    ranked = []
    for info in nodes:
        address = info.addresses.get(Service.ENTRY)
        if address is None or info.state is not NodeState.LIVE:
            continue
        weight = max(MIN_WEIGHT, 1.0 - info.load)
        draw = rng.random() ** (1.0 / weight)
        entry = EntryAddress(address, info.domain, round(weight, 3))
        ranked.append((info.domain != domain, -draw, entry))
    ranked.sort(key=lambda item: item[:2])
    return tuple(entry for _, _, entry in ranked)


class EntryLocator:
    """Select entries from the fleet view; record until when callers may use this one."""

    def __init__(self, loop: Loop, view: FleetView, ttl_s: float = LOCATE_TTL_S) -> None:
        self.loop = loop
        self.view = view
        self.ttl_s = ttl_s
        self.rng = random.Random()
        self.leaving = False
        self.listed_until_s = 0.0

    def find_entries(self, domain: str = "") -> EntryList:
        """Return the entries for a caller in a failure domain, by default that of this node."""
        own = self.view.self_node()
        nodes = self.view.nodes()
        if self.leaving:
            nodes = tuple(info for info in nodes if info.node != own.node)
        entries = order_entries(nodes, domain or own.domain, self.rng)
        if any(entry.address == own.addresses.get(Service.ENTRY) for entry in entries):
            self.listed_until_s = self.loop.now() + self.ttl_s
        return EntryList(entries, self.ttl_s)
