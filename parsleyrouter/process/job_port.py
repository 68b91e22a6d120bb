"""The port that accepts, watches, reads and cancels batch jobs for callers."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from parsleyrouter.ids import JobId, KindName, TeamName
from parsleyrouter.outcome import Refusal

__all__ = ["JobSpec", "JobState", "JobStatus", "Jobs", "ResultPage"]


class JobState(Enum):
    """State of a batch job as callers see it."""

    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class JobSpec:
    """A job as submitted; a resend with the same key refers to the same job."""

    team: TeamName
    idempotency_key: str
    kind: KindName
    deadline_in_s: float


@dataclass(frozen=True)
class JobStatus:
    """Status of a job as callers see it; times are in seconds since 1970, each item counts once."""

    job: JobId
    state: JobState
    items: int
    done: int
    failed: int
    created_s: float
    deadline_s: float
    late: bool = False
    bytes_stored: int = 0


@dataclass(frozen=True)
class ResultPage:
    """Committed results as JSON lines; continue at ``next_offset`` until ``complete``."""

    lines: bytes
    next_offset: int
    complete: bool


class Jobs(Protocol):
    """Accept, watch, read and cancel batch jobs of a team."""

    async def submit(self, spec: JobSpec, body: AsyncIterator[bytes]) -> JobStatus | Refusal:
        """Accept a job whose items come as JSON lines in pieces; all or nothing."""

    async def status(self, team: TeamName, job: JobId) -> JobStatus | Refusal:
        """Return the status of a job."""

    async def list(self, team: TeamName, after: str, limit: int) -> tuple[JobStatus, ...] | Refusal:
        """Return a team's jobs in order of their ids."""

    async def cancel(self, team: TeamName, job: JobId) -> JobStatus | Refusal:
        """Cancel a job; committed results stay readable."""

    async def results(
        self, team: TeamName, job: JobId, offset: int, limit_bytes: int
    ) -> ResultPage | Refusal:
        """Return committed results, starting at an item offset."""
