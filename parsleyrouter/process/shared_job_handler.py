"""Handle calls of clients about batch jobs; every front process can handle all of them."""

import logging
from collections.abc import Callable
from http import HTTPStatus

from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.connection.http import JSON_TYPE
from parsleyrouter.connection.http_limits import RequestHead
from parsleyrouter.connection.key_value import KeyValueFailure, WriteApplied
from parsleyrouter.ids import ItemId, JobId
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.caller_identity import CallerIdentity
from parsleyrouter.process.forwarder import send_refusal
from parsleyrouter.process.job_calls import refuse_caller, stored_call
from parsleyrouter.process.job_directory import JobDirectory
from parsleyrouter.process.job_lookup import JobLookup, UnknownJobReads
from parsleyrouter.process.job_metrics import JobMetrics
from parsleyrouter.process.job_reader import JobReader
from parsleyrouter.process.job_submission import JobSubmission
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.peer_results import PeerResultReader
from parsleyrouter.process.shared_job_store import SharedJobStore, VersionedJob
from parsleyrouter.process.stop_gate import StopGate
from parsleyrouter.request.job_call import (
    EndJob,
    JobCall,
    ReadItem,
    ReadResults,
    ResultPage,
    SubmitJob,
)
from parsleyrouter.request.shared_job import JobItem, JobRecord, JobState

__all__ = ["SharedJobHandler"]

MAX_WAIT_S = 1.0
"""Maximum wait of one read for a result."""

ASSUMED_CALL_S = 1.2
"""Duration of a call before any of its kind was observed: a full wait and a read."""

MAX_TRIES = 3
RETRY_PAUSE_S = 0.15
READ_RETRY_AFTER_S = 0.5

DecodeCall = Callable[[RequestHead, bytes, JobLookup], JobCall | Refusal | None]
EncodeResults = Callable[[ResultPage], bytes]

log = logging.getLogger(__name__)


