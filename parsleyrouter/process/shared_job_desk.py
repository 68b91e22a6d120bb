"""Answer clients' calls about batch jobs at any node."""

import logging
import time
from collections import OrderedDict
from collections.abc import Callable
from http import HTTPStatus

from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.connection.http import JSON_TYPE
from parsleyrouter.connection.http_limits import RequestHead
from parsleyrouter.connection.key_value import (
    ChangePage,
    KeyValueFailure,
    LeaseLost,
    Swapped,
    TransactionalKeyValue,
    TransactionConflict,
)
from parsleyrouter.ids import ItemId, JobId, Revision
from parsleyrouter.outcome import Ran, Refusal, RefusalKind
from parsleyrouter.process.forwarder import refuse
from parsleyrouter.process.job_board import JobBoard
from parsleyrouter.process.job_metrics import JobMetrics
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry
from parsleyrouter.process.routes_in_force import RoutesInForce
from parsleyrouter.process.shared_job_store import JobKeys, KeptJob, SharedJobStore, by_position
from parsleyrouter.request.job_call import (
    EndJob,
    JobCall,
    ReadItem,
    ReadResults,
    ResultPage,
    SubmitJob,
)
from parsleyrouter.request.shared_job import ItemResult, JobItem, JobRecord, JobState
from parsleyrouter.version.route_table import Route, RouteTable

__all__ = ["SharedJobDesk"]

CACHE_BYTES = 8 * 1024 * 1024
"""Results and items of jobs kept in memory for readers."""

PAGE_BYTES = 700_000
"""Largest output of one page of results; clients take 1 MB."""

LONGEST_WAIT_S = 1.0
"""How long a reader may wait for a result."""

TRIES = 3
RETRY_S = 0.15
COME_BACK_S = 0.5

DecodeCall = Callable[[RequestHead, bytes, RouteTable], JobCall | Refusal | None]
EncodeResults = Callable[[ResultPage], bytes]

log = logging.getLogger(__name__)


class _Kept:
    """What readers of one job have been shown so far; results never change."""

    def __init__(self) -> None:
        self.results: list[ItemResult] = []
        self.revision: Revision | None = None
        self.items: list[JobItem] | None = None
        self.size = 0


