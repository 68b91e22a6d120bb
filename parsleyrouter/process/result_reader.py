"""Read the committed results of a job in item order."""

from collections import OrderedDict
from dataclasses import replace

import msgspec

from parsleyrouter.connection.key_value import KeyValueFailure
from parsleyrouter.ids import ChunkName, ItemIndex, JobId, PartIndex, TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.chunk_client import ChunkClient
from parsleyrouter.process.chunk_folder import ChunkRole
from parsleyrouter.process.job_keys import part_key
from parsleyrouter.process.job_port import ResultPage
from parsleyrouter.process.job_records import JobPhase, JobRecord, PartOutcome, PartRecord
from parsleyrouter.process.job_writer import platform_refusal
from parsleyrouter.process.part_results import (
    JobManifest,
    PartManifest,
    decode_manifest,
    lines_by_index,
)
from parsleyrouter.process.record_store import RecordCache

__all__ = ["ResultReader"]

MAX_CACHE_BYTES = 16 * 1024 * 1024
RETRY_AFTER_S = 2.0


class ResultReader:
    """Read result lines through a small cache of chunks."""

    def __init__(self, chunks: ChunkClient, records: RecordCache) -> None:
        self.chunks = chunks
        self.records = records
        self.cache: OrderedDict[ChunkName, bytes] = OrderedDict()
        self.cached_bytes = 0

    async def page(self, job: JobRecord, offset: int, limit_bytes: int) -> ResultPage | Refusal:
        """Return committed results starting at an item, up to the first item without a result."""
        if not job.manifest:
            return await self._pages(job, job.firsts, job.parts, offset, limit_bytes)
        data = await self._chunk(job.job, PartIndex(0), ChunkRole.MANIFEST, job.manifest)
        if data is None:
            return _unreadable()
        manifest = decode_manifest(JobManifest, data)
        parts = dict(enumerate(manifest.parts))
        return await self._pages(job, manifest.firsts, parts, offset, limit_bytes)

    async def find_ended(self, team: TeamName, job: JobId) -> JobRecord | None:
        """Return an ended job from the manifest among its chunks, without reading its record."""
        for meta in await self.chunks.list_part(job, PartIndex(0), ChunkRole.MANIFEST):
            data = await self._chunk(job, PartIndex(0), ChunkRole.MANIFEST, meta.name)
            try:
                manifest = decode_manifest(JobManifest, data or b"")
            except msgspec.DecodeError:
                continue
            found = manifest.job
            if found.team == team:
                stopped = found.phase is JobPhase.CANCELLED
                phase = found.phase if stopped else JobPhase.COMPLETED
                return replace(found, phase=phase, manifest=meta.name)
        return None

    async def _pages(
        self,
        job: JobRecord,
        firsts: tuple[int, ...],
        parts: dict[int, PartOutcome],
        offset: int,
        limit_bytes: int,
    ) -> ResultPage | Refusal:
        lines: list[bytes] = []
        size = 0
        next_index = max(0, offset)
        ends = (*firsts[1:], job.items)
        for number, end in enumerate(ends):
            if end <= next_index:
                continue
            found = await self._lines(job, PartIndex(number), parts.get(number), next_index)
            if isinstance(found, Refusal):
                return found
            while next_index < end and (not lines or size < limit_bytes):
                line = found.get(ItemIndex(next_index))
                if line is None:
                    break
                lines.append(line)
                size += len(line)
                next_index += 1
            if next_index < end:
                break
        return ResultPage(b"".join(lines), next_index, next_index >= job.items)

    async def _lines(
        self, job: JobRecord, part: PartIndex, outcome: PartOutcome | None, index: int
    ) -> dict[ItemIndex, bytes] | Refusal:
        if outcome is None:
            return await self._open_lines(job.job, part)
        return await self._done_lines(job.job, part, outcome.manifest, index)

    async def _open_lines(self, job: JobId, part: PartIndex) -> dict[ItemIndex, bytes] | Refusal:
        versioned = await self.records.read(part_key(job, part), PartRecord)
        if isinstance(versioned, KeyValueFailure):
            return platform_refusal(versioned)
        if versioned is None:
            return {}
        if versioned.record.manifest:
            return await self._done_lines(
                job, part, versioned.record.manifest, versioned.record.first
            )
        found = []
        for name in versioned.record.chunks:
            data = await self._chunk(job, part, ChunkRole.RESULTS, name)
            if data is None:
                return _unreadable()
            found.append(data)
        return lines_by_index(found)

    async def _done_lines(
        self, job: JobId, part: PartIndex, name: ChunkName, index: int
    ) -> dict[ItemIndex, bytes] | Refusal:
        """Return the lines of a finished part, from the chunk that holds an item on."""
        data = await self._chunk(job, part, ChunkRole.MANIFEST, name)
        if data is None:
            return _unreadable()
        manifest = decode_manifest(PartManifest, data)
        found: dict[ItemIndex, bytes] = {}
        for chunk in manifest.chunks:
            if chunk.first + chunk.count <= index:
                continue
            content = await self._chunk(job, part, ChunkRole.RESULTS, chunk.name)
            if content is None:
                return _unreadable()
            found |= lines_by_index([content])
        return found

    async def _chunk(
        self, job: JobId, part: PartIndex, role: ChunkRole, name: ChunkName
    ) -> bytes | None:
        data = self.cache.get(name)
        if data is not None:
            self.cache.move_to_end(name)
            return data
        data = await self.chunks.get(job, part, role, name)
        if data is not None:
            self._add_to_cache(name, data)
        return data

    def _add_to_cache(self, name: ChunkName, data: bytes) -> None:
        if name in self.cache:
            return
        self.cache[name] = data
        self.cached_bytes += len(data)
        while self.cached_bytes > MAX_CACHE_BYTES:
            _, old = self.cache.popitem(last=False)
            self.cached_bytes -= len(old)


def _unreadable() -> Refusal:
    message = "no disk VM with these results can be reached: read them again later"
    return Refusal(RefusalKind.STORAGE_UNAVAILABLE, message, ExecutionStatus.NOT_RUN, RETRY_AFTER_S)
