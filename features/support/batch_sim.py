"""Batch processes on simulated time, with the real record and commit code and scripted faults."""

import json
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from prometheus_client import CollectorRegistry

from features.support.batch_fleet import KIND, TEAM, TEAM_SETTINGS, job_body
from parsleyrouter.connection.peer import PeerFailure, PeerFailureKind
from parsleyrouter.ids import ChunkName, DomainName, JobId, NodeId, PartIndex
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.batch_limits import BatchLimits
from parsleyrouter.process.batch_metrics import BatchMetrics
from parsleyrouter.process.call_port import Call, Preempted, Reply
from parsleyrouter.process.chunk_folder import ChunkMeta, ChunkRole, chunk_name
from parsleyrouter.process.fleet_view import NodeInfo, Service, StaticFleetView
from parsleyrouter.process.item_durations import ItemDurations
from parsleyrouter.process.job_keys import job_key, part_key
from parsleyrouter.process.job_port import JobSpec
from parsleyrouter.process.job_records import JobRecord, PartRecord, decode_record
from parsleyrouter.process.job_service import JobService
from parsleyrouter.process.loop import Loop, Promise, Task
from parsleyrouter.process.part_results import (
    JobManifest,
    PartManifest,
    decode_manifest,
    lines_by_index,
)
from parsleyrouter.process.part_supervisor import PartSupervisor
from parsleyrouter.process.record_store import RecordStore
from parsleyrouter.process.runner_context import CommitPace, RunnerContext
from parsleyrouter.standins.key_value_faults import KeyValueFaults
from parsleyrouter.standins.key_value_store import KeyValueStore
from parsleyrouter.standins.memory_key_value import MemoryKeyValue
from parsleyrouter.thrift_gen.jobs.ttypes import CancelAnswer
from parsleyrouter.version.snapshot import SettingsSnapshot

SMALL = BatchLimits(
    shard_digits=1,
    part_items=4,
    parts=3,
    items_at_once=2,
    wave_items=2,
    careful_wave_items=2,
    flush_items=2,
    commit_items=3,
    commit_s=2.0,
    scan_s=10.0,
    idle_commit_s=10.0,
    unchanged_s=40.0,
    chunks_before_merge=3,
)
ITEM_TIME_S = 0.3


class SimLoop(Loop):
    """A loop whose time advances only in ``run_for``."""

    def __init__(self) -> None:
        super().__init__()
        self.time_s = 0.0

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self.time_s

    def run_for(self, seconds: float) -> None:
        """Advance the time and run every timer that becomes due."""
        end_s = self.time_s + seconds
        while self.timers and self.timers[0].due_s <= end_s:
            timer = self.timers[0]
            del self.timers[0]
            self.timers.sort()
            self.time_s = max(self.time_s, timer.due_s)
            if not timer.cancelled:
                self.call_soon(timer.call)
        self.time_s = end_s


