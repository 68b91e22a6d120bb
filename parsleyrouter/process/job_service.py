"""Accept, watch, read and cancel batch jobs at an entry."""

import time
from collections.abc import AsyncIterator, Iterable

from parsleyrouter.connection.key_value import KeyValue, KeyValueFailure
from parsleyrouter.connection.peer import PeerFailure
from parsleyrouter.ids import JobId, NodeId, PartIndex, TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.batch_limits import BatchLimits
from parsleyrouter.process.chunk_client import ChunkClient
from parsleyrouter.process.fleet_view import FleetView, Service
from parsleyrouter.process.job_input import JobInput
from parsleyrouter.process.job_keys import (
    job_id,
    job_key,
    part_key,
    shard_home,
    shard_of,
    team_prefix,
)
from parsleyrouter.process.job_port import JobSpec, JobState, JobStatus, ResultPage
from parsleyrouter.process.job_records import (
    JobPhase,
    JobRecord,
    PartRecord,
    decode_record,
)
from parsleyrouter.process.job_usage import OpenJobCounts
from parsleyrouter.process.job_writer import (
    JobWriter,
    PartWritten,
    gather_in_groups,
    platform_refusal,
)
from parsleyrouter.process.record_store import RecordCache, RecordStore, VersionedRecord
from parsleyrouter.process.result_reader import ResultReader
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.request.job_parser import JobParser
from parsleyrouter.thrift_gen.jobs.ttypes import CancelAnswer, CancelJob, NewParts, PartNotice
from parsleyrouter.version.schema import TeamSettings

__all__ = ["JobService"]

MAX_CONCURRENT_READS = 16
CANCEL_TIMEOUT_S = 1.0
MAX_CANCEL_TRIES = 3
CANCEL_RETRY_AFTER_S = 1.0
TOO_MANY_RETRY_AFTER_S = 30.0

CALLER_STATES = {
    JobPhase.ACCEPTING: JobState.RUNNING,
    JobPhase.RUNNING: JobState.RUNNING,
    JobPhase.COMPLETED: JobState.COMPLETED,
    JobPhase.CANCELLED: JobState.CANCELLED,
}


