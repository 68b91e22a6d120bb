"""Decide whether a node takes batch jobs while it gets no answers from the key-value service.

Answers submissions that arrive at a node which is cut off: kept waiting for a call to time out, a
client learns too late that another node would take its job.
"""

from collections.abc import Iterable

__all__ = ["RETRY_ELSEWHERE_S", "RETRY_OUTAGE_S", "submission_retry_s"]

RETRY_ELSEWHERE_S = 0.02
"""When to submit again if another node is likely to take the job: at once."""

RETRY_OUTAGE_S = 1.2
"""When to submit again if no node gets answers: a third of the time that clients usually allow."""


def submission_retry_s(own_failing: bool, others_failing: Iterable[bool]) -> float | None:
    """Return when a refused client should submit again, ``None`` when the job can be taken.

    A node that hears of no other is taken to be cut off alone.
    """
    if not own_failing:
        return None
    others = list(others_failing)
    return RETRY_OUTAGE_S if others and all(others) else RETRY_ELSEWHERE_S
