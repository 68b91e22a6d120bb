"""What clients ask about batch jobs."""

from dataclasses import dataclass

from parsleyrouter.ids import ItemId, JobId
from parsleyrouter.request.shared_job import ItemResult, SubmittedJob

__all__ = ["EndJob", "JobCall", "ReadItem", "ReadResults", "ResultPage", "SubmitJob"]


@dataclass(frozen=True)
class SubmitJob:
    """Accept a job; asked again, confirm that it was accepted."""

    submitted: SubmittedJob


@dataclass(frozen=True)
class ReadResults:
    """Read results from a position on, waiting up to ``wait_s`` for the first one."""

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
    """End a job; what is listed stays listed."""

    job: JobId


JobCall = SubmitJob | ReadResults | ReadItem | EndJob


@dataclass(frozen=True)
class ResultPage:
    """Some results of a job and the position behind them."""

    total: int
    start: int
    results: tuple[ItemResult, ...]
