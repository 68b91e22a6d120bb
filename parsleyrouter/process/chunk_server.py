"""Serve the chunks of one disk VM; placement and ownership are decided by the callers."""

import itertools
import time
from collections import defaultdict
from dataclasses import replace
from pathlib import Path

from parsleyrouter.connection.peer import PeerMethods, PeerServer
from parsleyrouter.ids import Address, ChunkName, JobId, PartIndex
from parsleyrouter.process.batch_metrics import BatchMetrics
from parsleyrouter.process.chunk_folder import (
    EXPIRY_SLACK_S,
    Chunk,
    ChunkFolder,
    ChunkMeta,
    ChunkRole,
    CorruptChunk,
    chunk_name,
)
from parsleyrouter.process.loop import Promise
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.chunks.ttypes import (
    ChunkAnswer,
    ChunkInfo,
    ChunkList,
    GetChunk,
    ListChunks,
    MissingAnswer,
    MissingQuery,
    PutAnswer,
    PutChunk,
    ReleaseChunks,
)

__all__ = ["CHUNK_METHODS", "ChunkServer"]

CHUNK_METHODS = PeerMethods()
EXPIRY_CHECK_INTERVAL_S = 60.0
MAX_EXPIRED_PER_CHECK = 5000
RELEASED_TTL_S = 3600
CORRUPT = "corrupt"
_SERVER_NUMBERS = itertools.count()


class ChunkServer:
    """Serve the chunks of one data folder; concurrent writes share one blocking call."""

    def __init__(
        self, runtime: Runtime, bind: Address, folder: Path, *, limit_bytes: int = 0
    ) -> None:
        self.runtime = runtime
        self.folder = ChunkFolder(folder)
        self.limit_bytes = limit_bytes
        self.chunks: dict[ChunkName, ChunkMeta] = {}
        self.by_part: dict[tuple[JobId, PartIndex], set[ChunkName]] = defaultdict(set)
        self.stored_bytes = 0
        self.pending_writes: list[tuple[Chunk, Promise[str]]] = []
        self.writing = False
        self.metrics = BatchMetrics.of(runtime.metrics)
        for meta in self.folder.scan():
            self._index(meta)
        self.peer = PeerServer(
            runtime.loop, bind, CHUNK_METHODS, self, channel=f"chunks-{next(_SERVER_NUMBERS)}"
        )
        self.peer.register(runtime)
        runtime.loop.call_later(EXPIRY_CHECK_INTERVAL_S, self._expire)

    def address(self) -> Address:
        """Return the bound address."""
        return self.peer.bound_address()

    async def put(self, chunk: Chunk) -> str:
        """Store a chunk; return why it was refused, or an empty string once it is on disk."""
        meta = chunk.meta
        if chunk_name(meta.job, meta.part, meta.role, chunk.data) != meta.name:
            return "content does not match the name: send the chunk again"
        existing = self.chunks.get(meta.name)
        if existing is not None and existing.expires_s >= meta.expires_s - EXPIRY_SLACK_S:
            return ""
        if self.limit_bytes and self.stored_bytes + meta.bytes > self.limit_bytes:
            return "disk full: raise --limit-gb or add a disk VM"
        stored: Promise[str] = self.runtime.loop.promise()
        self.pending_writes.append((chunk, stored))
        if not self.writing:
            self.writing = True
            self.runtime.loop.spawn(self._write_pending(), "write chunks")
        return await stored

    async def get(self, name: ChunkName) -> Chunk | None:
        """Return a chunk; delete a damaged one and raise ``CorruptChunk``."""
        if name not in self.chunks:
            return None
        try:
            return await self.runtime.loop.run_blocking(lambda: self.folder.read(name))
        except CorruptChunk:
            self.metrics.corrupt.inc()
            self._unindex(name)
            await self.runtime.loop.run_blocking(lambda: self.folder.delete([name]))
            raise

    def list_part(self, job: JobId, part: PartIndex, role: str = "") -> list[ChunkMeta]:
        """Return the chunks stored for a part, ordered by name."""
        names = sorted(self.by_part.get((job, part), ()))
        found = [self.chunks[name] for name in names]
        return [meta for meta in found if role in ("", meta.role.value)]

    def release(self, job: JobId, part: PartIndex, keep: set[ChunkName]) -> None:
        """Let the input and results of a part expire soon, except ``keep`` and manifests.

        The new expiry time is lost when this process restarts.
        """
        soon_s = int(time.time()) + RELEASED_TTL_S
        for meta in self.list_part(job, part):
            releasable = meta.role is not ChunkRole.MANIFEST and meta.name not in keep
            if releasable and meta.expires_s > soon_s:
                self.chunks[meta.name] = replace(meta, expires_s=soon_s)

    async def _write_pending(self) -> None:
        while self.pending_writes:
            batch, self.pending_writes = self.pending_writes, []
            chunks = [chunk for chunk, _ in batch]
            refusals = await self.runtime.loop.run_blocking(lambda c=chunks: self.folder.write(c))
            for chunk, stored in batch:
                refusal = refusals.get(chunk.meta.name, "")
                if not refusal:
                    self._index(chunk.meta)
                stored.resolve(refusal)
        self.writing = False

    def _index(self, meta: ChunkMeta) -> None:
        self._unindex(meta.name)
        self.chunks[meta.name] = meta
        self.by_part[meta.job, meta.part].add(meta.name)
        self.stored_bytes += meta.bytes
        self.metrics.chunks.inc()
        self.metrics.chunk_bytes.inc(meta.bytes)

    def _unindex(self, name: ChunkName) -> None:
        meta = self.chunks.pop(name, None)
        if meta is None:
            return
        self.stored_bytes -= meta.bytes
        self.metrics.chunks.dec()
        self.metrics.chunk_bytes.dec(meta.bytes)
        names = self.by_part[meta.job, meta.part]
        names.discard(name)
        if not names:
            del self.by_part[meta.job, meta.part]

    def _expire(self) -> None:
        now = time.time()
        expired = [name for name, meta in self.chunks.items() if meta.expires_s < now][
            :MAX_EXPIRED_PER_CHECK
        ]
        for name in expired:
            self._unindex(name)
        if expired:
            self.runtime.loop.run_blocking(lambda: self.folder.delete(expired))
        self.runtime.loop.call_later(EXPIRY_CHECK_INTERVAL_S, self._expire)


