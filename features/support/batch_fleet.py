"""A small batch fleet in the test process: disk VMs, batch processes and entries."""

import json
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path

from parsleyrouter.ids import Address, DomainName, JobId, KindName, NodeId, TeamName
from parsleyrouter.outcome import Refusal
from parsleyrouter.process.batch_limits import BatchLimits
from parsleyrouter.process.batch_runner import BatchRunner
from parsleyrouter.process.call_port import Call, Preempted, Reply
from parsleyrouter.process.chunk_client import ChunkClient, ChunkLimits
from parsleyrouter.process.chunk_server import ChunkServer
from parsleyrouter.process.fleet_view import NodeInfo, Service, StaticFleetView
from parsleyrouter.process.job_port import JobSpec, JobState, JobStatus
from parsleyrouter.process.job_service import JobService
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.key_value_faults import KeyValueFaults
from parsleyrouter.standins.key_value_store import KeyValueStore
from parsleyrouter.standins.memory_key_value import MemoryKeyValue
from parsleyrouter.version.schema import ApplicationSettings, KindClass, KindSettings, TeamSettings
from parsleyrouter.version.snapshot import SettingsSnapshot

TEAM = TeamName("nkabom")
KIND = KindName("introductions")
ANY_PORT = Address("127.0.0.1:0")
FAST = BatchLimits(
    shard_digits=1,
    flush_s=0.02,
    commit_s=0.05,
    idle_commit_s=1.0,
    scan_s=0.3,
    retry_s=0.01,
    retry_limit_s=0.1,
)
TEAM_SETTINGS = TeamSettings(
    kinds={KIND: KindSettings(kind_class=KindClass.BATCH)},
    applications={"cards": ApplicationSettings(no_repeat=["print"])},
)

Answer = Callable[[Call, int], Reply | Refusal | Preempted]


def ok_answer(call: Call, run: int) -> Reply:
    """Answer every call successfully."""
    return Reply(200, {}, b'{"usage": {"prompt_tokens": 2, "completion_tokens": 3}}')


@dataclass
class FakeCalls:
    """Answer calls after a delay; count the dispatches of each request in the whole fleet."""

    runtime: Runtime
    dispatched: Counter[str] = field(default_factory=Counter)
    answer: Answer = ok_answer
    time_s: float = 0.0
    running: int = 0
    calls: list[Call] = field(default_factory=list)

    async def run(
        self, call: Call, *, on_dispatch: Callable[[], None] | None = None
    ) -> Reply | Refusal | Preempted:
        """Dispatch and answer one call."""
        if on_dispatch is not None:
            on_dispatch()
        self.dispatched[call.request] += 1
        self.calls.append(call)
        self.running += 1
        try:
            await self.runtime.loop.sleep(self.time_s)
            return self.answer(call, self.dispatched[call.request])
        finally:
            self.running -= 1

    async def stream(self, call: Call, sink: object) -> None | Refusal:
        """Not used by batch jobs."""
        raise NotImplementedError


@dataclass
class Node:
    """One batch process of the fleet."""

    name: str
    view: StaticFleetView
    faults: KeyValueFaults
    runner: BatchRunner
    job_service: JobService
    calls: FakeCalls


