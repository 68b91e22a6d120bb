"""Claim, run and settle the parts that a node looks after."""

import logging
import random
from collections.abc import Callable

from parsleyrouter.connection.key_value import KeyValue, KeyValueFailure
from parsleyrouter.connection.peer import PeerClient
from parsleyrouter.ids import JobId
from parsleyrouter.process.fleet_view import FleetView, Service
from parsleyrouter.process.job_keys import job_key, shard_home, shards
from parsleyrouter.process.job_records import JobRecord, PartPhase, PartRecord
from parsleyrouter.process.part_claims import Step, cancelled, claimed, with_job
from parsleyrouter.process.part_commits import PartEnd
from parsleyrouter.process.part_finalizer import PartSettle
from parsleyrouter.process.part_owner_check import PartOwners
from parsleyrouter.process.part_runner import PartRunner
from parsleyrouter.process.part_table import PartTable
from parsleyrouter.process.record_store import Beaten, Held
from parsleyrouter.process.runner_context import RunnerTools
from parsleyrouter.process.shard_scanner import ShardScan

__all__ = ["PartKeeper"]

log = logging.getLogger(__name__)

TICK_S = 0.5
SETTLE_S = 3.0
"""Seconds after its start in which a process may not yet know all live nodes."""
PAUSE_S = 2.0
URGENT_FACTOR = 2
FAILED_RUN_PAUSE_S = 30.0
OPEN_PHASES = (PartPhase.WAITING, PartPhase.RUNNING)


