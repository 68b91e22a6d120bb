"""The port through which callers' batch jobs are accepted, watched, read and cancelled."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from parsleyrouter.ids import JobId, KindName, TeamName
from parsleyrouter.outcome import Refusal

__all__ = ["JobSpec", "JobState", "JobStatus", "Jobs", "ResultPage"]


class JobState(Enum):
    """Say how far a batch job has come."""

    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class JobSpec:
    """A job as submitted; resends with the same key meet the same job."""

    team: TeamName
    idempotency_key: str
    kind: KindName
    deadline_in_s: float


@dataclass(frozen=True)
class JobStatus:
    """A job as callers see it; times are in seconds since 1970, items are counted once each."""

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
    """Committed results as JSON lines; ``next_offset`` continues, ``complete`` ends."""

    lines: bytes
    next_offset: int
    complete: bool


class Jobs(Protocol):
    """Accept, watch, read and cancel batch jobs of a team."""

    async def submit(self, spec: JobSpec, body: AsyncIterator[bytes]) -> JobStatus | Refusal:
        """Accept a job whose items come as JSON lines in pieces; all or nothing."""

    async def status(self, team: TeamName, job: JobId) -> JobStatus | Refusal:
        """Return one job."""

    async def list(self, team: TeamName, after: str, limit: int) -> tuple[JobStatus, ...] | Refusal:
        """Return a team's jobs in order of their ids."""

    async def cancel(self, team: TeamName, job: JobId) -> JobStatus | Refusal:
        """Stop a job; what is committed stays readable."""

    async def results(
        self, team: TeamName, job: JobId, offset: int, limit_bytes: int
    ) -> ResultPage | Refusal:
        """Return committed results from an item offset on."""
