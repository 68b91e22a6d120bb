"""Decide where batch work may run beside online requests, and where it must give way.

Answers online bursts over a background of batch items that last longer than the pause between two
bursts: engines admit in order of arrival, so batch work must never be queued there, and it must
leave a slot as soon as an online request waits for one.
"""

from collections.abc import Iterable, Mapping

from parsleyrouter.ids import NodeId
from parsleyrouter.process.endpoint_loads import EndpointUse
from parsleyrouter.request.placement import Candidate

__all__ = ["batch_order", "place_batch", "yields"]


def place_batch(
    candidates: Iterable[Candidate], *, contenders: int = 1, chance: float = 0.0
) -> Candidate | None:
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


def batch_order(*, left_s: float, needed_s: float) -> tuple[bool, int, float]:
    """Return the rank of an item that is due in ``left_s``; the lowest goes first.

    Items that can still be done in time go before those that cannot, or one late job would make
    all that follow it late. Among them those that need least go first, so that what was begun is
    finished.
    """
    return (left_s < needed_s, round(needed_s), left_s)


def yields(node: NodeId, candidate: Candidate, batch: Mapping[NodeId, EndpointUse]) -> int:
    """Return how many of its batch items at an endpoint a node must give up.

    Nodes with the most batch work there give way first; ``batch`` holds the word of all nodes.
    """
    over = candidate.used - candidate.slots
    if over <= 0:
        return 0
    counts = {name: use.batch for name, use in batch.items() if use.batch}
    given = 0
    for _ in range(min(over, sum(counts.values()))):
        name = max(counts, key=lambda one: (counts[one], one))
        counts[name] -= 1
        given += name == node
    return given
