"""Decide where batch work may run beside online requests, and where it must give way.

Answers online bursts over a background of batch items that last longer than the pause between two
bursts: engines admit in order of arrival, so batch work must never be queued there, and it must
leave a slot as soon as an online request waits for one.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import TypeVar

from parsleyrouter.ids import CellId, NodeId
from parsleyrouter.process.cells import SINGLE_CELL
from parsleyrouter.process.fleet_loads import RequestCounts
from parsleyrouter.request.placement import PlacementCandidate

__all__ = ["batch_item_rank", "pick_batch_endpoint", "count_preemptions"]

Name = TypeVar("Name", bound=str)


def pick_batch_endpoint(
    candidates: Iterable[PlacementCandidate], *, contenders: int = 1, chance: float = 0.0
) -> PlacementCandidate | None:
    """Return the endpoint with the most room for a batch item, or none.

    Batch takes every free slot: an online request that finds none waits only until an item has
    given way, which takes a few steps of the engine. ``contenders`` nodes have items that wait;
    where there are fewer free slots, ``chance``, from 0 to 1, keeps them from all taking the same.
    """
    roomy = [one for one in candidates if not one.avoided and one.free > 0]
    best = max(roomy, key=lambda one: one.free / one.slowness, default=None)
    if best is None or chance * contenders >= sum(one.free for one in roomy):
        return None
    return best


def batch_item_rank(*, left_s: float, needed_s: float) -> tuple[bool, int, float]:
    """Return the rank of an item that is due in ``left_s``; the lowest goes first.

    Items that can still be done in time go before those that cannot, or one late job would make
    all that follow it late. Among them those that need least go first, so that what was begun is
    finished.
    """
    return (left_s < needed_s, round(needed_s), left_s)


def count_preemptions(
    node: NodeId,
    over: int,
    batch: Mapping[NodeId, RequestCounts],
    *,
    cell: CellId = SINGLE_CELL,
    cells: Mapping[CellId, int] | None = None,
) -> int:
    """Return how many of its batch items a node must give up at an endpoint with ``over`` too many.

    Those with the most batch work there give way first: cells, then nodes within a cell. ``batch``
    holds the word of all nodes of the node's own ``cell``, ``cells`` the items of the others.
    """
    if over <= 0:
        return 0
    counts = {name: use.batch for name, use in batch.items() if use.batch}
    if cells:
        over = _shares({**cells, cell: sum(counts.values())}, over)[cell]
    return _shares(counts, over)[node]


def _shares(counts: Mapping[Name, int], over: int) -> Counter[Name]:
    """Return what each gives up, taken from whoever has most left."""
    left = dict(counts)
    given: Counter[Name] = Counter()
    for _ in range(min(over, sum(left.values()))):
        name = max(left, key=lambda one: (left[one], one))
        left[name] -= 1
        given[name] += 1
    return given
