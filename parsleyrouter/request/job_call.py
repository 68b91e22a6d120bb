"""Calls of clients about batch jobs."""

from dataclasses import dataclass

from parsleyrouter.ids import ItemId, JobId
from parsleyrouter.request.shared_job import ItemResult, SubmittedJob

__all__ = ["EndJob", "JobCall", "ReadItem", "ReadResults", "ResultPage", "SubmitJob"]


@dataclass(frozen=True)
class SubmitJob:
    """Accept a job, or confirm that it was accepted before."""

    submitted: SubmittedJob


@dataclass(frozen=True)
class ReadResults:
    """Read results starting at a position, waiting up to ``wait_s`` for the first one."""

    job: JobId
    start: int
    wait_s: float


@dataclass(frozen=True)
class ReadItem:
    """Read the body of an item."""

    job: JobId
    item: ItemId


@dataclass(frozen=True)
class EndJob:
    """End a job; listed results stay listed."""

    job: JobId


JobCall = SubmitJob | ReadResults | ReadItem | EndJob


@dataclass(frozen=True)
class ResultPage:
    """Results of a job starting at a position; ``total`` is the number of its items."""

    total: int
    start: int
    results: tuple[ItemResult, ...]
