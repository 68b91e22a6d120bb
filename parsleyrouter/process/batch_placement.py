"""Decide where batch items run beside online requests, and which of them are preempted.

Batch items last longer than the pause between two bursts of online requests, and engines admit in
order of arrival. Batch items are therefore never queued at an engine, and they free their slots as
soon as online requests wait for them.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import TypeVar

from parsleyrouter.ids import CellId, NodeId
from parsleyrouter.process.cells import SINGLE_CELL
from parsleyrouter.process.fleet_loads import RequestCounts
from parsleyrouter.request.placement import PlacementCandidate

__all__ = ["batch_item_rank", "count_preemptions", "pick_batch_endpoint", "pick_trial_endpoint"]

WORK_STEPS = 5
"""Items whose work left differs by less than one of this many steps are ranked by due time."""

Name = TypeVar("Name", bound=str)


def pick_batch_endpoint(
    candidates: Iterable[PlacementCandidate], *, waiting_nodes: float = 1, draw: float = 0.0
) -> PlacementCandidate | None:
    """Return the endpoint with the most room for a batch item, or ``None``.

    Endpoints that limit the number of requests come first: an item does the most work for one.

    Batch items use every free slot: an online request that finds none waits only for a preemption,
    which takes a few steps of the engine. ``waiting_nodes`` nodes have waiting items; if there are
    fewer free slots, ``draw``, a random number from 0 to 1, keeps them from all picking the same.
    """
    roomy = [one for one in candidates if not one.avoided and one.free_for_batch > 0]
    best = max(roomy, key=lambda one: (one.limited, one.free / one.slowness), default=None)
    if best is None or draw * waiting_nodes >= sum(one.free_for_batch for one in roomy):
        return None
    return best


def pick_trial_endpoint(candidates: Iterable[PlacementCandidate]) -> PlacementCandidate | None:
    """Return the endpoint whose crash would cost least, ``None`` if none has room.

    Endpoints that limit the number of requests are left out: several items may come at once.
    """
    roomy = [one for one in candidates if one.free and not one.avoided and not one.limited]
    return min(roomy, key=lambda one: (one.used, one.slowness), default=None)


def batch_item_rank(
    *, left_s: float, needed_s: float, expected_s: float
) -> tuple[bool, int, float]:
    """Return the rank of an item that is due in ``left_s``; the lowest rank runs first.

    It still needs ``needed_s`` of the ``expected_s`` that a whole item takes.

    Items that can still be done in time go before those that cannot, or one late job would make
    all later ones late. Among them, those with the least work left run first, so that started
    items are finished.
    """
    return (left_s < needed_s, round(WORK_STEPS * needed_s / expected_s), left_s)


def count_preemptions(
    node: NodeId,
    excess: int,
    batch: Mapping[NodeId, RequestCounts],
    *,
    cell: CellId = SINGLE_CELL,
    cells: Mapping[CellId, int] | None = None,
) -> int:
    """Return how many of its batch items a node must preempt at an endpoint.

    ``excess`` is the number of requests beyond the slots of the endpoint. Cells with the most batch
    items there preempt first, then nodes within a cell. ``batch`` holds the reports of all nodes of
    the node's own ``cell``, ``cells`` the items of the other cells.
    """
    if excess <= 0:
        return 0
    counts = {name: use.batch for name, use in batch.items() if use.batch}
    if cells:
        excess = _split_excess({**cells, cell: sum(counts.values())}, excess)[cell]
    return _split_excess(counts, excess)[node]


def _split_excess(counts: Mapping[Name, int], excess: int) -> Counter[Name]:
    """Split ``excess`` preemptions, taking each from whoever has the most items left."""
    left = dict(counts)
    given: Counter[Name] = Counter()
    for _ in range(min(excess, sum(left.values()))):
        name = max(left, key=lambda one: (left[one], one))
        left[name] -= 1
        given[name] += 1
    return given
