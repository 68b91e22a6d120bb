"""Handle calls of clients about batch jobs; every front process can handle all of them."""

import logging
import time
from collections.abc import Callable
from http import HTTPStatus

from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.connection.http import JSON_TYPE
from parsleyrouter.connection.http_limits import RequestHead
from parsleyrouter.connection.key_value import (
    KeyValueFailure,
    LeaseLost,
    TransactionConflict,
    WriteApplied,
)
from parsleyrouter.ids import ItemId, JobId
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.process.forwarder import send_refusal
from parsleyrouter.process.job_directory import JobDirectory
from parsleyrouter.process.job_metrics import JobMetrics
from parsleyrouter.process.job_owner import JobOwner
from parsleyrouter.process.job_reader import JobReader
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry
from parsleyrouter.process.peer_results import PeerResultReader
from parsleyrouter.process.shared_job_store import SharedJobStore, VersionedJob
from parsleyrouter.request.job_call import (
    EndJob,
    JobCall,
    ReadItem,
    ReadResults,
    ResultPage,
    SubmitJob,
)
from parsleyrouter.request.shared_job import JobItem, JobRecord, JobState
from parsleyrouter.request.submission import RETRY_ELSEWHERE_S
from parsleyrouter.version.route_table import Route, RouteTable

__all__ = ["SharedJobHandler"]

MAX_WAIT_S = 1.0
"""Maximum wait of one read for a result."""

MAX_TRIES = 3
RETRY_PAUSE_S = 0.15
READ_RETRY_AFTER_S = 0.5

