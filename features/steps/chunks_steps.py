"""Steps for the chunk store."""

import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from behave import then, when
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from features.support.loop import run_on_loop
from parsleyrouter.ids import Address, DomainName, JobId, NodeId, PartIndex
from parsleyrouter.outcome import ExecutionStatus, Refusal
from parsleyrouter.process.chunk_client import ChunkClient, ChunkLimits
from parsleyrouter.process.chunk_folder import (
    Chunk,
    ChunkFolder,
    ChunkMeta,
    ChunkRole,
    CorruptChunk,
    chunk_name,
)
from parsleyrouter.process.chunk_placement import disks_of, rank_disks
from parsleyrouter.process.chunk_repair import ChunkRepair
from parsleyrouter.process.chunk_server import ChunkServer
from parsleyrouter.process.fleet_view import NodeInfo, Service, StaticFleetView
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.memory_key_value import MemoryKeyValue

JOB = JobId("job")
PART = PartIndex(3)
ROLE = ChunkRole.RESULTS
FAR_S = 4_000_000_000
WAIT_S = 40.0


def chunk_of(data: bytes) -> Chunk:
    """Return a chunk of the tests' part."""
    name = chunk_name(JOB, PART, ROLE, data)
    return Chunk(ChunkMeta(name, JOB, PART, ROLE, FAR_S, len(data)), data)


class Disks:
    """Disk VMs in one process, each with its folder and its view of the others."""

    def __init__(self, runtime: Runtime, folder: Path, domains: list[str], **server: int) -> None:
        self.runtime = runtime
        self.folder = folder
        self.servers: dict[str, ChunkServer] = {}
        self.infos: dict[str, NodeInfo] = {}
        for number, domain in enumerate(domains):
            self.open(f"s{number}", domain, **server)
        me = NodeInfo(NodeId("n0"), DomainName("d0"))
        self.view = StaticFleetView(me, tuple(self.infos.values()))
        self.kv = MemoryKeyValue(runtime.loop)
        self.client = ChunkClient(runtime, self.view, kv=self.kv)

    def open(self, name: str, domain: str, **server: int) -> None:
        """Open one disk VM."""
        bind = Address("127.0.0.1:0")
        self.servers[name] = ChunkServer(self.runtime, bind, self.folder / name, **server)
        addresses = {Service.STORE: self.servers[name].address()}
        self.infos[name] = NodeInfo(NodeId(name), DomainName(domain), addresses)

    def see(self, *names: str) -> None:
        """Let the client see only these disk VMs."""
        self.view.set(others=tuple(self.infos[name] for name in names))

    def holders(self, name: str) -> set[str]:
        """Return the disk VMs that hold a chunk."""
        return {disk for disk, server in self.servers.items() if name in server.chunks}

    async def put(self, data: bytes) -> Any:
        """Put a chunk through the client."""
        return await self.client.put(JOB, PART, ROLE, data, FAR_S)

    async def get(self, name: Any) -> bytes | None:
        """Get a chunk through the client."""
        return await self.client.get(JOB, PART, ROLE, name)


