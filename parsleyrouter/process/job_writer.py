"""Accept and cancel batch jobs by writing their records in an order that survives a crash."""

from collections.abc import Coroutine, Iterable
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from parsleyrouter.connection.key_value import ABSENT, KeyValueFailure
from parsleyrouter.ids import ChunkName, PartIndex
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.job_keys import job_key, part_key
from parsleyrouter.process.job_records import JobPhase, JobRecord, PartPhase, PartRecord
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.record_store import RecordConflict, RecordStore, VersionedRecord

__all__ = ["JobWriter", "PartWritten", "gather_in_groups", "part_records", "platform_refusal"]

MAX_CONCURRENT_WRITES = 8
RETRY_AFTER_S = 2.0

T = TypeVar("T")


@dataclass(frozen=True)
class PartWritten:
    """A part record after it was written."""

    key: str
    versioned: VersionedRecord[PartRecord]


async def gather_in_groups(
    loop: Loop, size: int, coroutines: Iterable[Coroutine[Any, Any, T]]
) -> list[T]:
    """Run coroutines, at most ``size`` at once, and return their values in order."""
    waiting = list(coroutines)
    values: list[T] = []
    for start in range(0, len(waiting), size):
        tasks = [loop.spawn(coroutine) for coroutine in waiting[start : start + size]]
        values += await loop.gather(tasks)
    return values


def platform_refusal(
    failure: KeyValueFailure, ran: ExecutionStatus = ExecutionStatus.NOT_RUN
) -> Refusal:
    """Return the refusal for a key-value service that gave no answer."""
    message = f"the key-value service gave no answer ({failure.message}): send this again later"
    return Refusal(RefusalKind.PLATFORM_UNAVAILABLE, message, ran, RETRY_AFTER_S)


def conflict_refusal() -> Refusal:
    """Return the refusal for an idempotency key that was used with other content."""
    message = "this idempotency key names a job with other content: use a new key for a new job"
    return Refusal(RefusalKind.CONFLICT, message, ExecutionStatus.NOT_RUN)


def part_records(job: JobRecord, inputs: Iterable[ChunkName]) -> list[PartRecord]:
    """Return the part records of a job that is being accepted."""
    ends = (*job.firsts[1:], job.items)
    return [
        PartRecord(
            job=job.job,
            team=job.team,
            kind=job.kind,
            part=PartIndex(number),
            first=first,
            items=end - first,
            input=name,
            deadline_s=job.deadline_s,
            expires_s=job.expires_s,
        )
        for number, (first, end, name) in enumerate(zip(job.firsts, ends, inputs, strict=True))
    ]


class JobWriter:
    """Write the records of jobs and their parts."""

    def __init__(self, loop: Loop, records: RecordStore) -> None:
        self.loop = loop
        self.records = records

    async def accept(
        self, job: JobRecord, inputs: list[ChunkName]
    ) -> tuple[VersionedRecord[JobRecord], list[PartWritten]] | Refusal:
        """Create a job and its parts; the last write makes the parts runnable."""
        key = job_key(job.team, job.job)
        outcome = await self.records.write(key, job, ABSENT)
        if isinstance(outcome, KeyValueFailure):
            return platform_refusal(outcome)
        if isinstance(outcome, RecordConflict):
            if outcome.current is None:
                return conflict_refusal()
            outcome = outcome.current
        if outcome.record.digest != job.digest:
            return conflict_refusal()
        if outcome.record.phase is not JobPhase.ACCEPTING:
            return outcome, []
        return await self._accept_parts(key, outcome, inputs)

    async def _accept_parts(
        self, key: str, versioned: VersionedRecord[JobRecord], inputs: list[ChunkName]
    ) -> tuple[VersionedRecord[JobRecord], list[PartWritten]] | Refusal:
        parts = part_records(versioned.record, inputs)
        written = await gather_in_groups(
            self.loop, MAX_CONCURRENT_WRITES, (self._create(part) for part in parts)
        )
        failure = next((one for one in written if isinstance(one, KeyValueFailure)), None)
        if failure is not None:
            return platform_refusal(failure)
        running = replace(versioned.record, phase=JobPhase.RUNNING)
        outcome = await self.records.write(key, running, versioned.revision)
        if isinstance(outcome, KeyValueFailure):
            ran = ExecutionStatus.UNKNOWN if outcome.maybe_applied else ExecutionStatus.NOT_RUN
            return platform_refusal(outcome, ran)
        if isinstance(outcome, RecordConflict):
            if outcome.current is None:
                return conflict_refusal()
            return outcome.current, []
        return outcome, [one for one in written if isinstance(one, PartWritten)]

    async def _create(self, part: PartRecord) -> PartWritten | None | KeyValueFailure:
        key = part_key(part.job, part.part)
        outcome = await self.records.write(key, part, ABSENT)
        if isinstance(outcome, VersionedRecord):
            return PartWritten(key, outcome)
        if isinstance(outcome, RecordConflict):
            return None if outcome.current is None else PartWritten(key, outcome.current)
        return outcome

    async def cancel(
        self, key: str
    ) -> tuple[VersionedRecord[JobRecord], list[PartWritten]] | None | Refusal:
        """Cancel a job, then each of its parts; return the parts with their last owners."""
        versioned = await self.records.update(key, JobRecord, _cancel_job)
        if versioned is None:
            return None
        if isinstance(versioned, KeyValueFailure):
            return platform_refusal(versioned, ExecutionStatus.UNKNOWN)
        job = versioned.record
        if job.phase is not JobPhase.CANCELLED or job.manifest:
            return versioned, []
        open_parts = [PartIndex(n) for n in range(len(job.firsts)) if n not in job.parts]
        cancelled = await gather_in_groups(
            self.loop, MAX_CONCURRENT_WRITES, (self._cancel_part(job, part) for part in open_parts)
        )
        failure = next((one for one in cancelled if isinstance(one, KeyValueFailure)), None)
        if failure is not None:
            return platform_refusal(failure, ExecutionStatus.UNKNOWN)
        return versioned, [one for one in cancelled if isinstance(one, PartWritten)]

    async def _cancel_part(
        self, job: JobRecord, part: PartIndex
    ) -> PartWritten | None | KeyValueFailure:
        key = part_key(job.job, part)
        versioned = await self.records.update(key, PartRecord, _cancel_part)
        if versioned is None or isinstance(versioned, KeyValueFailure):
            return versioned
        return PartWritten(key, versioned)


def _cancel_job(job: JobRecord) -> JobRecord | None:
    if job.phase in (JobPhase.COMPLETED, JobPhase.CANCELLED):
        return None
    return replace(job, phase=JobPhase.CANCELLED)


def _cancel_part(part: PartRecord) -> PartRecord | None:
    if part.phase in (PartPhase.DONE, PartPhase.CANCELLED):
        return None
    return replace(part, phase=PartPhase.CANCELLED)