DecodeCall = Callable[[RequestHead, bytes, RouteTable], JobCall | Refusal | None]
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
        owner: JobOwner,
        registry: NodeRegistry,
        routes: ActiveRoutes,
        metrics: JobMetrics,
        decode_call: DecodeCall,
        encode_results: EncodeResults,
        submission_retry_s: Callable[[], float | None],
    ) -> None:
        self.loop = loop
        self.store = store
        self.reader = reader
        self.peers = peers
        self.job_directory = job_directory
        self.owner = owner
        self.registry = registry
        self.routes = routes
        self.metrics = metrics
        self.decode_call = decode_call
        self.encode_results = encode_results
        self.submission_retry_s = submission_retry_s

    async def handle(self, exchange: CallerExchange) -> bool:
        """Handle a call about a job; return whether the request was one."""
        if self.routes.table is None:
            return False
        call = self.decode_call(exchange.head, exchange.body, self.routes.table)
        if call is None:
            return False
        if isinstance(call, Refusal):
            outcome: Refusal | tuple[int, bytes] = call
        elif isinstance(call, SubmitJob):
            outcome = await self._submit(call)
        elif isinstance(call, ReadResults):
            outcome = await self._read(call)
        elif isinstance(call, ReadItem):
            outcome = await self._read_item(call)
        else:
            outcome = await self._end(call)
        asked = type(call).__name__ if not isinstance(call, Refusal) else "unreadable"
        if isinstance(outcome, Refusal):
            send_refusal(exchange, outcome)
            status, reason = outcome.status, outcome.message
        else:
            status, reason = outcome[0], ""
            exchange.reply(status, [(b"Content-Type", JSON_TYPE.encode())], outcome[1])
        self.metrics.calls.labels(asked, str(status)).inc()
        if reason or not isinstance(call, ReadResults):
            self._log(exchange, call, status, reason)
        return True

    async def _submit(self, call: SubmitJob) -> Refusal | tuple[int, bytes]:
        job = call.submitted
        table = self.routes.table
        route = table.find(job.host, job.path) if table is not None else None
        if route is None:
            return Refusal(RefusalKind.NOT_FOUND, "no route takes the job", ExecutionStatus.NOT_RUN)
        retry_s = self.submission_retry_s()
        if retry_s is not None:
            message = "this node gets no answers from the key-value service: submit elsewhere"
            return Refusal(
                RefusalKind.PLATFORM_UNAVAILABLE, message, ExecutionStatus.NOT_RUN, retry_s
            )
        record = _new_record(call, route)
        lease = 0 if self.registry.leaving else self.registry.lease
        own = self.registry.own.node
        done = await self.store.create(record, job.items, own, lease)
        if isinstance(done, LeaseLost):
            lease = 0
            done = await self.store.create(record, job.items, own, lease)
        if isinstance(done, VersionedJob):
            if lease:
                self.owner.start_created(done, job.items)
            return HTTPStatus.ACCEPTED, b"{}"
        if isinstance(done, TransactionConflict):
            return HTTPStatus.ACCEPTED, b"{}"
        if isinstance(done, KeyValueFailure) and not done.maybe_applied:
            message = f"the job cannot be kept now: {done.message}"
            retry_s = self.submission_retry_s() or RETRY_ELSEWHERE_S
            return Refusal(
                RefusalKind.PLATFORM_UNAVAILABLE, message, ExecutionStatus.NOT_RUN, retry_s
            )
        for _ in range(MAX_TRIES):
            await self.loop.sleep(RETRY_PAUSE_S)
            versioned = await self.store.read(job.job)
            if isinstance(versioned, VersionedJob):
                return HTTPStatus.ACCEPTED, b"{}"
        message = "whether the job is kept is not known: submit it again"
        return Refusal(RefusalKind.STORAGE_UNAVAILABLE, message, ExecutionStatus.UNKNOWN)

    async def _read(self, call: ReadResults) -> Refusal | tuple[int, bytes]:
        record = await self._record(call.job)
        if isinstance(record, Refusal):
            return record
        page = await self.peers.read(record, call.start, min(call.wait_s, MAX_WAIT_S))
        if isinstance(page, KeyValueFailure):
            return _unavailable(page)
        return HTTPStatus.OK, self.encode_results(page)

    async def _read_item(self, call: ReadItem) -> Refusal | tuple[int, bytes]:
        record = await self._record(call.job)
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

    async def _end(self, call: EndJob) -> Refusal | tuple[int, bytes]:
        for _ in range(MAX_TRIES):
            versioned = await self.store.read(call.job)
            if versioned is None:
                return _unknown_job()
            if isinstance(versioned, VersionedJob):
                self.job_directory.put(versioned)
                if versioned.record.state is not JobState.OPEN:
                    return HTTPStatus.OK, b"{}"
                if isinstance(await self.store.close(versioned, JobState.ENDED), WriteApplied):
                    return HTTPStatus.OK, b"{}"
            await self.loop.sleep(RETRY_PAUSE_S)
        message = "whether the job has ended is not known: ask again"
        return Refusal(RefusalKind.STORAGE_UNAVAILABLE, message, ExecutionStatus.UNKNOWN)

    async def _record(self, job: JobId) -> JobRecord | Refusal:
        view = self.job_directory.jobs.get(job)
        if view is not None and view.versioned is not None:
            return view.versioned.record
        versioned = await self.store.read(job)
        if versioned is None:
            return _unknown_job()
        if isinstance(versioned, KeyValueFailure):
            return _unavailable(versioned)
        self.job_directory.put(versioned)
        return versioned.record

    def _log(self, exchange: CallerExchange, call: object, status: int, reason: str) -> None:
        job = getattr(call, "job", "") or getattr(getattr(call, "submitted", None), "job", "")
        log.info(
            "job call answered",
            extra={
                "request": job,
                "asked": type(call).__name__,
                "status": int(status),
                "reason": reason,
                "took_s": round(self.loop.now() - exchange.received_s, 3),
            },
        )


def _new_record(call: SubmitJob, route: Route) -> JobRecord:
    now_ms = int(time.time() * 1000)
    return JobRecord(
        job=call.submitted.job,
        host=call.submitted.host,
        total=len(call.submitted.items),
        chunks=0,
        submitted_ms=now_ms,
        due_ms=now_ms + int(route.job_target_s * 1000),
        kept_until_ms=now_ms + int(route.job_retention_s * 1000),
    )


def _body_of(items: list[JobItem], item: ItemId) -> bytes | None:
    return next((one.body for one in items if one.item == item), None)


def _unknown_job() -> Refusal:
    return Refusal(RefusalKind.NOT_FOUND, "no such job", ExecutionStatus.NOT_RUN)


def _unavailable(failure: KeyValueFailure) -> Refusal:
    message = f"the job cannot be read now: {failure.message}"
    return Refusal(
        RefusalKind.PLATFORM_UNAVAILABLE, message, ExecutionStatus.NOT_RUN, READ_RETRY_AFTER_S
    )
