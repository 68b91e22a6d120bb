"""Restore lost copies of chunks from the disk VMs that still hold them."""

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

__all__ = ["ChunkRepair", "affected_chunks", "chunks_by_disk"]

log = logging.getLogger(__name__)

BATCH_CHUNKS = 100
QUERY_TIMEOUT_S = 2.0
PUT_TIMEOUT_S = 5.0
DRAIN_RETRY_S = 1.0
MEGABYTE_BYTES = 1_000_000


def affected_chunks(
    chunks: Iterable[ChunkMeta], disks: Iterable[Disk], lost: Disk
) -> list[ChunkMeta]:
    """Return the chunks of which a lost disk VM was assigned a copy."""
    before = [*disks, lost]
    return [
        meta for meta in chunks if lost in choose_disks(rank_disks(meta.job, meta.part, before))
    ]


def chunks_by_disk(
    chunks: Iterable[ChunkMeta], disks: Iterable[Disk], me: NodeId
) -> dict[Disk, list[ChunkMeta]]:
    """Return the chunks assigned to each disk VM except this one."""
    candidates = list(disks)
    assigned: dict[Disk, list[ChunkMeta]] = {}
    for meta in chunks:
        for disk in choose_disks(rank_disks(meta.job, meta.part, candidates)):
            if disk.node != me:
                assigned.setdefault(disk, []).append(meta)
    return assigned


class ChunkRepair:
    """Restore copies at a limited rate, those of the newest loss first.

    Repair of a lost disk VM starts after a grace time, since it may only be restarting.
    """

    def __init__(
        self,
        runtime: Runtime,
        view: FleetView,
        server: ChunkServer,
        *,
        mb_per_s: float = 8.0,
        restart_grace_s: float = 60.0,
        scrub_interval_s: float = 86400.0,
    ) -> None:
        self.runtime = runtime
        self.view = view
        self.server = server
        self.bytes_per_s = mb_per_s * MEGABYTE_BYTES
        self.restart_grace_s = restart_grace_s
        self.me = view.self_node().node
        self.disks: Mapping[NodeId, Disk] = {}
        self.repair_queues: list[Iterator[ChunkMeta]] = []
        self.repairing = False
        self.draining = False
        self.scrub_interval_s = scrub_interval_s
        runtime.loop.call_later(scrub_interval_s, self._scrub)
        view.on_change(self._on_view_change)
        self._on_view_change()

    async def drain(self) -> None:
        """Copy all chunks of this disk VM to others before it stops; a stop hook."""
        self.draining = True
        remaining = list(self.server.chunks.values())
        while remaining:
            if not [disk for disk in self._others() if not disk.leaving]:
                log.warning(
                    "no other disk VM accepts copies; chunks stay on this one only",
                    extra={"chunks": len(remaining)},
                )
                return
            batch, remaining = remaining[:BATCH_CHUNKS], remaining[BATCH_CHUNKS:]
            if await self._copy(batch):
                remaining += batch
                await self.runtime.loop.sleep(DRAIN_RETRY_S)

    def _on_view_change(self) -> None:
        current = {disk.node: disk for disk in disks_of(self.view.nodes())}
        for node, disk in self.disks.items():
            if node not in current and node != self.me:
                self.runtime.loop.call_later(
                    self.restart_grace_s, lambda disk=disk: self._on_disk_lost(disk)
                )
        self.disks = current

    def _on_disk_lost(self, disk: Disk) -> None:
        if disk.node in self.disks:
            return
        chunks = affected_chunks(self.server.chunks.values(), self.disks.values(), disk)
        log.info(
            "disk VM lost; restoring copies of its chunks",
            extra={"disk": disk.node, "chunks": len(chunks)},
        )
        self.repair_queues.append(iter(chunks))
        self._start_repairs()

    def _scrub(self) -> None:
        """Verify all chunks, and look for missing copies once all known losses are repaired."""
        self.repair_queues.insert(0, iter(list(self.server.chunks.values())))
        self.runtime.loop.spawn(self._verify_all(), "check chunks")
        self._start_repairs()
        self.runtime.loop.call_later(self.scrub_interval_s, self._scrub)

    async def _verify_all(self) -> None:
        """Read every chunk; a damaged one is deleted, and another disk VM will send it again."""
        for meta in list(self.server.chunks.values()):
            await self._read(meta.name)
            await self.runtime.loop.sleep(meta.bytes / self.bytes_per_s)

    def _start_repairs(self) -> None:
        if not self.repairing:
            self.repairing = True
            self.runtime.loop.spawn(self._run_repairs(), "repair chunks")

    async def _run_repairs(self) -> None:
        while self.repair_queues:
            newest = self.repair_queues[-1]
            batch = list(islice(newest, BATCH_CHUNKS))
            if batch:
                await self._copy(batch)
            else:
                self.repair_queues.remove(newest)
        self.repairing = False

    def _others(self) -> list[Disk]:
        return [disk for disk in self.disks.values() if disk.node != self.me]

    async def _copy(self, chunks: list[ChunkMeta]) -> int:
        """Send each disk VM its missing chunks; return how many copies failed."""
        holders = [disk for disk in self.disks.values() if not disk.leaving]
        if self.draining:
            holders = [disk for disk in holders if disk.node != self.me]
        failed = 0
        for disk, metas in chunks_by_disk(chunks, holders, self.me).items():
            missing = await self._missing_on(disk, metas)
            if missing is None:
                failed += len(metas)
                continue
            for name in missing:
                failed += not await self._send(disk, name)
        return failed

    async def _missing_on(self, disk: Disk, metas: list[ChunkMeta]) -> list[ChunkName] | None:
        query = MissingQuery([meta.name for meta in metas])
        answer = await self.runtime.peers.call(
            disk.address, "chunks.missing", query, MissingAnswer, QUERY_TIMEOUT_S
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
