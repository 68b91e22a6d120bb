"""Memory of the items of batch jobs that a node holds."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from parsleyrouter.ids import JobId
from parsleyrouter.request.shared_job import JobItem

__all__ = ["JobMemory", "items_bytes"]

ITEM_BYTES = 500
"""Memory of an item beside its body and headers."""

HEADER_BYTES = 150
"""Memory of a header of an item beside its text."""

SUBMISSION_COPIES = 4
"""Copies of a job while it is being stored: its items, their encoding, the call and its text."""


def items_bytes(items: Iterable[JobItem]) -> int:
    """Return about how much memory the items of a job take."""
    return sum(
        ITEM_BYTES
        + len(one.body)
        + len(one.path)
        + sum(len(name) + len(value) + HEADER_BYTES for name, value in one.headers.items())
        for one in items
    )


class JobMemory:
    """Count the items of submitted and running jobs; 0 as the limit means none."""

    def __init__(self, limit_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.running: dict[JobId, int] = {}
        self.submitted_bytes = 0
        self.refused = 0

    @property
    def held_bytes(self) -> int:
        """Return what all jobs hold."""
        return sum(self.running.values()) + self.submitted_bytes

    @contextmanager
    def submission(self, items: list[JobItem]) -> Iterator[bool]:
        """Count a job while it is being stored; yield whether there is memory for it.

        One job at a time is always accepted.
        """
        size = SUBMISSION_COPIES * items_bytes(items)
        fits = not self.held_bytes or self.held_bytes + size <= self.limit_bytes
        if self.limit_bytes and not fits:
            self.refused += 1
            yield False
            return
        self.submitted_bytes += size
        try:
            yield True
        finally:
            self.submitted_bytes -= size

    def hold(self, job: JobId, items: list[JobItem]) -> None:
        """Count a job that runs here."""
        self.running[job] = items_bytes(items)

    def release(self, job: JobId) -> None:
        """Stop counting a job."""
        self.running.pop(job, None)
