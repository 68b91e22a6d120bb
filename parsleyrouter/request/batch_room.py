"""Decide where batch work may run beside online requests, and where it must give way.

Answers online bursts over a background of batch items that last longer than the pause between two
bursts: engines admit in order of arrival, so batch work must never be queued there, and it must
leave a slot as soon as an online request waits for one.
"""

from collections.abc import Iterable, Mapping

from parsleyrouter.ids import NodeId
from parsleyrouter.process.endpoint_loads import EndpointUse
from parsleyrouter.request.placement import Candidate

__all__ = ["URGENT_SLACK_S", "place_batch", "yields"]

KEPT_FREE = 1
"""Slots of an endpoint that batch leaves free for the next online request."""

URGENT_SLACK_S = 1.0
"""Slack below which an item takes any free slot and keeps the one it has."""


def place_batch(candidates: Iterable[Candidate], *, slack_s: float) -> Candidate | None:
    """Return the endpoint with the most room for a batch item, or none."""
    kept = 0 if slack_s < URGENT_SLACK_S else KEPT_FREE
    roomy = [one for one in candidates if not one.avoided and one.free > kept]
    return max(roomy, key=lambda one: one.free / one.slowness, default=None)


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
