"""Records and results of batch jobs that are stored in a transactional key-value service."""

from enum import Enum

import msgspec

from parsleyrouter.ids import CustomerName, ItemId, ItemIndex, JobId, RouteName

__all__ = [
    "ItemResult",
    "ItemState",
    "JobItem",
    "JobRecord",
    "JobState",
    "UNSHARED",
    "SavedItem",
    "SubmittedJob",
]


UNSHARED = -1
"""Marks jobs that were accepted while their route had no limit on waiting tokens."""


class JobState(Enum):
    """State of a job; its items are run only while it is open."""

    OPEN = "open"
    DONE = "done"
    ENDED = "ended"
    """Ended by its client before all items were done."""


class ItemState(Enum):
    """How an item ended."""

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
    """The record of a job; times are Unix milliseconds."""

    job: JobId
    host: str
    total: int
    chunks: int
    """Number of pieces in which the items are stored."""
    submitted_ms: int
    due_ms: int
    kept_until_ms: int
    """Time from which unfinished items are given up."""
    state: JobState = JobState.OPEN
    route: RouteName = RouteName("")
    """The route that took the job."""
    tokens: int = 0
    """Tokens of all items."""
    share: int = UNSHARED
    """Share of the route's limit on waiting tokens in which they count."""
    routes_version: int = 0
    """Version of the routes by which the job was accepted."""
    customer: CustomerName = CustomerName("")
    """The customer that submitted the job; empty if it has none."""
    anonymous: bool = False
    """Whether the route that took the job needs no key."""


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
    customer: CustomerName = CustomerName("")


class SavedItem(msgspec.Struct, frozen=True):
    """Output of an unfinished item up to an event, from which another node resumes it."""

    index: ItemIndex
    last_event: str
    pieces: list[str]
    failures: int = 0