class SharedJobHandler:
    """Accept, read and end jobs; all state is in the key-value service."""

    def __init__(
        self,
        loop: Loop,
        store: SharedJobStore,
        reader: JobReader,
        peers: PeerResultReader,
        job_directory: JobDirectory,
        submission: JobSubmission,
        lookup: JobLookup,
        identity: CallerIdentity,
        unknown_reads: UnknownJobReads,
        metrics: JobMetrics,
        gate: StopGate,
        decode_call: DecodeCall,
        encode_results: EncodeResults,
    ) -> None:
        self.loop = loop
        self.store = store
        self.reader = reader
        self.peers = peers
        self.job_directory = job_directory
        self.submission = submission
        self.lookup = lookup
        self.identity = identity
        self.unknown_reads = unknown_reads
        self.metrics = metrics
        self.gate = gate
        self.decode_call = decode_call
        self.encode_results = encode_results

    async def handle(self, exchange: CallerExchange) -> bool:
        """Handle a call about a job; return whether the request was one."""
        table = self.lookup.routes.table
        if table is None:
            return False
        caller = self.identity.job_caller(table, exchange.head)
        jobs = self.lookup.seen_by(caller)
        call = self.decode_call(exchange.head, exchange.body, jobs)
        if call is None:
            return False
        asked = type(call).__name__ if not isinstance(call, Refusal) else "unreadable"
        refusal = refuse_caller(call, jobs)
        if refusal is not None:
            outcome: Refusal | tuple[int, bytes] = refusal
        else:
            assert not isinstance(call, Refusal)
            stopping = self.gate.refuse_call(asked, ASSUMED_CALL_S)
            outcome = stopping or await self._answer_timed(
                asked, stored_call(call, jobs, self.identity.names), jobs
            )
        if isinstance(outcome, Refusal):
            send_refusal(exchange, outcome)
            status, reason = outcome.status, outcome.message
        else:
            status, reason = outcome[0], ""
            exchange.reply(status, [(b"Content-Type", JSON_TYPE.encode())], outcome[1])
        self.metrics.calls.labels(asked, str(status)).inc()
        if reason or not isinstance(call, ReadResults):
            self._log(exchange, call, status, reason, jobs)
        return True

    async def _answer_timed(
        self, asked: str, call: JobCall, jobs: JobLookup
    ) -> Refusal | tuple[int, bytes]:
        began_s = self.gate.start(asked)
        answered = False
        try:
            outcome = await self._answer(call, jobs)
            answered = not isinstance(outcome, Refusal)
        finally:
            self.gate.end(asked, began_s, answered=answered)
        return outcome

    async def _answer(self, call: JobCall, jobs: JobLookup) -> Refusal | tuple[int, bytes]:
        if isinstance(call, SubmitJob):
            return await self.submission.submit(call)
        if isinstance(call, ReadResults):
            return await self._read(call, jobs)
        if isinstance(call, ReadItem):
            return await self._read_item(call, jobs)
        return await self._end(call, jobs)

    async def _read(self, call: ReadResults, jobs: JobLookup) -> Refusal | tuple[int, bytes]:
        record = await self._record(call.job, jobs)
        if isinstance(record, Refusal):
            return record
        page = await self.peers.read(record, call.start, min(call.wait_s, MAX_WAIT_S))
        if isinstance(page, KeyValueFailure):
            return _unavailable(page)
        return HTTPStatus.OK, self.encode_results(page)

    async def _read_item(self, call: ReadItem, jobs: JobLookup) -> Refusal | tuple[int, bytes]:
        record = await self._record(call.job, jobs)
        if isinstance(record, Refusal):
            return record
        items = await self.reader.items(record)
        if isinstance(items, KeyValueFailure):
            return _unavailable(items)
        body = _body_of(items, call.item)
        if body is None:
            return Refusal(
                RefusalKind.NOT_FOUND, "the job has no such item", ExecutionStatus.NOT_RUN
            )
        return HTTPStatus.OK, body

    async def _end(self, call: EndJob, jobs: JobLookup) -> Refusal | tuple[int, bytes]:
        for _ in range(MAX_TRIES):
            versioned = await self._read_record(call.job, jobs)
            if isinstance(versioned, Refusal):
                return versioned
            if isinstance(versioned, VersionedJob):
                self.job_directory.put(versioned)
                if versioned.record.state is not JobState.OPEN:
                    return HTTPStatus.OK, b"{}"
                if isinstance(await self.store.close(versioned, JobState.ENDED), WriteApplied):
                    return HTTPStatus.OK, b"{}"
            await self.loop.sleep(RETRY_PAUSE_S)
        message = "whether the job has ended is not known: ask again"
        return Refusal(RefusalKind.STORAGE_UNAVAILABLE, message, ExecutionStatus.UNKNOWN)

    async def _record(self, job: JobId, jobs: JobLookup) -> JobRecord | Refusal:
        known = jobs.usable(job)
        if known is not None:
            return known
        versioned = await self._read_record(job, jobs)
        if isinstance(versioned, Refusal):
            return versioned
        if isinstance(versioned, KeyValueFailure):
            return _unavailable(versioned)
        self.job_directory.put(versioned)
        return versioned.record

    async def _read_record(
        self, job: JobId, jobs: JobLookup
    ) -> VersionedJob | KeyValueFailure | Refusal:
        """Read the record of a job; refuse if there is none, or after too many unknown ids.

        A job that the caller may not use costs and answers the same as none.
        """
        view = self.job_directory.jobs.get(job)
        if view is None or (view.versioned is not None and jobs.usable(job) is None):
            wait_s = self.unknown_reads.wait_s(self.loop.now())
            if wait_s > 0:
                message = "too many unknown jobs are asked for: ask again"
                return Refusal(
                    RefusalKind.PLATFORM_UNAVAILABLE, message, ExecutionStatus.NOT_RUN, wait_s
                )
        versioned = await self.store.read(job)
        hidden = isinstance(versioned, VersionedJob) and not jobs.may_use(versioned.record)
        if versioned is None or hidden:
            none = Refusal(RefusalKind.NOT_FOUND, "no such job", ExecutionStatus.NOT_RUN)
            return jobs.caller.refusal or none
        return versioned

    def _log(
        self, exchange: CallerExchange, call: object, status: int, reason: str, jobs: JobLookup
    ) -> None:
        job = getattr(call, "job", "") or getattr(getattr(call, "submitted", None), "job", "")
        log.info(
            "job call answered",
            extra={
                "request": job,
                "asked": type(call).__name__,
                "status": int(status),
                "reason": reason,
                "took_s": round(self.loop.now() - exchange.received_s, 3),
                **({"customer": jobs.caller.name} if jobs.caller.name else {}),
                **exchange.stop_fields(),
            },
        )


def _body_of(items: list[JobItem], item: ItemId) -> bytes | None:
    return next((one.body for one in items if one.item == item), None)


def _unavailable(failure: KeyValueFailure) -> Refusal:
    message = f"the job cannot be read now: {failure.message}"
    return Refusal(
        RefusalKind.PLATFORM_UNAVAILABLE, message, ExecutionStatus.NOT_RUN, READ_RETRY_AFTER_S
    )
