"""Write lost copies of chunks again, from the disk VMs that still hold them."""

import logging
from collections.abc import Iterable, Iterator, Mapping
from itertools import islice

from parsleyrouter.connection.peer import PeerFailure
from parsleyrouter.ids import ChunkName, NodeId
from parsleyrouter.process.chunk_folder import Chunk, ChunkMeta, CorruptChunk
from parsleyrouter.process.chunk_placement import Disk, choose_disks, disks_of, rank_disks
from parsleyrouter.process.chunk_server import ChunkServer
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.chunks.ttypes import (
    MissingAnswer,
    MissingQuery,
    PutAnswer,
    PutChunk,
)

__all__ = ["ChunkRepair", "affected_chunks", "copies_by_disk"]

log = logging.getLogger(__name__)

NAMES_AT_ONCE = 100
ASK_TIMEOUT_S = 2.0
PUT_TIMEOUT_S = 5.0
DRAIN_RETRY_S = 1.0
MEGABYTE_BYTES = 1_000_000


def affected_chunks(
    chunks: Iterable[ChunkMeta], disks: Iterable[Disk], lost: Disk
) -> list[ChunkMeta]:
    """Return the chunks of which a lost disk VM should have held a copy."""
    before = [*disks, lost]
    return [
        meta for meta in chunks if lost in choose_disks(rank_disks(meta.job, meta.part, before))
    ]


def copies_by_disk(
    chunks: Iterable[ChunkMeta], disks: Iterable[Disk], me: NodeId
) -> dict[Disk, list[ChunkMeta]]:
    """Return by disk VM the chunks that it should hold, this one excepted."""
    others = list(disks)
    wanted: dict[Disk, list[ChunkMeta]] = {}
    for meta in chunks:
        for disk in choose_disks(rank_disks(meta.job, meta.part, others)):
            if disk.node != me:
                wanted.setdefault(disk, []).append(meta)
    return wanted


class ChunkRepair:
    """Repair after losses, the newest first, at a limited rate; restarts are waited out."""

    def __init__(
        self,
        runtime: Runtime,
        view: FleetView,
        server: ChunkServer,
        *,
        mb_per_s: float = 8.0,
        wait_s: float = 60.0,
        audit_s: float = 86400.0,
    ) -> None:
        self.runtime = runtime
        self.view = view
        self.server = server
        self.bytes_per_s = mb_per_s * MEGABYTE_BYTES
        self.wait_s = wait_s
        self.me = view.self_node().node
        self.disks: Mapping[NodeId, Disk] = {}
        self.losses: list[Iterator[ChunkMeta]] = []
        self.working = False
        self.draining = False
        self.audit_s = audit_s
        runtime.loop.call_later(audit_s, self._audit)
        view.on_change(self._on_view)
        self._on_view()

    async def drain(self) -> None:
        """Copy what this disk VM holds until the others can do without it; a stop hook."""
        self.draining = True
        left = list(self.server.chunks.values())
        while left:
            if not [disk for disk in self._others() if not disk.leaving]:
                log.warning("no other disk VM: chunks stay here", extra={"chunks": len(left)})
                return
            batch, left = left[:NAMES_AT_ONCE], left[NAMES_AT_ONCE:]
            if await self._copy(batch):
                left += batch
                await self.runtime.loop.sleep(DRAIN_RETRY_S)

    def _on_view(self) -> None:
        now = {disk.node: disk for disk in disks_of(self.view.nodes())}
        for node, disk in self.disks.items():
            if node not in now and node != self.me:
                self.runtime.loop.call_later(self.wait_s, lambda disk=disk: self._lost(disk))
        self.disks = now

    def _lost(self, disk: Disk) -> None:
        if disk.node in self.disks:
            return
        chunks = affected_chunks(self.server.chunks.values(), self.disks.values(), disk)
        log.info("copies lost", extra={"disk": disk.node, "chunks": len(chunks)})
        self.losses.append(iter(chunks))
        self._begin()

    def _audit(self) -> None:
        """Read all chunks and look for missing copies, after every known loss."""
        self.losses.insert(0, iter(list(self.server.chunks.values())))
        self.runtime.loop.spawn(self._read_all(), "check chunks")
        self._begin()
        self.runtime.loop.call_later(self.audit_s, self._audit)

    async def _read_all(self) -> None:
        """Read every chunk once, so that a damaged one is dropped and sent by another disk VM."""
        for meta in list(self.server.chunks.values()):
            await self._read(meta.name)
            await self.runtime.loop.sleep(meta.bytes / self.bytes_per_s)

    def _begin(self) -> None:
        if not self.working:
            self.working = True
            self.runtime.loop.spawn(self._work(), "repair chunks")

    async def _work(self) -> None:
        while self.losses:
            newest = self.losses[-1]
            batch = list(islice(newest, NAMES_AT_ONCE))
            if batch:
                await self._copy(batch)
            else:
                self.losses.remove(newest)
        self.working = False

    def _others(self) -> list[Disk]:
        return [disk for disk in self.disks.values() if disk.node != self.me]

    async def _copy(self, chunks: list[ChunkMeta]) -> int:
        """Send each disk VM what it lacks; return how many copies could not be made."""
        holders = [disk for disk in self.disks.values() if not disk.leaving]
        if self.draining:
            holders = [disk for disk in holders if disk.node != self.me]
        failed = 0
        for disk, metas in copies_by_disk(chunks, holders, self.me).items():
            lacking = await self._lacking(disk, metas)
            if lacking is None:
                failed += len(metas)
                continue
            for name in lacking:
                failed += not await self._send(disk, name)
        return failed

    async def _lacking(self, disk: Disk, metas: list[ChunkMeta]) -> list[ChunkName] | None:
        query = MissingQuery([meta.name for meta in metas])
        answer = await self.runtime.peers.call(
            disk.address, "chunks.missing", query, MissingAnswer, ASK_TIMEOUT_S
        )
        if isinstance(answer, PeerFailure):
            return None
        return [ChunkName(name) for name in answer.names]

    async def _send(self, disk: Disk, name: ChunkName) -> bool:
        chunk = await self._read(name)
        if chunk is None:
            return True
        await self.runtime.loop.sleep(chunk.meta.bytes / self.bytes_per_s)
        meta = chunk.meta
        request = PutChunk(name, chunk.data, meta.job, meta.part, meta.expires_s, meta.role.value)
        answer = await self.runtime.peers.call(
            disk.address, "chunks.put", request, PutAnswer, PUT_TIMEOUT_S
        )
        stored = not isinstance(answer, PeerFailure) and answer.stored
        self.server.metrics.repaired.inc(stored)
        return stored

    async def _read(self, name: ChunkName) -> Chunk | None:
        try:
            return await self.server.get(name)
        except CorruptChunk:
            return None
