"""Choose the disk VMs that hold the copies of a part's chunks."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from parsleyrouter.ids import Address, DomainName, JobId, NodeId, PartIndex
from parsleyrouter.process.fleet_view import NodeInfo, NodeState, Service

__all__ = ["TARGET_COPIES", "Disk", "choose_disks", "disks_of", "rank_disks"]

TARGET_COPIES = 3


@dataclass(frozen=True)
class Disk:
    """One reachable disk VM."""

    node: NodeId
    domain: DomainName
    address: Address
    leaving: bool = False


def disks_of(nodes: Iterable[NodeInfo]) -> tuple[Disk, ...]:
    """Return the disk VMs among the nodes of the fleet."""
    return tuple(
        Disk(
            info.node,
            info.domain,
            info.addresses[Service.STORE],
            info.state is NodeState.LEAVING,
        )
        for info in nodes
        if Service.STORE in info.addresses
    )


def rank_disks(job: JobId, part: PartIndex, disks: Iterable[Disk]) -> list[Disk]:
    """Order disk VMs for a part by rendezvous hashing; those that are leaving come last."""
    key = f"{job}\0{part}\0"
    return sorted(
        disks,
        key=lambda disk: (disk.leaving, xxh3_64_intdigest((key + disk.node).encode()), disk.node),
    )


def choose_disks(ranked: Sequence[Disk], copies: int = TARGET_COPIES) -> list[Disk]:
    """Return the first disk VM of each failure domain, at most ``copies`` of them."""
    chosen: dict[DomainName, Disk] = {}
    for disk in ranked:
        chosen.setdefault(disk.domain, disk)
    return list(chosen.values())[:copies]
