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
EXPIRES_S = 4_000_000_000
WAIT_LIMIT_S = 40.0


def chunk_of(data: bytes) -> Chunk:
    """Return a chunk of the part that the tests use."""
    name = chunk_name(JOB, PART, ROLE, data)
    return Chunk(ChunkMeta(name, JOB, PART, ROLE, EXPIRES_S, len(data)), data)


class Disks:
    """Disk VMs in one process, each with its own folder, and a client."""

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
        """Start one disk VM."""
        bind = Address("127.0.0.1:0")
        self.servers[name] = ChunkServer(self.runtime, bind, self.folder / name, **server)
        addresses = {Service.STORE: self.servers[name].address()}
        self.infos[name] = NodeInfo(NodeId(name), DomainName(domain), addresses)

    def set_visible(self, *names: str) -> None:
        """Make only these disk VMs visible to the client."""
        self.view.set(others=tuple(self.infos[name] for name in names))

    def holders(self, name: str) -> set[str]:
        """Return the disk VMs that hold a chunk."""
        return {disk for disk, server in self.servers.items() if name in server.chunks}

    async def put(self, data: bytes) -> Any:
        """Put a chunk through the client."""
        return await self.client.put(JOB, PART, ROLE, data, EXPIRES_S)

    async def get(self, name: Any) -> bytes | None:
        """Get a chunk through the client."""
        return await self.client.get(JOB, PART, ROLE, name)


async def wait_until_true(disks: Disks, condition: Callable[[], bool]) -> None:
    """Wait until a condition holds or the limit passes; the following step checks it.

    The limit is generous because disks may be slow.
    """
    end_s = time.monotonic() + WAIT_LIMIT_S
    while not condition() and time.monotonic() < end_s:
        await disks.runtime.loop.sleep(0.02)


def with_disks(main: Callable[[Disks], Coroutine[Any, Any, None]], domains: list[str]) -> None:
    """Run a coroutine on new disk VMs."""

    async def start(runtime: Runtime) -> None:
        # Threads of the disk VMs may still write while the folder is removed.
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
            await main(Disks(runtime, Path(folder), domains))

    run_on_loop(start)


@when("chunks of any content are written to a folder that is opened again")
def write_and_reopen(context: Any) -> None:
    context.folder_checks = []

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
            context.folder_checks.append((same and read == chunks, unfinished.exists()))

    check()


@then("each chunk is read unchanged and unfinished files are deleted")
def read_back(context: Any) -> None:
    assert context.folder_checks
    assert set(context.folder_checks) == {(True, False)}


@when("any byte of a chunk file is changed or the file is truncated")
def damage(context: Any) -> None:
    context.damaged_reads = []

    @settings(max_examples=80)
    @examples(st.binary(min_size=1, max_size=200), st.integers(0, 10_000), st.booleans())
    def check(data: bytes, position: int, truncate: bool) -> None:
        with tempfile.TemporaryDirectory() as path:
            chunk = chunk_of(data)
            folder = ChunkFolder(Path(path))
            folder.write([chunk])
            (file,) = Path(path).glob("*/*")
            content = bytearray(file.read_bytes())
            position %= len(content)
            content[position] ^= 0x41
            file.write_bytes(bytes(content[:position] if truncate else content))
            try:
                context.damaged_reads.append(folder.read(chunk.meta.name))
            except CorruptChunk:
                context.damaged_reads.append(None)

    check()


@then("a read reports corruption or no chunk")
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


@then("3 copies are stored in 3 failure domains")
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
            await wait_until_true(disks, lambda: len(disks.holders(name)) == 3)
            intact = [await server.get(name) for server in disks.servers.values()]
            context.damage_rounds.append((data, [chunk and chunk.data for chunk in intact]))

    with_disks(main, ["a", "b", "c"])


@then("the original bytes are returned and all copies are intact again")
def repaired(context: Any) -> None:
    right = b"x" * 5000
    assert len(context.damage_rounds) == 2
    for data, copies in context.damage_rounds:
        assert data == right
        assert copies == [right] * 3, [copy and len(copy) for copy in copies]


@when("a large chunk is put while only one failure domain is reachable")
def put_large(context: Any) -> None:
    async def main(disks: Disks) -> None:
        disks.set_visible("s0", "s1")
        context.refusal = await disks.put(b"x" * 300_000)

    with_disks(main, ["a", "a", "b"])


@then("it is refused with instructions to correct the problem")
def put_refused(context: Any) -> None:
    assert isinstance(context.refusal, Refusal)
    assert context.refusal.ran is ExecutionStatus.NOT_RUN
    assert "bring back disk VMs" in context.refusal.message


@when("small chunks are put while only one failure domain is reachable")
def put_small(context: Any) -> None:
    async def main(disks: Disks) -> None:
        disks.client.limits = ChunkLimits(key_value_total_bytes=2500)
        disks.set_visible("s0")
        names = [await disks.put(bytes([n]) * 1000) for n in range(4)]
        disks.set_visible("s1")
        context.small = [
            isinstance(name, Refusal) or await disks.get(name) == bytes([n]) * 1000
            for n, name in enumerate(names)
        ]
        context.small_kept = [not isinstance(name, Refusal) for name in names]

    with_disks(main, ["a", "b"])


@then("they can be read after the disk is lost, up to the byte limit")
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