class JobService:
    """Implement the ``Jobs`` port with records in the key-value service and chunks on disk VMs."""

    def __init__(
        self,
        runtime: Runtime,
        kv: KeyValue,
        chunks: ChunkClient,
        view: FleetView,
        *,
        limits: BatchLimits | None = None,
    ) -> None:
        self.runtime = runtime
        self.kv = kv
        self.chunks = chunks
        self.view = view
        self.limits = limits or BatchLimits()
        self.records = RecordStore(runtime.loop, kv)
        self.writer = JobWriter(runtime.loop, self.records)
        self.open_jobs = OpenJobCounts(runtime.loop, kv)
        self.cache = RecordCache(self.records)
        self.reader = ResultReader(chunks, self.cache)

    async def submit(self, spec: JobSpec, body: AsyncIterator[bytes]) -> JobStatus | Refusal:
        """Accept a job whose items come as JSON lines in pieces; all or nothing."""
        team = self.view.settings().teams.get(spec.team, TeamSettings())
        job = job_id(spec.team, spec.idempotency_key)
        refusal = await self._check_open_limits(spec.team, job, team)
        if refusal is not None:
            return refusal
        now = time.time()
        expires_s = int(now + spec.deadline_in_s + team.retention_s)
        parser = JobParser(team.limits, self.limits.part_items)
        inputs = await JobInput(self.chunks, job, expires_s).store(parser, body)
        if isinstance(inputs, Refusal):
            return inputs
        record = JobRecord(
            job=job,
            team=spec.team,
            kind=spec.kind,
            digest=f"{spec.kind}:{parser.digest()}",
            items=parser.items,
            firsts=tuple(parser.firsts),
            created_s=now,
            deadline_s=now + spec.deadline_in_s,
            expires_s=expires_s,
            bytes=parser.size,
        )
        accepted = await self.writer.accept(record, inputs)
        if isinstance(accepted, Refusal):
            return accepted
        versioned, parts = accepted
        if parts:
            self.open_jobs.add(spec.team, versioned.record.items)
        self._notify_home_nodes(parts)
        return _status(versioned.record, [part.versioned.record for part in parts])

    async def status(self, team: TeamName, job: JobId) -> JobStatus | Refusal:
        """Return the status of a job."""
        found = await self._job(team, job)
        if isinstance(found, Refusal):
            return found
        parts = await self._open_parts(found)
        if isinstance(parts, Refusal):
            return parts
        return _status(found, parts)

    async def list(self, team: TeamName, after: str, limit: int) -> tuple[JobStatus, ...] | Refusal:
        """Return a team's jobs in order of their ids; items count once their part has finished."""
        prefix = team_prefix(team)
        page = await self.kv.scan(prefix, after=prefix + after if after else "", limit=limit)
        if isinstance(page, KeyValueFailure):
            return platform_refusal(page)
        jobs = [decode_record(JobRecord, entry.value) for entry in page.entries]
        return tuple(_status(job, ()) for job in jobs)

    async def cancel(self, team: TeamName, job: JobId) -> JobStatus | Refusal:
        """Cancel a job; return once every live owner has stopped its parts."""
        outcome = await self.writer.cancel(job_key(team, job))
        if outcome is None:
            return _not_found(job)
        if isinstance(outcome, Refusal):
            return outcome
        versioned, parts = outcome
        self._notify_home_nodes(parts)
        owners = {part.versioned.record.owner for part in parts}
        if not await self._stop_owners(job, owners):
            return Refusal(
                RefusalKind.PLATFORM_UNAVAILABLE,
                "the cancel is recorded, but a VM that runs the job gave no answer: cancel again",
                ExecutionStatus.UNKNOWN,
                CANCEL_RETRY_AFTER_S,
            )
        return _status(versioned.record, [part.versioned.record for part in parts])

    async def results(
        self, team: TeamName, job: JobId, offset: int, limit_bytes: int
    ) -> ResultPage | Refusal:
        """Return committed results, starting at an item offset."""
        found = await self._job(team, job)
        if isinstance(found, Refusal):
            return found
        return await self.reader.page(found, offset, limit_bytes)

    async def _check_open_limits(
        self, name: TeamName, job: JobId, team: TeamSettings
    ) -> Refusal | None:
        """Refuse a new job of a team at its limit of open work; counts may be some seconds old."""
        known = await self.records.read(job_key(name, job), JobRecord)
        if isinstance(known, KeyValueFailure):
            return platform_refusal(known)
        if known is not None:
            return None
        found = await self.open_jobs.of(name)
        if isinstance(found, KeyValueFailure):
            return platform_refusal(found)
        limits = team.limits
        if found.jobs < limits.batch_jobs_open and found.items < limits.batch_items_open:
            return None
        message = (
            f"{found.jobs} jobs with {found.items} items are open, of {limits.batch_jobs_open} and "
            f"{limits.batch_items_open} allowed: wait until some have ended"
        )
        return Refusal(
            RefusalKind.TOO_MANY, message, ExecutionStatus.NOT_RUN, TOO_MANY_RETRY_AFTER_S
        )

    async def _job(self, team: TeamName, job: JobId) -> JobRecord | Refusal:
        """Return a job's record; in an outage from the cache or the manifest among its chunks."""
        versioned = await self.cache.read(job_key(team, job), JobRecord)
        if isinstance(versioned, KeyValueFailure):
            return await self.reader.find_ended(team, job) or platform_refusal(versioned)
        return _not_found(job) if versioned is None else versioned.record

    async def _open_parts(self, job: JobRecord) -> tuple[PartRecord, ...] | Refusal:
        if job.manifest:
            return ()
        keys = [
            part_key(job.job, PartIndex(n)) for n in range(len(job.firsts)) if n not in job.parts
        ]
        found = await gather_in_groups(
            self.runtime.loop,
            MAX_CONCURRENT_READS,
            (self.cache.read(key, PartRecord) for key in keys),
        )
        failure = next((one for one in found if isinstance(one, KeyValueFailure)), None)
        if failure is not None:
            return platform_refusal(failure)
        return tuple(one.record for one in found if isinstance(one, VersionedRecord))

    def _notify_home_nodes(self, parts: Iterable[PartWritten]) -> None:
        nodes = self.view.nodes()
        notices: dict[NodeId, list[PartNotice]] = {}
        for part in parts:
            home = shard_home(shard_of(part.key, self.limits.shard_digits), nodes)
            if home is not None:
                notice = PartNotice(part.key, part.versioned.revision)
                notices.setdefault(home, []).append(notice)
        for info in nodes:
            if info.node in notices:
                message = NewParts(notices[info.node])
                self.runtime.peers.send_oneway(info.addresses[Service.BATCH], "parts.new", message)

    async def _stop_owners(self, job: JobId, owners: set[NodeId]) -> bool:
        live = [
            info.addresses[Service.BATCH]
            for info in self.view.nodes()
            if info.node in owners and Service.BATCH in info.addresses
        ]
        for _ in range(MAX_CANCEL_TRIES):
            calls = [
                self.runtime.loop.spawn(
                    self.runtime.peers.call(
                        address, "jobs.cancel", CancelJob(job), CancelAnswer, CANCEL_TIMEOUT_S
                    )
                )
                for address in live
            ]
            answers = await self.runtime.loop.gather(calls)
            live = [a for a, b in zip(live, answers, strict=True) if isinstance(b, PeerFailure)]
            if not live:
                return True
        return False


def _status(job: JobRecord, parts: Iterable[PartRecord]) -> JobStatus:
    tally = job.tally
    parts = [part for part in parts if part.part not in job.parts]
    for part in parts:
        tally += part.tally
    open_parts = job.phase in (JobPhase.ACCEPTING, JobPhase.RUNNING)
    overdue = open_parts and time.time() > job.deadline_s
    late = job.late or overdue or any(part.late for part in parts)
    return JobStatus(
        job=job.job,
        state=CALLER_STATES[job.phase],
        items=job.items,
        done=tally.items,
        failed=tally.error + tally.unknown,
        created_s=job.created_s,
        deadline_s=job.deadline_s,
        late=late,
        bytes_stored=job.bytes + tally.bytes,
    )


def _not_found(job: JobId) -> Refusal:
    message = (
        f"no job {job} of this team: check the id, results are deleted after the retention time"
    )
    return Refusal(RefusalKind.NOT_FOUND, message, ExecutionStatus.NOT_RUN)
