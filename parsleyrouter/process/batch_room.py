"""Decide where batch work may run beside online requests, and where it must give way.

Answers online bursts over a background of batch items that last longer than the pause between two
bursts: engines admit in order of arrival, so batch work must never be queued there, and it must
leave a slot as soon as an online request waits for one.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import TypeVar

from parsleyrouter.ids import CellId, NodeId
from parsleyrouter.process.cells import ONE_CELL
from parsleyrouter.process.fleet_loads import EndpointUse
from parsleyrouter.request.placement import Candidate

__all__ = ["batch_order", "place_batch", "yields"]

Name = TypeVar("Name", bound=str)


def place_batch(
    candidates: Iterable[Candidate], *, contenders: int = 1, chance: float = 0.0
) -> Candidate | None:
    """Return the endpoint with the most room for a batch item, or none.

    Batch takes every free slot: an online request that finds none waits only until an item has
    given way, which takes a few steps of the engine. ``contenders`` nodes have items that wait;
    where there are fewer free slots, ``chance``, from 0 to 1, keeps them from all taking the same.
    """
    with_room = [one for one in candidates if not one.avoided and one.free > 0]
    best = max(with_room, key=lambda one: one.free / one.slowness, default=None)
    if best is None or chance * contenders >= sum(one.free for one in with_room):
        return None
    return best


def batch_order(*, left_s: float, needed_s: float) -> tuple[bool, int, float]:
    """Return the rank of an item that is due in ``left_s``; the lowest goes first.

    Items that can still be done in time go before those that cannot, or one late job would make
    all that follow it late. Among them those that need least go first, so that what was begun is
    finished.
    """
    return (left_s < needed_s, round(needed_s), left_s)


def yields(
    node: NodeId,
    excess: int,
    batch: Mapping[NodeId, EndpointUse],
    *,
    cell: CellId = ONE_CELL,
    cells: Mapping[CellId, int] | None = None,
) -> int:
    """Return how many of its batch items a node must give up at an endpoint with ``over`` too many.

    Those with the most batch work there give way first: cells, then nodes within a cell. ``batch``
    holds the word of all nodes of the node's own ``cell``, ``cells`` the items of the others.
    """
    if excess <= 0:
        return 0
    counts = {name: use.batch for name, use in batch.items() if use.batch}
    if cells:
        excess = _split_excess({**cells, cell: sum(counts.values())}, excess)[cell]
    return _split_excess(counts, excess)[node]


def _split_excess(counts: Mapping[Name, int], excess: int) -> Counter[Name]:
    """Return what each gives up, taken from whoever has most left."""
    left = dict(counts)
    preempted: Counter[Name] = Counter()
    for _ in range(min(excess, sum(left.values()))):
        name = max(left, key=lambda one: (left[one], one))
        left[name] -= 1
        preempted[name] += 1
    return preempted
