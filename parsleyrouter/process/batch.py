"""Look after the shards that a node is home of: claim, run and settle their parts."""

import itertools
import logging
import random
from collections.abc import Iterable
from dataclasses import dataclass

from parsleyrouter.connection.key_value import KeyValue, KeyValueFailure
from parsleyrouter.connection.peer import PeerMethods, PeerServer
from parsleyrouter.ids import Address, JobId, NodeId
from parsleyrouter.process.batch_metrics import BatchMetrics
from parsleyrouter.process.batch_options import BatchLimits
from parsleyrouter.process.call_port import Calls
from parsleyrouter.process.chunk_client import ChunkClient
from parsleyrouter.process.item_times import ItemTimes
from parsleyrouter.process.job_keys import job_key, shard_home, shard_of, shard_prefix, shards
from parsleyrouter.process.job_records import JobRecord, PartPhase, PartRecord, decode_record
from parsleyrouter.process.part_claims import Step, cancelled, claimed, next_step, with_job
from parsleyrouter.process.part_commits import PartEnd
from parsleyrouter.process.part_runner import PartRunner
from parsleyrouter.process.part_settle import PartSettle
from parsleyrouter.process.record_writes import Held, RecordWrites
from parsleyrouter.process.runner_tools import RunnerTools
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.view import FleetView, Service
from parsleyrouter.thrift_gen.jobs.ttypes import CancelAnswer, CancelJob, NewParts
from parsleyrouter.version.schema import TeamSettings

__all__ = ["BATCH_METHODS", "BatchRunner"]

log = logging.getLogger(__name__)

BATCH_METHODS = PeerMethods()
SCAN_PAGE = 500
TICK_S = 0.5
PAUSE_S = 2.0
URGENT_FACTOR = 2
FAILED_RUN_PAUSE_S = 30.0
SCAN_RETRY_S = 1.0
_NUMBERS = itertools.count()


@dataclass
class Known:
    """A part record as last seen, and when it was first seen so, in monotonic seconds."""

    held: Held[PartRecord]
    since_s: float
    busy: bool = False
    not_before_s: float = 0.0