@CHUNK_METHODS.add("chunks.put", PutChunk)
async def put_chunk(server: ChunkServer, request: PutChunk) -> PutAnswer:
    """Store one chunk."""
    data = bytes(request.data)
    meta = ChunkMeta(
        ChunkName(request.name),
        JobId(request.job),
        PartIndex(request.part),
        ChunkRole(request.role),
        request.expires_s,
        len(data),
    )
    refusal = await server.put(Chunk(meta, data))
    return PutAnswer(stored=not refusal, refusal=refusal)


@CHUNK_METHODS.add("chunks.get", GetChunk)
async def get_chunk(server: ChunkServer, request: GetChunk) -> ChunkAnswer:
    """Return one chunk."""
    try:
        chunk = await server.get(ChunkName(request.name))
    except CorruptChunk:
        return ChunkAnswer(found=False, data=b"", refusal=CORRUPT)
    if chunk is None:
        return ChunkAnswer(found=False, data=b"", refusal="")
    return ChunkAnswer(found=True, data=chunk.data, refusal="", expires_s=chunk.meta.expires_s)


@CHUNK_METHODS.add("chunks.list", ListChunks)
async def list_chunks(server: ChunkServer, request: ListChunks) -> ChunkList:
    """Return one page of the chunks stored for a part."""
    found = server.list_part(JobId(request.job), PartIndex(request.part), request.role or "")
    later = [meta for meta in found if meta.name > (request.after or "")]
    page = later[: request.limit]
    infos = [
        ChunkInfo(meta.name, meta.bytes, meta.job, meta.part, meta.expires_s, meta.role.value)
        for meta in page
    ]
    return ChunkList(chunks=infos, more=len(later) > len(page))


@CHUNK_METHODS.add("chunks.missing", MissingQuery)
async def missing_chunks(server: ChunkServer, request: MissingQuery) -> MissingAnswer:
    """Return the names that are not stored on this disk VM."""
    return MissingAnswer([name for name in request.names if name not in server.chunks])


@CHUNK_METHODS.add("chunks.release", ReleaseChunks)
async def release_chunks(server: ChunkServer, request: ReleaseChunks) -> None:
    """Release the input and results of a part that its manifest does not name."""
    keep = {ChunkName(name) for name in request.keep}
    server.release(JobId(request.job), PartIndex(request.part), keep)
