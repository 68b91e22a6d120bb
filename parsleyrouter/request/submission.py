"""Decide whether a node accepts batch jobs while it gets no answers from the key-value service.

A disconnected node refuses submissions at once: a client that waits until the node's call has timed
out learns too late that another node would accept its job.
"""

from collections.abc import Iterable

__all__ = ["RETRY_ELSEWHERE_S", "RETRY_OUTAGE_S", "submission_retry_s"]

RETRY_ELSEWHERE_S = 0.02
"""Retry delay if another node is likely to accept the job: practically none."""

RETRY_OUTAGE_S = 1.2
"""Retry delay if no node gets answers: a third of the time that clients usually allow."""


def submission_retry_s(own_failing: bool, others_failing: Iterable[bool]) -> float | None:
    """Return the retry delay for a refused client, ``None`` if the job can be accepted.

    A node that hears from no other is assumed to be the only disconnected one.
    """
    if not own_failing:
        return None
    others = list(others_failing)
    return RETRY_OUTAGE_S if others and all(others) else RETRY_ELSEWHERE_S