class BatchRunner:
    """Run parts of batch jobs; a part's epoch keeps two owners from both committing."""

    def __init__(
        self,
        runtime: Runtime,
        bind: Address,
        kv: KeyValue,
        chunks: ChunkClient,
        view: FleetView,
        calls: Calls,
        *,
        limits: BatchLimits | None = None,
    ) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.kv = kv
        self.view = view
        self.limits = limits or BatchLimits()
        self.node = view.self_node().node
        self.records = RecordWrites(runtime.loop, kv)
        self.settle = PartSettle(runtime.loop, chunks, self.records)
        self.known: dict[str, Known] = {}
        self.runners: dict[str, PartRunner] = {}
        self.homes: set[str] = set()
        self.live: frozenset[NodeId] = frozenset()
        self.scan_due_s: dict[str, float] = {}
        self.scanning = False
        self.stopping = False
        self.last_tick_s = self.loop.now()
        self.metrics = BatchMetrics.of(runtime.metrics)
        self.tools = RunnerTools(
            loop=runtime.loop,
            node=self.node,
            calls=calls,
            chunks=chunks,
            records=self.records,
            limits=self.limits,
            times=ItemTimes(self.limits.items_at_once),
            metrics=self.metrics,
            team=self._team,
        )
        self.peer = PeerServer(
            runtime.loop, bind, BATCH_METHODS, self, channel=f"batch-{next(_NUMBERS)}"
        )
        self.peer.register(runtime)
        view.on_change(self._on_view)
        self.loop.call_soon(self._on_view)
        self.loop.call_later(TICK_S, self._tick)

    def address(self) -> Address:
        """Return the address that the system chose."""
        return self.peer.bound_address()

    async def stop(self) -> None:
        """Hand all parts over; register it as a stop hook."""
        self.stopping = True
        for runner in list(self.runners.values()):
            runner.stop()
        while self.runners:
            await self.loop.sleep(TICK_S / 5)

    def learn(self, key: str, held: Held[PartRecord]) -> None:
        """Take a part record as read or told; an older one changes nothing."""
        known = self.known.get(key)
        if known is None or known.held.revision < held.revision:
            busy = known is not None and known.busy
            self.known[key] = Known(held, self.loop.now(), busy)

    def pump(self) -> None:
        """Claim or settle what is due, the least time to its deadline first."""
        if self.stopping:
            return
        due = sorted(
            ((key, known) for key, known in self.known.items() if self._is_due(key, known)),
            key=lambda pair: pair[1].held.record.deadline_s,
        )
        for key, known in due:
            claim = self._step(key, known) is Step.CLAIM
            if claim and not self._has_room(known.held.record):
                continue
            known.busy = True
            self.loop.spawn(self._attend(key, known.held), "attend part")

    def cancel_job(self, job: JobId) -> int:
        """Stop the parts of a job; return how many still run."""
        for runner in [runner for runner in self.runners.values() if runner.job == job]:
            runner.cancel()
        return sum(
            1 for runner in self.runners.values() if runner.job == job and runner.end is None
        )

    def _has_room(self, part: PartRecord) -> bool:
        """Say whether one more part may run; an urgent one may go beyond the usual number."""
        active = [runner.record for runner in self.runners.values()]
        active += [
            known.held.record
            for key, known in self.known.items()
            if known.busy and key not in self.runners and known.held.record.phase in _OPEN
        ]
        earlier = sum(1 for other in active if other.deadline_s <= part.deadline_s)
        return earlier < self.limits.parts and len(active) < URGENT_FACTOR * self.limits.parts

    def _is_due(self, key: str, known: Known) -> bool:
        if known.busy or self.loop.now() < known.not_before_s:
            return False
        return self._step(key, known) is not Step.WATCH

    def _step(self, key: str, known: Known) -> Step:
        if shard_of(key, self.limits.shard_digits) not in self.homes:
            return Step.WATCH
        return next_step(
            known.held.record,
            self.node,
            self.live,
            running_here=key in self.runners,
            unchanged_s=self.loop.now() - known.since_s,
            patience_s=self.limits.unchanged_s,
        )

    async def _attend(self, key: str, held: Held[PartRecord]) -> None:
        """Do what the newest records demand for one part."""
        try:
            done = await self._attend_once(key, held)
        finally:
            known = self.known.get(key)
            if known is not None:
                known.busy = False
        if not done and known is not None:
            known.not_before_s = self.loop.now() + self.limits.retry_s * random.uniform(1, 4)
            self.loop.call_later(self.limits.retry_s * 4, self.pump)
        else:
            self.pump()

    async def _attend_once(self, key: str, held: Held[PartRecord]) -> bool:
        part = held.record
        if part.phase in (PartPhase.DONE, PartPhase.CANCELLED):
            return await self._settle(key, held)
        job = await self.records.read(job_key(part.team, part.job), JobRecord)
        if isinstance(job, KeyValueFailure):
            return False
        step = with_job(part, None if job is None else job.record)
        if step is None:
            return await self._delete(key, held)
        if step is Step.WATCH:
            return False
        if step is Step.SETTLE:
            return self._took(key, await self.records.write(key, cancelled(part), held.revision))
        outcome = await self.records.write(key, claimed(part, self.node), held.revision)
        if isinstance(outcome, Held):
            self._run(key, outcome)
        return self._took(key, outcome)

    def _took(self, key: str, outcome: object) -> bool:
        if isinstance(outcome, Held):
            self.learn(key, outcome)
            return True
        if isinstance(outcome, KeyValueFailure):
            return False
        current = getattr(outcome, "current", None)
        if current is None:
            self.known.pop(key, None)
        else:
            self.learn(key, current)
        return True

    def _run(self, key: str, held: Held[PartRecord]) -> None:
        runner = PartRunner(self.tools, key, held)
        self.runners[key] = runner
        self.metrics.parts_running.inc()
        self.metrics.claims.inc()
        if held.record.epoch > 1:
            self.metrics.takeovers.inc()
        self.loop.spawn(self._run_part(key, runner), f"part {key}")

    async def _run_part(self, key: str, runner: PartRunner) -> None:
        end = None
        try:
            end = await runner.run()
        finally:
            del self.runners[key]
            self.metrics.parts_running.dec()
            self.learn(key, runner.commits.held)
            if end is None and key in self.known:
                self.known[key].not_before_s = self.loop.now() + FAILED_RUN_PAUSE_S
        if end is PartEnd.DONE:
            await self._attend(key, runner.commits.held)
        elif end is not PartEnd.HANDED_OVER:
            await self._look_again(key)
        self.pump()

    async def _look_again(self, key: str) -> None:
        held = await self.records.read(key, PartRecord)
        if held is None:
            self.known.pop(key, None)
        elif isinstance(held, Held):
            self.learn(key, held)

    async def _settle(self, key: str, held: Held[PartRecord]) -> bool:
        settled = await self.settle.settle(key, held)
        if settled:
            self.known.pop(key, None)
        return settled

    async def _delete(self, key: str, held: Held[PartRecord]) -> bool:
        outcome = await self.kv.delete(key, held.revision)
        if isinstance(outcome, KeyValueFailure):
            return False
        self.known.pop(key, None)
        return True

    def _on_view(self) -> None:
        nodes = self.view.nodes()
        digits = self.limits.shard_digits
        homes = {shard for shard in shards(digits) if shard_home(shard, nodes) == self.node}
        for shard in homes - self.homes:
            self.scan_due_s[shard] = 0.0
        for shard in self.homes - homes:
            self.scan_due_s.pop(shard, None)
        self.homes = homes
        self.live = frozenset(info.node for info in nodes if Service.BATCH in info.addresses)
        self._forget_others()
        self._scan_soon()
        self.pump()

    def _forget_others(self) -> None:
        for key in list(self.known):
            away = shard_of(key, self.limits.shard_digits) not in self.homes
            if away and key not in self.runners and not self.known[key].busy:
                del self.known[key]

    def _scan_soon(self) -> None:
        if not self.scanning and not self.stopping:
            self.scanning = True
            self.loop.spawn(self._scan_due(), "scan shards")

    async def _scan_due(self) -> None:
        try:
            while due := [s for s, at_s in self.scan_due_s.items() if at_s <= self.loop.now()]:
                for shard in due:
                    if not await self._scan(shard):
                        return
                self.pump()
        finally:
            self.scanning = False

    async def _scan(self, shard: str) -> bool:
        after = ""
        seen: set[str] = set()
        while True:
            page = await self.kv.scan(shard_prefix(shard), after=after, limit=SCAN_PAGE)
            if isinstance(page, KeyValueFailure):
                self._scan_failed(shard)
                return False
            for entry in page.entries:
                seen.add(entry.key)
                after = entry.key
                self.learn(entry.key, Held(decode_record(PartRecord, entry.value), entry.revision))
            if not page.more:
                break
        self._drop_gone(shard, seen)
        if shard in self.scan_due_s:
            self.scan_due_s[shard] = self.loop.now() + self.limits.scan_s * random.uniform(0.5, 1.5)
        return True

    def _scan_failed(self, shard: str) -> None:
        """Try later; an owner without the key-value service cannot change its record either."""
        self.scan_due_s[shard] = self.loop.now() + SCAN_RETRY_S * random.uniform(1, 2)
        for known in self.known.values():
            known.since_s = self.loop.now()

    def _drop_gone(self, shard: str, seen: Iterable[str]) -> None:
        present = set(seen)
        for key in list(self.known):
            gone = shard_of(key, self.limits.shard_digits) == shard and key not in present
            if gone and key not in self.runners and not self.known[key].busy:
                del self.known[key]

    def _tick(self) -> None:
        now = self.loop.now()
        if now - self.last_tick_s > PAUSE_S:
            log.warning("process was paused", extra={"seconds": now - self.last_tick_s})
            for runner in self.runners.values():
                self.loop.spawn(runner.check_owned(), "check part")
        self.last_tick_s = now
        self._scan_soon()
        self.pump()
        self.loop.call_later(TICK_S, self._tick)

    def _team(self, part: PartRecord) -> TeamSettings:
        return self.view.settings().teams.get(part.team, TeamSettings())


_OPEN = (PartPhase.WAITING, PartPhase.RUNNING)


@BATCH_METHODS.add("parts.new", NewParts)
async def new_parts(runner: BatchRunner, request: NewParts) -> None:
    """Look at parts that an entry has just created."""
    for notice in request.parts:
        known = runner.known.get(notice.key)
        if known is None or known.held.revision < notice.revision:
            held = await runner.records.read(notice.key, PartRecord)
            if isinstance(held, Held):
                runner.learn(notice.key, held)
    runner.pump()


@BATCH_METHODS.add("jobs.cancel", CancelJob)
async def cancel_job(runner: BatchRunner, request: CancelJob) -> CancelAnswer:
    """Stop the parts of a job that run here."""
    return CancelAnswer(runner.cancel_job(JobId(request.job)))
