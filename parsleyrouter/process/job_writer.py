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
from parsleyrouter.process.record_store import Beaten, Held, RecordWrites

__all__ = ["JobWriter", "PartWritten", "in_groups", "new_parts", "platform_refusal"]

WRITES_AT_ONCE = 8
RETRY_AFTER_S = 2.0

T = TypeVar("T")


@dataclass(frozen=True)
class PartWritten:
    """A part record as it stands after it was written."""

    key: str
    held: Held[PartRecord]


async def in_groups(loop: Loop, size: int, coroutines: Iterable[Coroutine[Any, Any, T]]) -> list[T]:
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
    """Explain that the key-value service gave no answer."""
    message = f"the key-value service gave no answer ({failure.message}): send this again later"
    return Refusal(RefusalKind.PLATFORM_UNAVAILABLE, message, ran, RETRY_AFTER_S)


def conflict_refusal() -> Refusal:
    """Explain that an idempotency key was used before."""
    message = "this idempotency key names a job with other content: use a new key for a new job"
    return Refusal(RefusalKind.CONFLICT, message, ExecutionStatus.NOT_RUN)


def new_parts(job: JobRecord, inputs: Iterable[ChunkName]) -> list[PartRecord]:
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
    """Write the records of jobs."""

    def __init__(self, loop: Loop, records: RecordWrites) -> None:
        self.loop = loop
        self.records = records

    async def accept(
        self, job: JobRecord, inputs: list[ChunkName]
    ) -> tuple[Held[JobRecord], list[PartWritten]] | Refusal:
        """Create a job and its parts; the last write makes the parts runnable."""
        key = job_key(job.team, job.job)
        outcome = await self.records.write(key, job, ABSENT)
        if isinstance(outcome, KeyValueFailure):
            return platform_refusal(outcome)
        if isinstance(outcome, Beaten):
            if outcome.current is None:
                return conflict_refusal()
            outcome = outcome.current
        if outcome.record.digest != job.digest:
            return conflict_refusal()
        if outcome.record.phase is not JobPhase.ACCEPTING:
            return outcome, []
        return await self._accept_parts(key, outcome, inputs)

    async def _accept_parts(
        self, key: str, held: Held[JobRecord], inputs: list[ChunkName]
    ) -> tuple[Held[JobRecord], list[PartWritten]] | Refusal:
        parts = new_parts(held.record, inputs)
        written = await in_groups(self.loop, WRITES_AT_ONCE, (self._create(part) for part in parts))
        failure = next((one for one in written if isinstance(one, KeyValueFailure)), None)
        if failure is not None:
            return platform_refusal(failure)
        running = replace(held.record, phase=JobPhase.RUNNING)
        outcome = await self.records.write(key, running, held.revision)
        if isinstance(outcome, KeyValueFailure):
            ran = ExecutionStatus.UNKNOWN if outcome.maybe_applied else ExecutionStatus.NOT_RUN
            return platform_refusal(outcome, ran)
        if isinstance(outcome, Beaten):
            if outcome.current is None:
                return conflict_refusal()
            return outcome.current, []
        return outcome, [one for one in written if isinstance(one, PartWritten)]

    async def _create(self, part: PartRecord) -> PartWritten | None | KeyValueFailure:
        key = part_key(part.job, part.part)
        outcome = await self.records.write(key, part, ABSENT)
        if isinstance(outcome, Held):
            return PartWritten(key, outcome)
        if isinstance(outcome, Beaten):
            return None if outcome.current is None else PartWritten(key, outcome.current)
        return outcome

    async def cancel(self, key: str) -> tuple[Held[JobRecord], list[PartWritten]] | None | Refusal:
        """Cancel a job, then each of its parts; return the parts as they stood before."""
        held = await self.records.change(key, JobRecord, _cancel_job)
        if held is None:
            return None
        if isinstance(held, KeyValueFailure):
            return platform_refusal(held, ExecutionStatus.UNKNOWN)
        job = held.record
        if job.phase is not JobPhase.CANCELLED or job.manifest:
            return held, []
        open_parts = [PartIndex(n) for n in range(len(job.firsts)) if n not in job.parts]
        cancelled = await in_groups(
            self.loop, WRITES_AT_ONCE, (self._cancel_part(job, part) for part in open_parts)
        )
        failure = next((one for one in cancelled if isinstance(one, KeyValueFailure)), None)
        if failure is not None:
            return platform_refusal(failure, ExecutionStatus.UNKNOWN)
        return held, [one for one in cancelled if isinstance(one, PartWritten)]

    async def _cancel_part(
        self, job: JobRecord, part: PartIndex
    ) -> PartWritten | None | KeyValueFailure:
        key = part_key(job.job, part)
        held = await self.records.change(key, PartRecord, _cancel_part)
        if held is None or isinstance(held, KeyValueFailure):
            return held
        return PartWritten(key, held)


def _cancel_job(job: JobRecord) -> JobRecord | None:
    if job.phase in (JobPhase.COMPLETED, JobPhase.CANCELLED):
        return None
    return replace(job, phase=JobPhase.CANCELLED)


def _cancel_part(part: PartRecord) -> PartRecord | None:
    if part.phase in (PartPhase.DONE, PartPhase.CANCELLED):
        return None
    return replace(part, phase=PartPhase.CANCELLED)