async def settled(disks: Disks, condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, however slow the disk is; the step after it judges."""
    end_s = time.monotonic() + WAIT_S
    while not condition() and time.monotonic() < end_s:
        await disks.runtime.loop.sleep(0.02)


def with_disks(main: Callable[[Disks], Coroutine[Any, Any, None]], domains: list[str]) -> None:
    """Run a coroutine on new disk VMs."""

    async def start(runtime: Runtime) -> None:
        with tempfile.TemporaryDirectory() as folder:
            await main(Disks(runtime, Path(folder), domains))

    run_on_loop(start)


@when("chunks of any content are written to a folder that is opened again")
def write_and_reopen(context: Any) -> None:
    context.chunk_pairs = []

    @settings(max_examples=25)
    @examples(st.lists(st.binary(max_size=3000), min_size=1, max_size=5, unique=True))
    def check(contents: list[bytes]) -> None:
        with tempfile.TemporaryDirectory() as path:
            chunks = [chunk_of(data) for data in contents]
            assert ChunkFolder(Path(path)).write(chunks) == {}
            unfinished = Path(path) / chunks[0].meta.name[:1] / "x.partial"
            unfinished.write_bytes(b"half")
            reopened = ChunkFolder(Path(path))
            metas = {meta.name: meta for meta in reopened.scan()}
            read = [reopened.read(chunk.meta.name) for chunk in chunks]
            same = metas == {chunk.meta.name: chunk.meta for chunk in chunks}
            context.chunk_pairs.append((same and read == chunks, unfinished.exists()))

    check()


@then("each is read back unchanged and unfinished files are gone")
def read_back(context: Any) -> None:
    assert context.chunk_pairs
    assert set(context.chunk_pairs) == {(True, False)}


@when("any byte of a chunk file is changed or the file is cut")
def damage(context: Any) -> None:
    context.damaged_reads = []

    @settings(max_examples=80)
    @examples(st.binary(min_size=1, max_size=200), st.integers(0, 10_000), st.booleans())
    def check(data: bytes, position: int, cut: bool) -> None:
        with tempfile.TemporaryDirectory() as path:
            chunk = chunk_of(data)
            folder = ChunkFolder(Path(path))
            folder.write([chunk])
            (file,) = Path(path).glob("*/*")
            content = bytearray(file.read_bytes())
            position %= len(content)
            content[position] ^= 0x41
            file.write_bytes(bytes(content[:position] if cut else content))
            try:
                context.damaged_reads.append(folder.read(chunk.meta.name))
            except CorruptChunk:
                context.damaged_reads.append(None)

    check()


@then("reading it reports damage or nothing")
def damage_reported(context: Any) -> None:
    assert context.damaged_reads
    assert set(context.damaged_reads) == {None}


@when("a chunk is put with 5 disk VMs in 3 failure domains")
def put_copies(context: Any) -> None:
    domains = ["a", "a", "b", "b", "c"]

    async def main(disks: Disks) -> None:
        name = await disks.put(b"content")
        context.copies = [disks.infos[disk].domain for disk in disks.holders(name)]

    with_disks(main, domains)


@then("3 copies lie in 3 failure domains")
def three_domains(context: Any) -> None:
    assert sorted(context.copies) == ["a", "b", "c"], context.copies


@when("one copy of a chunk is damaged and the chunk is read")
def damage_copy(context: Any) -> None:
    context.damage_rounds = []

    async def main(disks: Disks) -> None:
        name = await disks.put(b"x" * 5000)
        ranked = rank_disks(JOB, PART, disks_of(disks.view.nodes()))
        for damaged in (ranked[:1], ranked[:2]):
            for disk in damaged:
                (file,) = disks.folder.glob(f"{disk.node}/*/*.chunk")
                content = bytearray(file.read_bytes())
                content[-1] ^= 1
                file.write_bytes(bytes(content))
            data = await disks.get(name)
            await settled(disks, lambda: len(disks.holders(name)) == 3)
            whole = [await server.get(name) for server in disks.servers.values()]
            context.damage_rounds.append((data, [chunk and chunk.data for chunk in whole]))

    with_disks(main, ["a", "b", "c"])


@then("the right bytes are returned and all copies are whole again")
def repaired(context: Any) -> None:
    right = b"x" * 5000
    assert len(context.damage_rounds) == 2
    for data, copies in context.damage_rounds:
        assert data == right
        assert copies == [right] * 3, [copy and len(copy) for copy in copies]


@when("a large chunk is put while one failure domain can be reached")
def put_large(context: Any) -> None:
    async def main(disks: Disks) -> None:
        disks.see("s0", "s1")
        context.refusal = await disks.put(b"x" * 300_000)

    with_disks(main, ["a", "a", "b"])


@then("it is refused and the refusal names the remedy")
def put_refused(context: Any) -> None:
    assert isinstance(context.refusal, Refusal)
    assert context.refusal.ran is ExecutionStatus.NOT_RUN
    assert "bring back disk VMs" in context.refusal.message


@when("small chunks are put while one failure domain can be reached")
def put_small(context: Any) -> None:
    async def main(disks: Disks) -> None:
        disks.client.limits = ChunkLimits(key_value_total_bytes=2500)
        disks.see("s0")
        names = [await disks.put(bytes([n]) * 1000) for n in range(4)]
        disks.see("s1")
        context.small = [
            isinstance(name, Refusal) or await disks.get(name) == bytes([n]) * 1000
            for n, name in enumerate(names)
        ]
        context.small_kept = [not isinstance(name, Refusal) for name in names]

    with_disks(main, ["a", "b"])


@then("they are kept and read back after the disk is lost, up to the byte budget")
def small_kept(context: Any) -> None:
    assert context.small_kept == [True, True, False, False]
    assert all(context.small)


@when("a chunk is put while one of 4 disk VMs is full")
def put_beside_full(context: Any) -> None:
    context.full_runs = []

    async def main(disks: Disks) -> None:
        for number in range(4):
            for server in disks.servers.values():
                server.limit_bytes = 0
            full = disks.servers[f"s{number}"]
            full.limit_bytes = full.stored_bytes + 10
            name = await disks.put(bytes([number]) * 1000)
            context.full_runs.append((f"s{number}", disks.holders(name)))

    with_disks(main, ["a", "b", "c", "d"])


@then("copies lie on three others")
def not_on_full(context: Any) -> None:
    for full, holders in context.full_runs:
        assert full not in holders
        assert len(holders) == 3, holders


async def repairs_of(
    disks: Disks, **repair: float
) -> dict[str, tuple[StaticFleetView, ChunkRepair]]:
    """Give each disk VM a view and repair."""
    made = {}
    for name, server in disks.servers.items():
        others = tuple(info for other, info in disks.infos.items() if other != name)
        view = StaticFleetView(disks.infos[name], others)
        made[name] = (view, ChunkRepair(disks.runtime, view, server, **repair))
    return made


def lose(disks: Disks, repairs: dict[str, tuple[StaticFleetView, ChunkRepair]], *lost: str) -> None:
    """Let the other disk VMs believe that some are gone."""
    for name, (view, _) in repairs.items():
        others = [info for other, info in disks.infos.items() if other not in (name, *lost)]
        view.set(others=tuple(others))


async def put_many(disks: Disks, parts: int) -> list[Any]:
    """Put one chunk for each of some parts."""
    put = disks.client.put
    return [
        await put(JobId(f"job{number}"), PART, ROLE, b"y" * 2000, FAR_S) for number in range(parts)
    ]


@when("a disk VM is lost for good")
def lose_disk(context: Any) -> None:
    async def main(disks: Disks) -> None:
        names = await put_many(disks, 60)
        repairs = await repairs_of(disks, wait_s=0.05)
        lost_chunks = {name for name in names if "s1" in disks.holders(name)}
        lose(disks, repairs, "s1")
        left = {"s0", "s2", "s3"}
        await settled(disks, lambda: all(disks.holders(name) >= left for name in names))
        context.copies_left = [len(disks.holders(name) - {"s1"}) for name in names]
        context.lost_chunks = len(lost_chunks)
        repair = repairs["s0"][1]
        order: list[str] = []
        repair.losses = [iter(["old"]), iter(["new"])]  # type: ignore[list-item]

        async def note(batch: list[str]) -> int:
            order.extend(batch)
            return 0

        repair._copy = note  # type: ignore[method-assign, assignment]
        await repair._work()
        context.repair_order = order

    with_disks(main, ["a", "b", "c", "d"])


@then("its chunks have three copies again and the newest loss was repaired first")
def copies_restored(context: Any) -> None:
    assert context.lost_chunks > 10
    assert set(context.copies_left) == {3}, context.copies_left
    assert context.repair_order == ["new", "old"]


@when("a copy is damaged that nobody reads")
def damage_unread(context: Any) -> None:
    async def main(disks: Disks) -> None:
        name = await disks.put(b"x" * 5000)
        (file,) = disks.folder.glob("s2/*/*.chunk")
        file.write_bytes(file.read_bytes()[:-1] + b"!")
        await repairs_of(disks, wait_s=60.0, audit_s=0.1)
        server = disks.servers["s2"]
        dropped = server.metrics.corrupt._value
        await settled(disks, lambda: dropped.get() > 0 and name in server.chunks)
        whole = await server.get(name)
        context.scrubbed = whole is not None and whole.data

    with_disks(main, ["a", "b", "c"])


@then("the audit finds it and writes it again")
def scrubbed(context: Any) -> None:
    assert context.scrubbed == b"x" * 5000


@when("a disk VM stops as planned")
def stop_disk(context: Any) -> None:
    async def main(disks: Disks) -> None:
        names = await put_many(disks, 60)
        repairs = await repairs_of(disks, wait_s=60.0)
        await repairs["s2"][1].drain()
        context.copies_left = [len(disks.holders(name) - {"s2"}) for name in names]

    with_disks(main, ["a", "b", "c", "d"])


@then("its chunks have three copies without it")
def copies_elsewhere(context: Any) -> None:
    assert set(context.copies_left) == {3}, context.copies_left


@when("a part is released but for one chunk of its results")
def release_part(context: Any) -> None:
    async def main(disks: Disks) -> None:
        put = disks.client.put
        kept = [await disks.put(b"final"), await put(JOB, PART, ChunkRole.MANIFEST, b"m", FAR_S)]
        kept.append(await put(JOB, PartIndex(4), ROLE, b"other part", FAR_S))
        gone = [await disks.put(b"early"), await put(JOB, PART, ChunkRole.INPUT, b"in", FAR_S)]
        disks.client.release(JOB, PART, kept[:1])
        servers = disks.servers.values()
        early = [(server, name) for server in servers for name in gone]
        await settled(disks, lambda: all(s.chunks[n].expires_s < FAR_S for s, n in early))
        context.kept = {server.chunks[name].expires_s for server in servers for name in kept}
        context.gone = {
            server.chunks[name].expires_s < FAR_S for server in servers for name in gone
        }

    with_disks(main, ["a", "b", "c"])


@then("only that chunk and manifests keep their time")
def released(context: Any) -> None:
    assert context.kept == {FAR_S}
    assert context.gone == {True}