class PartKeeper:
    """Run parts of batch jobs; a part's epoch keeps two owners from both committing."""

    def __init__(
        self, tools: RunnerTools, kv: KeyValue, view: FleetView, peers: PeerClient | None = None
    ) -> None:
        self.tools = tools
        self.loop = tools.loop
        self.limits = tools.limits
        self.kv = kv
        self.view = view
        self.settle = PartSettle(tools.loop, tools.chunks, tools.records)
        self.table = PartTable(tools.node, self.limits.shard_digits, self.limits.unchanged_s)
        self.owners = PartOwners(tools.loop, peers, view, self.table) if peers else None
        self.runners: dict[str, PartRunner] = {}
        self.scan = ShardScan(
            tools.loop,
            kv,
            self.table,
            scan_s=self.limits.scan_s,
            running=lambda: list(self.runners),
            on_scanned=self.pump,
        )
        self.on_handed_over: Callable[[str, Held[PartRecord]], None] = lambda key, held: None
        self.stopping = False
        self.last_tick_s = self.loop.now()

    def begin(self) -> None:
        """Follow the fleet view and start to work."""
        self.table.settled = False
        self.loop.call_later(SETTLE_S, self._settle_view)
        self.view.on_change(self._on_view)
        self._on_view()
        self.loop.call_later(TICK_S, self._tick)

    async def stop(self) -> None:
        """Hand all parts over; what is dispatched is waited for."""
        self.stopping = True
        for runner in list(self.runners.values()):
            runner.stop()
        while self.runners:
            await self.loop.sleep(TICK_S / 5)

    async def notice(self, key: str, revision: int) -> None:
        """Look at a part that has changed, unless that change is known."""
        known = self.table.parts.get(key)
        if known is None or known.held.revision < revision:
            await self._look(key)
            self.pump()

    def cancel_job(self, job: JobId) -> int:
        """Stop the parts of a job; return how many still run."""
        own = [runner for runner in self.runners.values() if runner.job == job]
        for runner in own:
            runner.cancel()
        return sum(1 for runner in own if runner.end is None)

    def pump(self) -> None:
        """Claim or settle what is due."""
        if self.stopping:
            return
        for key, step in self.table.due(self.loop.now(), self.runners):
            known = self.table.parts[key]
            if step is Step.CLAIM and not self._has_room(known.held.record):
                continue
            known.busy = True
            self.loop.spawn(self._attend(key, known.held), "attend part")

    def check_runs(self) -> None:
        """Start no item until the records show which parts are still owned here."""
        for runner in list(self.runners.values()):
            self.loop.spawn(runner.check_owned(), "check part")

    def _has_room(self, part: PartRecord) -> bool:
        """Say whether one more part may run; an urgent one may go beyond the usual number."""
        active = [runner.record for runner in self.runners.values()]
        active += [
            known.held.record
            for key, known in self.table.parts.items()
            if known.busy and key not in self.runners and known.held.record.phase in OPEN_PHASES
        ]
        earlier = sum(1 for other in active if other.deadline_s <= part.deadline_s)
        return earlier < self.limits.parts and len(active) < URGENT_FACTOR * self.limits.parts

    async def _attend(self, key: str, held: Held[PartRecord]) -> None:
        """Do what the newest records demand for one part."""
        done = False
        try:
            done = await self._attend_once(key, held)
        finally:
            known = self.table.parts.get(key)
            if known is not None:
                known.busy = False
                pause_s = 0.0 if done else self.limits.retry_limit_s * random.uniform(0.1, 0.5)
                known.not_before_s = self.loop.now() + pause_s
        if done:
            self.pump()

    async def _attend_once(self, key: str, held: Held[PartRecord]) -> bool:
        part = held.record
        if part.phase in (PartPhase.DONE, PartPhase.CANCELLED):
            return await self._settle(key, held)
        job = await self.tools.records.read(job_key(part.team, part.job), JobRecord)
        if isinstance(job, KeyValueFailure):
            return False
        step = with_job(part, None if job is None else job.record)
        if step is None:
            return await self._delete(key, held)
        if step is Step.WATCH:
            return False
        if step is Step.SETTLE:
            return await self._write(key, cancelled(part), held) is not None
        return await self._claim(key, held)

    async def _claim(self, key: str, held: Held[PartRecord]) -> bool:
        written = await self._write(key, claimed(held.record, self.tools.node), held)
        if isinstance(written, Held):
            self._run(key, written)
        return written is not None

    async def _write(
        self, key: str, record: PartRecord, held: Held[PartRecord]
    ) -> Held[PartRecord] | Beaten[PartRecord] | None:
        """Swap a part record and learn from the answer; ``None`` when there was none."""
        outcome = await self.tools.records.write(key, record, held.revision)
        if isinstance(outcome, KeyValueFailure):
            return None
        current = outcome if isinstance(outcome, Held) else outcome.current
        if current is None:
            self.table.forget(key)
        else:
            self.table.learn(key, current, self.loop.now())
        return outcome

    def _run(self, key: str, held: Held[PartRecord]) -> None:
        runner = PartRunner(self.tools, key, held)
        self.runners[key] = runner
        self.tools.pace.parts = len(self.runners)
        self.tools.metrics.parts_running.inc()
        self.tools.metrics.claims.inc()
        if held.record.crashes:
            self.tools.metrics.takeovers.inc()
        if self.stopping:
            runner.stop()
        self.loop.spawn(self._run_part(key, runner), f"part {key}")

    async def _run_part(self, key: str, runner: PartRunner) -> None:
        end: PartEnd | None = None
        try:
            end = await runner.run()
        finally:
            del self.runners[key]
            self.tools.pace.parts = max(1, len(self.runners))
            self.tools.metrics.parts_running.dec()
            self._after_run(key, runner, end)
        if end is PartEnd.DONE:
            await self._settle(key, runner.commits.held)
        elif end is PartEnd.HANDED_OVER:
            self.on_handed_over(key, runner.commits.held)
        else:
            await self._look(key)
        self.pump()

    def _after_run(self, key: str, runner: PartRunner, end: PartEnd | None) -> None:
        self.table.learn(key, runner.commits.held, self.loop.now())
        if end is None:
            self.table.parts[key].not_before_s = self.loop.now() + FAILED_RUN_PAUSE_S
        elif end is PartEnd.HANDED_OVER or not self.table.is_home(key):
            self.table.forget(key)

    async def _look(self, key: str) -> None:
        held = await self.tools.records.read(key, PartRecord)
        if held is None:
            self.table.forget(key)
        elif isinstance(held, Held):
            self.table.learn(key, held, self.loop.now())

    async def _settle(self, key: str, held: Held[PartRecord]) -> bool:
        settled = await self.settle.settle(key, held)
        if settled:
            self.table.forget(key)
        return settled

    async def _delete(self, key: str, held: Held[PartRecord]) -> bool:
        outcome = await self.kv.delete(key, held.revision)
        if isinstance(outcome, KeyValueFailure):
            return False
        self.table.forget(key)
        return True

    def _settle_view(self) -> None:
        self.table.settled = True
        self.pump()

    def _on_view(self) -> None:
        nodes = self.view.nodes()
        names = shards(self.limits.shard_digits)
        own = frozenset(name for name in names if shard_home(name, nodes) == self.tools.node)
        self.table.set_homes(own, self.runners)
        self.table.live = frozenset(info.node for info in nodes if Service.BATCH in info.addresses)
        self.tools.pace.nodes = max(1, len(self.table.live))
        self.scan.set_shards(own)
        self.scan.poke()
        self.pump()

    def _tick(self) -> None:
        now = self.loop.now()
        if now - self.last_tick_s > PAUSE_S:
            log.warning("process was paused", extra={"seconds": now - self.last_tick_s})
            self.check_runs()
        self.last_tick_s = now
        self.scan.poke()
        if self.owners is not None:
            self.owners.poke()
        self.pump()
        self.loop.call_later(TICK_S, self._tick)
