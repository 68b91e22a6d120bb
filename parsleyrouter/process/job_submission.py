"""Accept batch jobs: one transaction stores a job and counts its tokens."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from zlib import crc32

import msgspec

from parsleyrouter.connection.key_value import (
    KeyValueFailure,
    LeaseLost,
    TransactionConflict,
    WriteApplied,
)
from parsleyrouter.ids import Revision
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.job_lookup import JobLookup
from parsleyrouter.process.job_owner import JobOwner
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry
from parsleyrouter.process.shared_job_store import (
    JobKeys,
    SharedJobStore,
    ShareWrite,
    VersionedJob,
)
from parsleyrouter.process.token_ledger import QuotaName, TokenLedger, quota_of, share_key
from parsleyrouter.request.job_call import SubmitJob
from parsleyrouter.request.shared_job import UNSHARED, JobItem, JobRecord, SubmittedJob
from parsleyrouter.request.submission import RETRY_ELSEWHERE_S
from parsleyrouter.request.token_quota import (
    DivideShares,
    QuotaFull,
    plan_submission,
    retry_after_s,
)
from parsleyrouter.version.route_table import Route, RouteKind

__all__ = ["JobSubmission"]

MAX_READS = 3
READ_PAUSE_S = 0.15
"""Reads of a record after a write whose outcome is unknown, and the pause before each."""

MAX_SHARE_TRIES = 12
"""Conditional writes of shares for one submission; each that fails shows another's success."""

Created = VersionedJob | TransactionConflict | KeyValueFailure | Refusal


