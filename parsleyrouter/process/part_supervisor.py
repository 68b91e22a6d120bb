"""Claim, run and finalize the parts of a node's home shards."""

import logging
import random
from collections.abc import Callable

from parsleyrouter.connection.key_value import KeyValue, KeyValueFailure
from parsleyrouter.connection.peer import PeerClient
from parsleyrouter.ids import JobId
from parsleyrouter.process.fleet_view import FleetView, Service
from parsleyrouter.process.job_keys import job_key, shard_home, shard_names
from parsleyrouter.process.job_records import JobRecord, PartPhase, PartRecord
from parsleyrouter.process.part_claims import Step, cancelled, claimed, step_for_job
from parsleyrouter.process.part_commits import PartEnd
from parsleyrouter.process.part_finalizer import PartFinalizer
from parsleyrouter.process.part_owner_check import PartOwnerCheck
from parsleyrouter.process.part_runner import PartRunner
from parsleyrouter.process.part_table import PartTable
from parsleyrouter.process.record_store import RecordConflict, VersionedRecord
from parsleyrouter.process.runner_context import RunnerContext
from parsleyrouter.process.shard_scanner import ShardScanner

__all__ = ["PartSupervisor"]

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.5
VIEW_GRACE_S = 3.0
"""Seconds after its start in which a process may not yet know all live nodes."""
PAUSE_THRESHOLD_S = 2.0
"""A longer gap between two ticks means that the process was paused."""
MAX_URGENT_FACTOR = 2
"""Urgent parts may raise the number of running parts to this multiple of the limit."""
FAILED_RUN_PAUSE_S = 30.0
OPEN_PHASES = (PartPhase.WAITING, PartPhase.RUNNING)