class SharedJobDesk:
    """Accept, read and end jobs; all state is in the key-value service."""

    def __init__(
        self,
        loop: Loop,
        key_value: TransactionalKeyValue,
        store: SharedJobStore,
        board: JobBoard,
        registry: NodeRegistry,
        routes: RoutesInForce,
        metrics: JobMetrics,
        decode_call: DecodeCall,
        encode_results: EncodeResults,
    ) -> None:
        self.loop = loop
        self.key_value = key_value
        self.store = store
        self.board = board
        self.registry = registry
        self.routes = routes
        self.metrics = metrics
        self.decode_call = decode_call
        self.encode_results = encode_results
        self.kept: OrderedDict[JobId, _Kept] = OrderedDict()

    async def answer(self, exchange: CallerExchange) -> bool:
        """Answer a call about a job; return whether the request was one."""
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
            refuse(exchange, outcome)
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
            return Refusal(RefusalKind.NOT_FOUND, "no route takes the job", Ran.NOT_RUN)
        record = _new_record(call, route)
        lease = 0 if self.registry.leaving else self.registry.lease
        own = self.registry.own.node
        done = await self.store.create(record, job.items, own, lease)
        if isinstance(done, LeaseLost):
            done = await self.store.create(record, job.items, own, 0)
        if isinstance(done, Swapped | TransactionConflict):
            return HTTPStatus.ACCEPTED, b"{}"
        if isinstance(done, KeyValueFailure) and not done.maybe_applied:
            message = f"the job cannot be kept now: {done.message}"
            return Refusal(RefusalKind.PLATFORM_UNAVAILABLE, message, Ran.NOT_RUN, COME_BACK_S)
        for _ in range(TRIES):
            await self.loop.sleep(RETRY_S)
            kept = await self.store.read(job.job)
            if isinstance(kept, KeptJob):
                return HTTPStatus.ACCEPTED, b"{}"
        message = "whether the job is kept is not known: submit it again"
        return Refusal(RefusalKind.STORAGE_UNAVAILABLE, message, Ran.UNKNOWN)

    async def _read(self, call: ReadResults) -> Refusal | tuple[int, bytes]:
        record = await self._record(call.job)
        if isinstance(record, Refusal):
            return record
        until_s = self.loop.now() + min(call.wait_s, LONGEST_WAIT_S)
        kept = self._keep(call.job)
        while True:
            page = self._page(record, kept, call.start)
            left_s = until_s - self.loop.now()
            if page.results or len(kept.results) >= record.total:
                return HTTPStatus.OK, self.encode_results(page)
            failure = await self._read_on(call.job, kept, max(0.0, left_s))
            if failure is not None:
                return _unavailable(failure)
            if left_s <= 0 or (kept.results and len(kept.results) > call.start):
                return HTTPStatus.OK, self.encode_results(self._page(record, kept, call.start))

    async def _read_on(self, job: JobId, kept: _Kept, wait_s: float) -> KeyValueFailure | None:
        """Read results behind those known, waiting for the first one."""
        if kept.revision is not None and wait_s > 0:
            prefix = JobKeys(job).results
            changes = await self.key_value.changes(prefix, kept.revision, wait_s)
            if isinstance(changes, KeyValueFailure):
                return changes
            if isinstance(changes, ChangePage):
                entries = [one.entry for one in changes.changes if one.entry is not None]
                self._append(kept, by_position(entries))
                seen = [one.revision for one in changes.changes]
                kept.revision = max([kept.revision, *seen])
                return None
        return await self._scan_on(job, kept)

    async def _scan_on(self, job: JobId, kept: _Kept) -> KeyValueFailure | None:
        """Read the results behind those known, as they are now."""
        keys = JobKeys(job)
        after = keys.result(len(kept.results) - 1) if kept.results else ""
        page = await self.key_value.scan(keys.results, after=after)
        if isinstance(page, KeyValueFailure):
            return page
        self._append(kept, by_position(page.entries))
        kept.revision = None if page.more else page.revision
        return None

    def _append(self, kept: _Kept, results: dict[int, ItemResult]) -> None:
        while (result := results.get(len(kept.results))) is not None:
            kept.results.append(result)
            kept.size += len(result.output)

    def _page(self, record: JobRecord, kept: _Kept, start: int) -> ResultPage:
        results: list[ItemResult] = []
        size = 0
        for result in kept.results[start:]:
            size += len(result.output)
            if results and size > PAGE_BYTES:
                break
            results.append(result)
        return ResultPage(record.total, start, tuple(results))

    async def _read_item(self, call: ReadItem) -> Refusal | tuple[int, bytes]:
        record = await self._record(call.job)
        if isinstance(record, Refusal):
            return record
        items = await self.items(record)
        if isinstance(items, KeyValueFailure):
            return _unavailable(items)
        body = _body_of(items, call.item)
        if body is None:
            return Refusal(RefusalKind.NOT_FOUND, "the job has no such item", Ran.NOT_RUN)
        return HTTPStatus.OK, body

    async def items(self, record: JobRecord) -> list[JobItem] | KeyValueFailure:
        """Return the items of a job, from memory when they were read lately."""
        kept = self._keep(record.job)
        if kept.items is None:
            items = await self.store.items(record)
            if isinstance(items, KeyValueFailure):
                return items
            kept.items = items
            kept.size += sum(len(one.body) for one in items)
        return kept.items

    async def _end(self, call: EndJob) -> Refusal | tuple[int, bytes]:
        for _ in range(TRIES):
            kept = await self.store.read(call.job)
            if kept is None:
                return _unknown_job()
            if isinstance(kept, KeptJob):
                self.board.put(kept)
                if kept.record.state is not JobState.OPEN:
                    return HTTPStatus.OK, b"{}"
                if isinstance(await self.store.close(kept, JobState.ENDED), Swapped):
                    return HTTPStatus.OK, b"{}"
            await self.loop.sleep(RETRY_S)
        message = "whether the job has ended is not known: ask again"
        return Refusal(RefusalKind.STORAGE_UNAVAILABLE, message, Ran.UNKNOWN)

    async def _record(self, job: JobId) -> JobRecord | Refusal:
        view = self.board.jobs.get(job)
        if view is not None and view.kept is not None:
            return view.kept.record
        kept = await self.store.read(job)
        if kept is None:
            return _unknown_job()
        if isinstance(kept, KeyValueFailure):
            return _unavailable(kept)
        self.board.put(kept)
        return kept.record

    def _keep(self, job: JobId) -> _Kept:
        kept = self.kept.setdefault(job, _Kept())
        self.kept.move_to_end(job)
        while len(self.kept) > 1 and sum(one.size for one in self.kept.values()) > CACHE_BYTES:
            self.kept.popitem(last=False)
        return kept

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
        due_ms=now_ms + int(route.job_due_s * 1000),
        kept_until_ms=now_ms + int(route.job_kept_s * 1000),
    )


def _body_of(items: list[JobItem], item: ItemId) -> bytes | None:
    return next((one.body for one in items if one.item == item), None)


def _unknown_job() -> Refusal:
    return Refusal(RefusalKind.NOT_FOUND, "no such job", Ran.NOT_RUN)


def _unavailable(failure: KeyValueFailure) -> Refusal:
    message = f"the job cannot be read now: {failure.message}"
    return Refusal(RefusalKind.PLATFORM_UNAVAILABLE, message, Ran.NOT_RUN, COME_BACK_S)
