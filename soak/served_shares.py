"""How often sound requests are served, compared with others."""

from collections.abc import Sequence
from math import comb

from soak.journal import Attempt
from soak.world import World

__all__ = ["CONTACT_S", "is_in_touch", "is_served_less"]

CONTACT_S = 3.0
"""Time after a crash from which nodes in touch must know of it."""

MIN_REQUESTS = 8
MIN_SHARE = 0.5
"""Of the share of the others that are served."""

MAX_CHANCE = 0.01
"""Chance below which a lower share in so few requests is reported."""


def is_in_touch(world: World, attempt: Attempt, at_s: float) -> bool:
    """Return whether the node of a request was in touch at a time."""
    node = next(node for node in world.nodes if node.name == attempt.node)
    return node.in_touch_between(at_s - CONTACT_S, at_s)


def is_served_less(own: Sequence[bool], others: Sequence[bool]) -> bool:
    """Return whether requests are served less than half as often as others."""
    if min(len(own), len(others)) < MIN_REQUESTS:
        return False
    min_share = MIN_SHARE * sum(others) / len(others)
    return _tail_chance(sum(own), len(own), min_share) < MAX_CHANCE


def _tail_chance(count: int, total: int, share: float) -> float:
    """Return the chance of at most ``count`` of ``total`` if each has a chance of ``share``."""
    return sum(
        comb(total, one) * share**one * (1 - share) ** (total - one) for one in range(count + 1)
    )