class PartSupervisor:
    """Run parts of batch jobs; a part's epoch keeps two owners from both committing."""

    def __init__(
        self, context: RunnerContext, kv: KeyValue, view: FleetView, peers: PeerClient | None = None
    ) -> None:
        self.context = context
        self.loop = context.loop
        self.limits = context.limits
        self.kv = kv
        self.view = view
        self.finalizer = PartFinalizer(context.loop, context.chunks, context.records)
        self.table = PartTable(context.node, self.limits.shard_digits, self.limits.unchanged_s)
        self.owner_check = PartOwnerCheck(context.loop, peers, view, self.table) if peers else None
        self.runners: dict[str, PartRunner] = {}
        self.scanner = ShardScanner(
            context.loop,
            kv,
            self.table,
            scan_s=self.limits.scan_s,
            running=lambda: list(self.runners),
            on_scanned=self.process_due,
        )
        self.on_handed_over: Callable[[str, VersionedRecord[PartRecord]], None] = (
            lambda key, versioned: None
        )
        self.stopping = False
        self.last_tick_s = self.loop.now()

    def start(self) -> None:
        """Subscribe to the fleet view and start processing parts."""
        self.table.view_complete = False
        self.loop.call_later(VIEW_GRACE_S, self._on_view_complete)
        self.view.on_change(self._on_view_change)
        self._on_view_change()
        self.loop.call_later(TICK_INTERVAL_S, self._tick)

    async def stop(self) -> None:
        """Hand over all parts once their dispatched items have ended."""
        self.stopping = True
        for runner in list(self.runners.values()):
            runner.stop()
        while self.runners:
            await self.loop.sleep(TICK_INTERVAL_S / 5)

    async def on_notice(self, key: str, revision: int) -> None:
        """Read a part that has changed, unless that change is known."""
        known = self.table.parts.get(key)
        if known is None or known.versioned.revision < revision:
            await self._refresh(key)
            self.process_due()

    def cancel_job(self, job: JobId) -> int:
        """Stop the parts of a job; return how many still run."""
        own = [runner for runner in self.runners.values() if runner.job == job]
        for runner in own:
            runner.cancel()
        return sum(1 for runner in own if runner.end is None)

    def process_due(self) -> None:
        """Claim or finalize the parts that are due."""
        if self.stopping:
            return
        for key, step in self.table.due(self.loop.now(), self.runners):
            known = self.table.parts[key]
            if step is Step.CLAIM and not self._has_room(known.versioned.record):
                continue
            known.busy = True
            self.loop.spawn(self._process(key, known.versioned), "process part")

    def verify_runs(self) -> None:
        """Start no item until the records show which parts this node still owns."""
        for runner in list(self.runners.values()):
            self.loop.spawn(runner.verify_ownership(), "verify part")

    def _has_room(self, part: PartRecord) -> bool:
        """Return whether one more part may run; an urgent one may exceed the usual number."""
        active = [runner.record for runner in self.runners.values()]
        active += [
            known.versioned.record
            for key, known in self.table.parts.items()
            if known.busy
            and key not in self.runners
            and known.versioned.record.phase in OPEN_PHASES
        ]
        earlier = sum(1 for other in active if other.deadline_s <= part.deadline_s)
        return earlier < self.limits.parts and len(active) < MAX_URGENT_FACTOR * self.limits.parts

    async def _process(self, key: str, versioned: VersionedRecord[PartRecord]) -> None:
        """Process one part once, and set when it may be processed again."""
        done = False
        try:
            done = await self._process_once(key, versioned)
        finally:
            known = self.table.parts.get(key)
            if known is not None:
                known.busy = False
                pause_s = 0.0 if done else self.limits.retry_limit_s * random.uniform(0.1, 0.5)
                known.not_before_s = self.loop.now() + pause_s
        if done:
            self.process_due()

    async def _process_once(self, key: str, versioned: VersionedRecord[PartRecord]) -> bool:
        part = versioned.record
        if part.phase in (PartPhase.DONE, PartPhase.CANCELLED):
            return await self._finalize(key, versioned)
        job = await self.context.records.read(job_key(part.team, part.job), JobRecord)
        if isinstance(job, KeyValueFailure):
            return False
        step = step_for_job(part, None if job is None else job.record)
        if step is None:
            return await self._delete(key, versioned)
        if step is Step.WATCH:
            return False
        if step is Step.FINALIZE:
            return await self._write(key, cancelled(part), versioned) is not None
        return await self._claim(key, versioned)

    async def _claim(self, key: str, versioned: VersionedRecord[PartRecord]) -> bool:
        written = await self._write(key, claimed(versioned.record, self.context.node), versioned)
        if isinstance(written, VersionedRecord):
            self._start_run(key, written)
        return written is not None

    async def _write(
        self, key: str, record: PartRecord, versioned: VersionedRecord[PartRecord]
    ) -> VersionedRecord[PartRecord] | RecordConflict[PartRecord] | None:
        """Write a part record and update the table; return ``None`` if there was no answer."""
        outcome = await self.context.records.write(key, record, versioned.revision)
        if isinstance(outcome, KeyValueFailure):
            return None
        current = outcome if isinstance(outcome, VersionedRecord) else outcome.current
        if current is None:
            self.table.forget(key)
        else:
            self.table.learn(key, current, self.loop.now())
        return outcome

    def _start_run(self, key: str, versioned: VersionedRecord[PartRecord]) -> None:
        runner = PartRunner(self.context, key, versioned)
        self.runners[key] = runner
        self.context.pace.parts = len(self.runners)
        self.context.metrics.parts_running.inc()
        self.context.metrics.claims.inc()
        if versioned.record.crashes:
            self.context.metrics.takeovers.inc()
        if self.stopping:
            runner.stop()
        self.loop.spawn(self._run_part(key, runner), f"part {key}")

    async def _run_part(self, key: str, runner: PartRunner) -> None:
        end: PartEnd | None = None
        try:
            end = await runner.run()
        finally:
            del self.runners[key]
            self.context.pace.parts = max(1, len(self.runners))
            self.context.metrics.parts_running.dec()
            self._after_run(key, runner, end)
        if end is PartEnd.DONE:
            await self._finalize(key, runner.commits.versioned)
        elif end is PartEnd.HANDED_OVER:
            self.on_handed_over(key, runner.commits.versioned)
        else:
            await self._refresh(key)
        self.process_due()

    def _after_run(self, key: str, runner: PartRunner, end: PartEnd | None) -> None:
        self.table.learn(key, runner.commits.versioned, self.loop.now())
        if end is None:
            self.table.parts[key].not_before_s = self.loop.now() + FAILED_RUN_PAUSE_S
        elif end is PartEnd.HANDED_OVER or not self.table.is_home(key):
            self.table.forget(key)

    async def _refresh(self, key: str) -> None:
        versioned = await self.context.records.read(key, PartRecord)
        if versioned is None:
            self.table.forget(key)
        elif isinstance(versioned, VersionedRecord):
            self.table.learn(key, versioned, self.loop.now())

    async def _finalize(self, key: str, versioned: VersionedRecord[PartRecord]) -> bool:
        finalized = await self.finalizer.finalize(key, versioned)
        if finalized:
            self.table.forget(key)
        return finalized

    async def _delete(self, key: str, versioned: VersionedRecord[PartRecord]) -> bool:
        outcome = await self.kv.delete(key, versioned.revision)
        if isinstance(outcome, KeyValueFailure):
            return False
        self.table.forget(key)
        return True

    def _on_view_complete(self) -> None:
        self.table.view_complete = True
        self.process_due()

    def _on_view_change(self) -> None:
        nodes = self.view.nodes()
        names = shard_names(self.limits.shard_digits)
        own = frozenset(name for name in names if shard_home(name, nodes) == self.context.node)
        self.table.set_home_shards(own, self.runners)
        self.table.live = frozenset(info.node for info in nodes if Service.BATCH in info.addresses)
        self.context.pace.nodes = max(1, len(self.table.live))
        self.scanner.set_shards(own)
        self.scanner.run_if_due()
        self.process_due()

    def _tick(self) -> None:
        now = self.loop.now()
        if now - self.last_tick_s > PAUSE_THRESHOLD_S:
            log.warning("process was paused", extra={"seconds": now - self.last_tick_s})
            self.verify_runs()
        self.last_tick_s = now
        self.scanner.run_if_due()
        if self.owner_check is not None:
            self.owner_check.run_if_due()
        self.process_due()
        self.loop.call_later(TICK_INTERVAL_S, self._tick)