class BatchFleet:
    """Disk VMs, each in its own failure domain, and nodes that accept and run jobs."""

    def __init__(
        self,
        runtime: Runtime,
        folder: Path,
        *,
        stores: int = 3,
        nodes: int = 1,
        limits: BatchLimits = FAST,
        chunk_limits: ChunkLimits | None = None,
    ) -> None:
        self.runtime = runtime
        self.folder = folder
        self.limits = limits
        self.chunk_limits = chunk_limits
        self.store = KeyValueStore()
        self.dispatched: Counter[str] = Counter()
        self.snapshot = SettingsSnapshot(teams={TEAM: TEAM_SETTINGS})
        self.stores = [self.open_store(number) for number in range(stores)]
        self.infos: dict[str, NodeInfo] = {f"s{n}": self.store_info(n) for n in range(stores)}
        self.nodes: dict[str, Node] = {}
        for number in range(nodes):
            self.add_node(f"n{number}")

    def open_store(self, number: int) -> ChunkServer:
        """Open the chunk server of a disk VM on its folder."""
        return ChunkServer(self.runtime, ANY_PORT, self.folder / f"s{number}")

    def store_info(self, number: int) -> NodeInfo:
        """Return the entry of a disk VM in the fleet view."""
        addresses = {Service.STORE: self.stores[number].address()}
        return NodeInfo(NodeId(f"s{number}"), DomainName(f"d{number}"), addresses)

    def add_node(self, name: str) -> Node:
        """Add a node that accepts and runs jobs."""
        me = NodeInfo(NodeId(name), DomainName("d0"), {Service.BATCH: ANY_PORT})
        view = StaticFleetView(me, snapshot=self.snapshot)
        faults = KeyValueFaults()
        kv = MemoryKeyValue(self.runtime.loop, store=self.store, faults=faults)
        chunks = ChunkClient(self.runtime, view, kv=kv, limits=self.chunk_limits)
        calls = FakeCalls(self.runtime, self.dispatched)
        runner = BatchRunner(self.runtime, ANY_PORT, kv, chunks, view, calls, limits=self.limits)
        job_service = JobService(self.runtime, kv, chunks, view, limits=self.limits)
        view.me = NodeInfo(NodeId(name), DomainName("d0"), {Service.BATCH: runner.address()})
        node = self.nodes[name] = Node(name, view, faults, runner, job_service, calls)
        self.infos[name] = view.me
        self.show()
        return node

    def show(self) -> None:
        """Update the fleet view of every node."""
        for node in self.nodes.values():
            others = tuple(info for name, info in self.infos.items() if name != node.name)
            node.view.set(others=others)

    def hide(self, name: str) -> None:
        """Remove a node from the fleet view of the others, as if it were down."""
        del self.infos[name]
        for node in self.nodes.values():
            if node.name != name:
                others = tuple(info for other, info in self.infos.items() if other != node.name)
                node.view.set(others=others)

    async def until(self, condition: Callable[[], bool], limit_s: float = 30.0) -> None:
        """Wait until a condition holds."""
        end_s = time.monotonic() + limit_s
        while not condition():
            assert time.monotonic() < end_s, "the condition did not hold in time"
            await self.runtime.loop.sleep(0.01)

    async def ended(self, job_service: JobService, job: JobId, limit_s: float = 30.0) -> JobStatus:
        """Wait until a job has ended and every item has its result."""
        end_s = time.monotonic() + limit_s
        while True:
            status = await job_service.status(TEAM, job)
            whole = isinstance(status, JobStatus) and status.done == status.items
            if whole and status.state is not JobState.RUNNING:
                return status
            assert time.monotonic() < end_s, f"job did not end: {status}"
            await self.runtime.loop.sleep(0.02)


def item_line(number: int, *, application: str = "", path: str = "print") -> bytes:
    """Return the line of one item."""
    url = f"/v1/services/{application}/{path}" if application else "/v1/chat/completions"
    body = {"model": "m", "messages": [{"role": "user", "content": f"hello {number}"}]}
    return json.dumps({"custom_id": f"c{number}", "url": url, "body": body}).encode() + b"\n"


def job_body(items: int, *, application: str = "", path: str = "print") -> bytes:
    """Return the lines of a job."""
    lines = (item_line(number, application=application, path=path) for number in range(items))
    return b"".join(lines)


async def pieces(data: bytes, size: int = 50_000) -> AsyncIterator[bytes]:
    """Yield bytes in pieces."""
    for start in range(0, len(data), size):
        yield data[start : start + size]


def spec(key: str = "k1", *, deadline_in_s: float = 3600.0) -> JobSpec:
    """Return a job's description."""
    return JobSpec(TEAM, key, KIND, deadline_in_s)


async def read_all(job_service: JobService, job: JobId, limit_bytes: int = 100_000) -> list[dict]:
    """Read every committed result in pages."""
    lines: list[dict] = []
    offset = 0
    while True:
        page = await job_service.results(TEAM, job, offset, limit_bytes)
        assert not isinstance(page, Refusal), page
        lines += [json.loads(line) for line in page.lines.splitlines()]
        if page.complete or page.next_offset == offset:
            return lines
        offset = page.next_offset
