"""Move a part that has ended from its own record into the record of its job."""

import time
from collections.abc import Mapping
from dataclasses import replace

from parsleyrouter.connection.key_value import KeyValueFailure
from parsleyrouter.ids import ChunkName, ItemIndex, PartIndex
from parsleyrouter.outcome import Refusal
from parsleyrouter.process.chunk_client import ChunkClient
from parsleyrouter.process.chunk_folder import ChunkRole
from parsleyrouter.process.job_keys import job_key
from parsleyrouter.process.job_records import (
    JobPhase,
    JobRecord,
    PartOutcome,
    PartPhase,
    PartRecord,
    Tally,
)
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.part_results import (
    JobManifest,
    PartManifest,
    ResultChunk,
    chunk_expiry,
    decode_manifest,
    encode_manifest,
    lines_by_index,
    pack_lines,
    tally_line,
)
from parsleyrouter.process.record_store import RecordStore, VersionedRecord
from parsleyrouter.request.batch_item import ItemOutcome, ItemResult, read_item, result_line

__all__ = ["PartFinalizer"]


class PartFinalizer:
    """Finalize ended parts; another node may repeat any step without harm."""

    def __init__(self, loop: Loop, chunks: ChunkClient, records: RecordStore) -> None:
        self.loop = loop
        self.chunks = chunks
        self.records = records

    async def store_manifest(
        self, part: PartRecord, lines: Mapping[ItemIndex, bytes]
    ) -> tuple[ChunkName, Tally] | None:
        """Store all results of a part in item order; ``None`` when they cannot be stored now."""
        chunks = []
        for first, count, data in pack_lines(lines):
            name = await self._put_chunk(part, ChunkRole.RESULTS, data)
            if name is None:
                return None
            chunks.append(ResultChunk(name, first, count))
        tally = sum((tally_line(line) for line in lines.values()), Tally())
        data = encode_manifest(PartManifest(tuple(chunks), tally))
        name = await self._put_chunk(part, ChunkRole.MANIFEST, data)
        return None if name is None else (name, tally)

    async def finalize(self, key: str, versioned: VersionedRecord[PartRecord]) -> bool:
        """Add a finished or cancelled part to its job's record and delete its own record."""
        part = versioned.record
        outcome = await self._outcome(part)
        if outcome is None:
            return False
        job = await self.records.update(
            job_key(part.team, part.job),
            JobRecord,
            lambda job: _with_part(job, part.part, outcome),
        )
        if isinstance(job, KeyValueFailure):
            return False
        if job is not None and not await self._complete_job(job.record):
            return False
        if job is not None and part.part in job.record.parts:
            await self._release_chunks(part, job.record.parts[part.part].manifest)
        deleted = await self.records.kv.delete(key, versioned.revision)
        return not isinstance(deleted, KeyValueFailure)

    async def _release_chunks(self, part: PartRecord, manifest: ChunkName) -> None:
        """Release input and result chunks that the committed manifest has replaced."""
        data = await self.chunks.get(part.job, part.part, ChunkRole.MANIFEST, manifest)
        if data is None:
            return
        whole = decode_manifest(PartManifest, data)
        self.chunks.release(part.job, part.part, (chunk.name for chunk in whole.chunks))

    async def _outcome(self, part: PartRecord) -> PartOutcome | None:
        if part.phase is PartPhase.DONE:
            return PartOutcome(part.manifest, part.tally)
        lines = await self._cancelled_lines(part)
        made = None if lines is None else await self.store_manifest(part, lines)
        return None if made is None else PartOutcome(*made)

    async def _cancelled_lines(self, part: PartRecord) -> dict[ItemIndex, bytes] | None:
        """Return the committed results, and cancelled or unknown results for all other items."""
        source = await self.chunks.get(part.job, part.part, ChunkRole.INPUT, part.input)
        if source is None:
            return None
        chunks = []
        for name in part.chunks:
            data = await self.chunks.get(part.job, part.part, ChunkRole.RESULTS, name)
            if data is None:
                return None
            chunks.append(data)
        lines = lines_by_index(chunks)
        for offset, line in enumerate(source.splitlines()):
            index = ItemIndex(part.first + offset)
            if index not in lines:
                result = _cancelled_result(index in part.started)
                lines[index] = result_line(index, read_item(line).custom_id, result)
        return lines

    async def _complete_job(self, job: JobRecord) -> bool:
        """Replace the entries of all parts by one manifest once every part has ended."""
        if job.manifest or len(job.parts) < len(job.firsts):
            return True
        outcomes = tuple(job.parts[number] for number in range(len(job.firsts)))
        data = encode_manifest(JobManifest(job.firsts, outcomes, replace(job, parts={}, firsts=())))
        name = await self.chunks.put(
            job.job, PartIndex(0), ChunkRole.MANIFEST, data, chunk_expiry(job.expires_s)
        )
        if isinstance(name, Refusal):
            return False
        outcome = await self.records.update(
            job_key(job.team, job.job), JobRecord, lambda job: _with_manifest(job, name)
        )
        return not isinstance(outcome, KeyValueFailure)

    async def _put_chunk(self, part: PartRecord, role: ChunkRole, data: bytes) -> ChunkName | None:
        name = await self.chunks.put(part.job, part.part, role, data, chunk_expiry(part.expires_s))
        return None if isinstance(name, Refusal) else name


def _with_part(job: JobRecord, part: PartIndex, outcome: PartOutcome) -> JobRecord | None:
    if job.manifest or part in job.parts:
        return None
    parts = dict(job.parts) | {part: outcome}
    return replace(job, parts=parts, tally=job.tally + outcome.tally)


def _with_manifest(job: JobRecord, manifest: ChunkName) -> JobRecord | None:
    if job.manifest or len(job.parts) < len(job.firsts):
        return None
    phase = JobPhase.CANCELLED if job.phase is JobPhase.CANCELLED else JobPhase.COMPLETED
    late = time.time() > job.deadline_s
    return replace(job, phase=phase, manifest=manifest, parts={}, firsts=(), late=late)


def _cancelled_result(started: bool) -> ItemResult:
    if started:
        message = "the job was cancelled while it ran; it may have run and is not run again"
        return ItemResult(ItemOutcome.UNKNOWN, error=message)
    return ItemResult(ItemOutcome.CANCELLED, error="the job was cancelled")
