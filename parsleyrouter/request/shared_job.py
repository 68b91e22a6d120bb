"""Batch jobs that are kept whole in a transactional key-value service: records and results."""

from enum import Enum

import msgspec

from parsleyrouter.ids import ItemId, ItemIndex, JobId

__all__ = [
    "ItemResult",
    "ItemState",
    "JobItem",
    "JobRecord",
    "JobState",
    "SavedItem",
    "SubmittedJob",
]


class JobState(Enum):
    """Say whether items of a job may still be run."""

    OPEN = "open"
    DONE = "done"
    ENDED = "ended"
    """Ended by its client before all items were done."""


class ItemState(Enum):
    """Say how an item ended."""

    COMPLETED = "completed"
    GIVEN_UP = "given_up"


class JobItem(msgspec.Struct, frozen=True):
    """One request of a job; its id is unique in the job."""

    item: ItemId
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0


class JobRecord(msgspec.Struct, frozen=True):
    """What is agreed on a job; times are Unix milliseconds."""

    job: JobId
    host: str
    total: int
    chunks: int
    """Pieces in which the items are kept."""
    submitted_ms: int
    due_ms: int
    kept_until_ms: int
    """When items may be given up."""
    state: JobState = JobState.OPEN


class ItemResult(msgspec.Struct, frozen=True):
    """One result; its position in the job never changes."""

    item: ItemId
    state: ItemState
    output: str


class SubmittedJob(msgspec.Struct, frozen=True):
    """A job as its client submitted it."""

    job: JobId
    host: str
    path: str
    items: list[JobItem]


class SavedItem(msgspec.Struct, frozen=True):
    """What an unfinished item has produced up to an event, for the next node to go on."""

    index: ItemIndex
    last_event: str
    pieces: list[str]
    failures: int = 0