@dataclass
class JobSubmission:
    """Store jobs that clients submit, and start them on this node."""

    loop: Loop
    store: SharedJobStore
    owner: JobOwner
    registry: NodeRegistry
    lookup: JobLookup
    ledger: TokenLedger
    retry_s: Callable[[], float | None]
    """Return the retry delay while this node cannot accept jobs, else ``None``."""

    async def submit(self, call: SubmitJob) -> Refusal | tuple[int, bytes]:
        """Accept a job, or confirm one that was accepted before."""
        job = call.submitted
        route = self.lookup.route(job.host, job.path)
        if route is None or route.kind is not RouteKind.BATCH:
            if self.lookup.is_known(job.job, job.host):
                return HTTPStatus.ACCEPTED, b"{}"
            return Refusal(RefusalKind.NOT_FOUND, "no route takes the job", ExecutionStatus.NOT_RUN)
        retry_s = self.retry_s()
        if retry_s is not None:
            message = "this node gets no answers from the key-value service: submit elsewhere"
            return _not_run(message, retry_s)
        with self.owner.memory.submission(job.items) as fits:
            if not fits:
                return await self._refuse_unless_kept(job)
            return await self._store(call, route)

    async def _refuse_unless_kept(self, job: SubmittedJob) -> Refusal | tuple[int, bytes]:
        """Refuse a job for which there is no memory, unless it was accepted before."""
        found = await self.store.read(job.job)
        if isinstance(found, VersionedJob):
            return HTTPStatus.ACCEPTED, b"{}"
        if found is not None:
            message = "whether the job is kept is not known: submit it again"
            return Refusal(RefusalKind.STORAGE_UNAVAILABLE, message, ExecutionStatus.UNKNOWN)
        message = "this node holds as many batch items as its memory allows: submit elsewhere"
        return _not_run(message, RETRY_ELSEWHERE_S)

    async def _store(self, call: SubmitJob, route: Route) -> Refusal | tuple[int, bytes]:
        job = call.submitted
        version = self.lookup.routes.version
        record = _new_record(call, route, version)
        if route.max_waiting_tokens:
            done = await self._create_within_limit(record, job.items, route, version)
        else:
            done = await self._create(record, job.items)
        if isinstance(done, Refusal):
            return done
        if isinstance(done, VersionedJob | TransactionConflict):
            return HTTPStatus.ACCEPTED, b"{}"
        if not done.maybe_applied:
            retry_s = self.retry_s() or RETRY_ELSEWHERE_S
            return _not_run(f"the job cannot be kept now: {done.message}", retry_s)
        for _ in range(MAX_READS):
            await self.loop.sleep(READ_PAUSE_S)
            if isinstance(await self.store.read(job.job), VersionedJob):
                return HTTPStatus.ACCEPTED, b"{}"
        message = "whether the job is kept is not known: submit it again"
        return Refusal(RefusalKind.STORAGE_UNAVAILABLE, message, ExecutionStatus.UNKNOWN)

    async def _create(
        self, record: JobRecord, items: list[JobItem], share: ShareWrite | None = None
    ) -> VersionedJob | TransactionConflict | KeyValueFailure:
        """Create a job with this node as its owner if it has a lease, and start it."""
        own = self.registry.own.node
        lease = 0 if self.registry.leaving else self.registry.lease
        done = await self.store.create(record, items, own, lease, share)
        if isinstance(done, LeaseLost):
            lease = 0
            done = await self.store.create(record, items, own, lease, share)
        assert not isinstance(done, LeaseLost)
        if isinstance(done, VersionedJob) and lease:
            self.owner.start_created(done, items)
        return done

    async def _create_within_limit(
        self, record: JobRecord, items: list[JobItem], route: Route, version: int
    ) -> Created:
        preferred = crc32(self.registry.own.node.encode())
        quota = quota_of(route.name, record.customer)
        for _ in range(MAX_SHARE_TRIES):
            plan = plan_submission(
                self.ledger.tokens(quota),
                limit=route.max_waiting_tokens,
                version=version,
                tokens=record.tokens,
                preferred=preferred,
            )
            if isinstance(plan, QuotaFull):
                return await self._refuse(record, plan)
            if isinstance(plan, DivideShares):
                failure = await self._divide(quota, plan)
                if failure is not None:
                    return failure
                continue
            share = ShareWrite(
                share_key(quota, plan.index),
                self.ledger.revision(quota, plan.index),
                msgspec.json.encode(plan.share),
            )
            shared = msgspec.structs.replace(record, share=plan.index)
            done = await self._create(shared, items, share)
            if isinstance(done, VersionedJob):
                self.ledger.put_share(quota, plan.index, plan.share, done.revision)
                return done
            if isinstance(done, KeyValueFailure) or JobKeys(record.job).record in done.current:
                return done
            self._apply_conflict(done)
        return _not_run("other nodes accept jobs at the same time: submit again", RETRY_ELSEWHERE_S)

    async def _divide(self, quota: QuotaName, plan: DivideShares) -> KeyValueFailure | None:
        """Write all shares; a call that takes effect later than its reply does no harm."""
        writes = [
            ShareWrite(
                share_key(quota, index),
                self.ledger.revision(quota, index),
                msgspec.json.encode(share),
            )
            for index, share in enumerate(plan.shares)
        ]
        done = await self.store.write_shares(writes)
        if isinstance(done, WriteApplied):
            for index, share in enumerate(plan.shares):
                self.ledger.put_share(quota, index, share, Revision(done.revision))
            return None
        if isinstance(done, TransactionConflict):
            self._apply_conflict(done)
            return None
        return KeyValueFailure(done.kind, done.message)

    def _apply_conflict(self, conflict: TransactionConflict) -> None:
        for entry in conflict.current.values():
            self.ledger.apply_entry(entry)

    async def _refuse(self, record: JobRecord, full: QuotaFull) -> Created:
        """Refuse a job that does not fit, unless it was accepted before."""
        known = await self.store.read(record.job)
        if known is not None:
            return known
        rate = self.ledger.finished_per_s(quota_of(record.route, record.customer), self.loop.now())
        message = (
            f"{full.waiting} tokens wait on the route, of {full.limit} allowed, and the job has "
            f"{record.tokens}: submit it when some have finished"
        )
        return Refusal(
            RefusalKind.TOO_MANY,
            message,
            ExecutionStatus.NOT_RUN,
            retry_after_s(full.excess, rate),
        )


def _not_run(message: str, retry_s: float) -> Refusal:
    return Refusal(RefusalKind.PLATFORM_UNAVAILABLE, message, ExecutionStatus.NOT_RUN, retry_s)


def _new_record(call: SubmitJob, route: Route, routes_version: int) -> JobRecord:
    now_ms = int(time.time() * 1000)
    items = call.submitted.items
    return JobRecord(
        job=call.submitted.job,
        host=call.submitted.host,
        total=len(items),
        chunks=0,
        submitted_ms=now_ms,
        due_ms=now_ms + int(route.job_target_s * 1000),
        kept_until_ms=now_ms + int(route.job_retention_s * 1000),
        route=route.name,
        tokens=sum(item.tokens for item in items),
        share=UNSHARED,
        routes_version=routes_version,
        customer=call.submitted.customer,
        anonymous=route.anonymous,
    )