@then("copies are stored on the three others")
def skips_full(context: Any) -> None:
    for full, holders in context.full_runs:
        assert full not in holders
        assert len(holders) == 3, holders


async def repairs_of(
    disks: Disks, **repair: float
) -> dict[str, tuple[StaticFleetView, ChunkRepair]]:
    """Give each disk VM a fleet view and a repair process."""
    made = {}
    for name, server in disks.servers.items():
        others = tuple(info for other, info in disks.infos.items() if other != name)
        view = StaticFleetView(disks.infos[name], others)
        made[name] = (view, ChunkRepair(disks.runtime, view, server, **repair))
    return made


def lose(
    disks: Disks, repairs: dict[str, tuple[StaticFleetView, ChunkRepair]], *lost_names: str
) -> None:
    """Remove some disk VMs from the views of the others."""
    for name, (view, _) in repairs.items():
        others = [info for other, info in disks.infos.items() if other not in (name, *lost_names)]
        view.set(others=tuple(others))


async def put_many(disks: Disks, parts: int) -> list[Any]:
    """Put one chunk for each of several parts."""
    put = disks.client.put
    return [
        await put(JobId(f"job{number}"), PART, ROLE, b"y" * 2000, EXPIRES_S)
        for number in range(parts)
    ]


@when("a disk VM is lost permanently")
def lose_disk(context: Any) -> None:
    async def main(disks: Disks) -> None:
        names = await put_many(disks, 60)
        repairs = await repairs_of(disks, restart_grace_s=0.05)
        lost_chunks = {name for name in names if "s1" in disks.holders(name)}
        lose(disks, repairs, "s1")
        left = {"s0", "s2", "s3"}
        await wait_until_true(disks, lambda: all(disks.holders(name) >= left for name in names))
        context.remaining_copies = [len(disks.holders(name) - {"s1"}) for name in names]
        context.lost_chunks = len(lost_chunks)
        repair = repairs["s0"][1]
        order: list[str] = []
        repair.repair_queues = [iter(["old"]), iter(["new"])]  # type: ignore[list-item]

        async def note(batch: list[str]) -> int:
            order.extend(batch)
            return 0

        repair._copy = note  # type: ignore[method-assign, assignment]
        await repair._run_repairs()
        context.repair_order = order

    with_disks(main, ["a", "b", "c", "d"])


@then("its chunks have three copies again and the newest loss was repaired first")
def copies_restored(context: Any) -> None:
    assert context.lost_chunks > 10
    assert set(context.remaining_copies) == {3}, context.remaining_copies
    assert context.repair_order == ["new", "old"]


@when("a copy is damaged and no client reads it")
def damage_unread(context: Any) -> None:
    async def main(disks: Disks) -> None:
        name = await disks.put(b"x" * 5000)
        (file,) = disks.folder.glob("s2/*/*.chunk")
        file.write_bytes(file.read_bytes()[:-1] + b"!")
        await repairs_of(disks, restart_grace_s=60.0, scrub_interval_s=0.1)
        server = disks.servers["s2"]
        dropped = server.metrics.corrupt._value
        await wait_until_true(disks, lambda: dropped.get() > 0 and name in server.chunks)
        intact = await server.get(name)
        context.scrubbed_data = intact is not None and intact.data

    with_disks(main, ["a", "b", "c"])


@then("scrubbing detects it and restores the copy")
def scrubbed(context: Any) -> None:
    assert context.scrubbed_data == b"x" * 5000


@when("a disk VM shuts down gracefully")
def stop_disk(context: Any) -> None:
    async def main(disks: Disks) -> None:
        names = await put_many(disks, 60)
        repairs = await repairs_of(disks, restart_grace_s=60.0)
        await repairs["s2"][1].drain()
        context.remaining_copies = [len(disks.holders(name) - {"s2"}) for name in names]

    with_disks(main, ["a", "b", "c", "d"])


@then("its chunks have three copies without it")
def copies_elsewhere(context: Any) -> None:
    assert set(context.remaining_copies) == {3}, context.remaining_copies


@when("a part is released except for one chunk of its results")
def release_part(context: Any) -> None:
    async def main(disks: Disks) -> None:
        put = disks.client.put
        kept = [
            await disks.put(b"final"),
            await put(JOB, PART, ChunkRole.MANIFEST, b"m", EXPIRES_S),
        ]
        kept.append(await put(JOB, PartIndex(4), ROLE, b"other part", EXPIRES_S))
        released_names = [
            await disks.put(b"early"),
            await put(JOB, PART, ChunkRole.INPUT, b"in", EXPIRES_S),
        ]
        disks.client.release(JOB, PART, kept[:1])
        servers = disks.servers.values()
        early = [(server, name) for server in servers for name in released_names]
        await wait_until_true(
            disks, lambda: all(s.chunks[n].expires_s < EXPIRES_S for s, n in early)
        )
        context.kept_expiries = {
            server.chunks[name].expires_s for server in servers for name in kept
        }
        context.released_expire_early = {
            server.chunks[name].expires_s < EXPIRES_S
            for server in servers
            for name in released_names
        }

    with_disks(main, ["a", "b", "c"])


@then("only that chunk and manifests keep their expiry time")
def released(context: Any) -> None:
    assert context.kept_expiries == {EXPIRES_S}
    assert context.released_expire_early == {True}