class Gate:
    """Block all calls of a process while it is paused; that of a crashed one is never opened."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.closed: Promise[None] | None = None

    async def passed(self) -> None:
        """Wait while the process is paused."""
        while self.closed is not None:
            await self.closed

    def close(self) -> None:
        """Pause the process."""
        self.closed = self.closed or self.loop.promise()

    def open(self) -> None:
        """Resume the process."""
        closed, self.closed = self.closed, None
        if closed is not None:
            closed.resolve(None)


class GatedKeyValue(MemoryKeyValue):
    """The key-value service for a process that may be paused before or after any call."""

    gate: Gate

    async def _call(self, kind: Any, key: str, apply: Callable[[], Any]) -> Any:
        await self.gate.passed()
        outcome = await super()._call(kind, key, apply)
        await self.gate.passed()
        return outcome


class MemoryChunks:
    """The methods of the chunk client on a dictionary shared by all processes."""

    def __init__(self, gate: Gate, chunks: dict[ChunkName, tuple[ChunkMeta, bytes]]) -> None:
        self.gate = gate
        self.chunks = chunks

    async def put(
        self, job: JobId, part: PartIndex, role: ChunkRole, data: bytes, expires_s: int
    ) -> ChunkName | Refusal:
        """Store a chunk."""
        await self.gate.passed()
        name = chunk_name(job, part, role, data)
        self.chunks[name] = (ChunkMeta(name, job, part, role, expires_s, len(data)), data)
        await self.gate.loop.sleep(0.002)
        await self.gate.passed()
        return name

    async def get(
        self, job: JobId, part: PartIndex, role: ChunkRole, name: ChunkName
    ) -> bytes | None:
        """Return a chunk."""
        await self.gate.passed()
        found = self.chunks.get(name)
        return None if found is None else found[1]

    def release(self, job: JobId, part: PartIndex, keep: Iterable[ChunkName]) -> None:
        """Delete the input and results of a part at once, except for those in ``keep``."""
        kept = set(keep)
        for name, (meta, _) in list(self.chunks.items()):
            own = (meta.job, meta.part) == (job, part) and meta.role is not ChunkRole.MANIFEST
            if own and name not in kept:
                del self.chunks[name]

    async def list_part(self, job: JobId, part: PartIndex, role: ChunkRole) -> list[ChunkMeta]:
        """Return the chunks of a part."""
        await self.gate.passed()
        metas = [meta for meta, _ in self.chunks.values()]
        found = [meta for meta in metas if (meta.job, meta.part, meta.role) == (job, part, role)]
        return sorted(found, key=lambda meta: meta.name)


@dataclass
class SimNode:
    """One batch process and entry."""

    name: str
    gate: Gate
    view: StaticFleetView
    faults: KeyValueFaults
    supervisor: PartSupervisor
    job_service: JobService


@dataclass
class SimCalls:
    """Answer calls by item number: most succeed; some fail, are preempted, refused or lost."""

    sim: "BatchSim"
    node: str
    gate: Gate

    async def run(
        self, call: Call, *, on_dispatch: Callable[[], None] | None = None
    ) -> Reply | Refusal | Preempted:
        """Dispatch and answer one call."""
        await self.gate.passed()
        number = int(call.request.rpartition("-")[2])
        run = self.sim.dispatched[call.request]
        tries = self.sim.tries[call.request] = self.sim.tries[call.request] + 1
        if number % 7 == 5 and tries == 1:
            return Refusal(RefusalKind.OVERLOADED, "no slot", ExecutionStatus.NOT_RUN)
        if on_dispatch is not None:
            on_dispatch()
        self.sim.note_dispatch(call, self.node)
        await self.sim.loop.sleep(ITEM_TIME_S)
        await self.gate.passed()
        if number % 7 == 3 and run == 0:
            return Refusal(RefusalKind.ENDPOINT_FAILED, "cut", ExecutionStatus.UNKNOWN)
        if number % 7 == 6 and run == 0 and call.settings.idempotent:
            return Preempted("half")
        return Reply(200, {}, json.dumps({"run": run, "node": self.node}).encode())

    async def stream(self, call: Call, sink: object) -> None | Refusal:
        """Not used by batch jobs."""
        raise NotImplementedError


@dataclass
class BatchSim:
    """Nodes that share a key-value service, chunks and one simulated clock."""

    size: int = 3
    loop: SimLoop = field(default_factory=SimLoop)
    store: KeyValueStore = field(default_factory=KeyValueStore)
    chunks: dict[ChunkName, tuple[ChunkMeta, bytes]] = field(default_factory=dict)
    dispatched: Counter[str] = field(default_factory=Counter)
    tries: Counter[str] = field(default_factory=Counter)
    dispatches: list[tuple[Call, str, float]] = field(default_factory=list)
    on_dispatch: Callable[[Call, str], None] = lambda call, node: None

    def __post_init__(self) -> None:
        self.registry = CollectorRegistry()
        self.hidden: set[str] = set()
        self.nodes: dict[str, SimNode] = {}
        for number in range(self.size):
            self.start(f"n{number}")

    def start(self, name: str) -> None:
        """Start a process; it may have the name of a crashed one."""
        gate = Gate(self.loop)
        me = NodeInfo(NodeId(name), DomainName("d"), {Service.BATCH: name})  # type: ignore[dict-item]
        view = StaticFleetView(me, snapshot=SettingsSnapshot(teams={TEAM: TEAM_SETTINGS}))
        faults = KeyValueFaults(delay_s=0.002)
        kv = GatedKeyValue(self.loop, store=self.store, faults=faults)
        kv.gate = gate
        chunks: Any = MemoryChunks(gate, self.chunks)
        context = RunnerContext(
            pace=CommitPace(SMALL),
            loop=self.loop,
            node=me.node,
            calls=SimCalls(self, name, gate),
            chunks=chunks,
            records=RecordStore(self.loop, kv),
            limits=SMALL,
            times=ItemDurations(SMALL.items_at_once),
            metrics=BatchMetrics.of(self.registry),
            team_settings=lambda part: TEAM_SETTINGS,
        )
        runtime: Any = SimpleNamespace(loop=self.loop, peers=self, metrics=self.registry)
        supervisor = PartSupervisor(context, kv, view)
        job_service = JobService(runtime, kv, chunks, view, limits=SMALL)
        self.nodes[name] = SimNode(name, gate, view, faults, supervisor, job_service)
        self.hidden.discard(name)
        supervisor.start()
        self.show()

    def crash(self, name: str) -> None:
        """Crash a process for good and update the view of the others at once."""
        self.nodes.pop(name).gate.close()
        self.show()

    def show(self) -> None:
        """Update every node's view with the nodes that are up and not hidden."""
        for node in self.nodes.values():
            others = [
                other.view.me
                for other in self.nodes.values()
                if other.name not in self.hidden and other is not node
            ]
            node.view.set(others=tuple(others))

    def note_dispatch(self, call: Call, node: str) -> None:
        """Record one dispatch."""
        self.dispatched[call.request] += 1
        self.dispatches.append((call, node, self.loop.now()))
        self.on_dispatch(call, node)

    def run(self, coroutine: Coroutine[Any, Any, Any], limit_s: float = 30.0) -> Any:
        """Run a coroutine; ``None`` if it does not end in time."""
        return self.run_task(self.loop.spawn(coroutine), limit_s)

    def run_task(self, task: Task[Any], limit_s: float = 30.0) -> Any:
        """Run until a task has ended; ``None`` if it does not end in time."""
        end_s = self.loop.now() + limit_s
        while not task.done and self.loop.now() < end_s:
            self.loop.run_for(0.05)
        return task.result() if task.done else None

    def submit(self, node: str, key: str, items: int, *, unrepeatable: bool) -> Any:
        """Submit a job at a node; ``unrepeatable`` items must not run twice."""
        task = self.spawn_submit(node, key, items, unrepeatable=unrepeatable)
        return self.run_task(task)

    def spawn_submit(self, node: str, key: str, items: int, *, unrepeatable: bool) -> Task[Any]:
        """Start to submit a job."""
        body = job_body(items, application="cards" if unrepeatable else "")
        job = JobSpec(TEAM, key, KIND, deadline_in_s=3600.0)
        return self.loop.spawn(self.nodes[node].job_service.submit(job, _whole(body)))

    def send_oneway(self, address: str, method: str, message: Any) -> None:
        """Deliver a notice to a process that is up."""
        node = self.nodes.get(address)
        if node is not None and node.gate.closed is None and method == "parts.new":
            for part in message.parts:
                self.loop.spawn(node.supervisor.on_notice(part.key, part.revision))

    async def call(self, address: str, method: str, message: Any, *_: Any) -> Any:
        """Cancel a job at a process, which does not answer while paused."""
        node = self.nodes.get(address)
        await self.loop.sleep(0.002)
        if node is None or node.gate.closed is not None:
            await self.loop.sleep(1.0)
            return PeerFailure(PeerFailureKind.TIMEOUT, "no answer")
        return CancelAnswer(node.supervisor.cancel_job(message.job))

    def job(self, job: JobId) -> JobRecord | None:
        """Return a job record."""
        entry = self.store.get(job_key(TEAM, job))
        return None if entry is None else decode_record(JobRecord, entry.value)

    def committed(self, job: JobId) -> dict[int, bytes]:
        """Return the committed results of a job as any reader would find them."""
        record = self.job(job)
        if record is None:
            return {}
        outcomes = {number: outcome.manifest for number, outcome in record.parts.items()}
        if record.manifest:
            manifest: Any = decode_manifest(JobManifest, self.chunks[record.manifest][1])
            outcomes = {n: outcome.manifest for n, outcome in enumerate(manifest.parts)}
        lines: dict[int, bytes] = defaultdict(bytes)
        for number in range(max(len(record.firsts), len(outcomes))):
            lines |= self._part_lines(job, number, outcomes.get(number))
        return dict(lines)

    def _part_lines(self, job: JobId, part: int, manifest: ChunkName | None) -> dict[int, bytes]:
        entry = self.store.get(part_key(job, PartIndex(part)))
        names: list[ChunkName] = []
        if manifest is None and entry is not None:
            record = decode_record(PartRecord, entry.value)
            manifest = record.manifest or None
            names = list(record.chunks)
        if manifest is not None:
            whole: Any = decode_manifest(PartManifest, self.chunks[manifest][1])
            names = [chunk.name for chunk in whole.chunks]
        return dict(lines_by_index(self.chunks[name][1] for name in names))


async def _whole(body: bytes) -> AsyncIterator[bytes]:
    yield body
