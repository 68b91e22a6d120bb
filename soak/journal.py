"""What callers and endpoints saw during a soak, for the checks."""

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["Attempt", "JobStory", "Journal", "Kind", "Run"]


class Kind(Enum):
    """Say how a route may be repeated."""

    STREAM = "chat"
    RESUMABLE = "tale"
    SAFE = "card"
    MOVED = "moved"
    """A safe route that versions of the routes move between two services."""

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self is not Kind.STREAM


@dataclass
class Attempt:
    """One request of a caller and what came of it."""

    attempt: str
    kind: Kind
    node: str
    sent_s: float
    status: int = 0
    proof: str = ""
    body: bytes = b""
    complete: bool = False
    ended_s: float = 0.0
    version: int = 0
    """Version of the routes acknowledged when it was sent."""
    version_s: float = 0.0
    """When that version was acknowledged."""


@dataclass
class Run:
    """One run of a request or item at an endpoint."""

    attempt: str
    endpoint: str
    service: str
    target: str
    body: bytes
    began_s: float
    resumed_after: int = 0


@dataclass
class JobStory:
    """One batch job as its client saw it."""

    job: str
    items: list[str]
    answers: list[int] = field(default_factory=list)
    accepted_s: float = 0.0
    refused_for_good: bool = False
    results: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    """Item, state and output by position."""
    problems: list[str] = field(default_factory=list)


@dataclass
class Journal:
    """Everything seen in one soak."""

    attempts: dict[str, Attempt] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    jobs: dict[str, JobStory] = field(default_factory=dict)
    ends: list[str] = field(default_factory=list)
    """Ends of processes that nothing explains."""
