"""Write the results of a running part to chunks and commit them in groups."""

import logging
import random
from dataclasses import dataclass, replace
from enum import Enum

from parsleyrouter.ids import ChunkName, Epoch
from parsleyrouter.outcome import Refusal
from parsleyrouter.process.chunk_folder import ChunkRole
from parsleyrouter.process.condition import Condition
from parsleyrouter.process.job_records import PartPhase, PartRecord, Tally
from parsleyrouter.process.part_claims import committed, finished, handed_over, is_own
from parsleyrouter.process.part_finalizer import PartFinalizer
from parsleyrouter.process.part_progress import PartProgress
from parsleyrouter.process.part_results import chunk_expiry, lines_by_index, pack_lines
from parsleyrouter.process.record_store import RecordConflict, VersionedRecord
from parsleyrouter.process.runner_context import RunnerContext

__all__ = ["PartCommits", "PartEnd"]

log = logging.getLogger(__name__)


class PartEnd(Enum):
    """How a run of a part ended on this node."""

    DONE = "done"
    STALE = "stale"
    CANCELLED = "cancelled"
    HANDED_OVER = "handed_over"


@dataclass
class PartCommits:
    """Own the record of one claimed part; all writes under its epoch are made here, one by one."""

    context: RunnerContext
    key: str
    versioned: VersionedRecord[PartRecord]
    condition: Condition
    end: PartEnd | None = None

    def __post_init__(self) -> None:
        self.epoch: Epoch = self.versioned.record.epoch
        self.manifest: tuple[ChunkName, Tally] | None = None
        self.pause_s = self.context.limits.retry_s
        self.marking = True
        now = self.context.loop.now()
        self.flush_due_s = now + self.context.limits.flush_s
        self.commit_due_s = now + self.context.limits.idle_commit_s

    def flush_due(self, progress: PartProgress, *, ending: bool) -> bool:
        """Return whether results should be written to disk now."""
        waiting = len(progress.unwritten)
        now = self.context.loop.now()
        if not waiting:
            self.flush_due_s = now + self.context.limits.flush_s
            return False
        return ending or now >= self.flush_due_s or waiting >= self.context.limits.flush_items

    def commit_due(self, progress: PartProgress) -> bool:
        """Return whether the record should be written now."""
        full = len(progress.uncommitted) >= self.context.limits.commit_items
        due = self.context.loop.now() >= self.commit_due_s
        return full or due or (self.marking and bool(progress.items_to_mark()))

    async def flush(self, progress: PartProgress) -> None:
        """Write results to chunks; those that cannot be stored are retried after a pause."""
        limits = self.context.limits
        self.flush_due_s = self.context.loop.now() + limits.flush_s
        for _, _, data in pack_lines(progress.to_write()):
            name = await self._put_chunk(data)
            if name is None:
                await self._pause()
                return
            progress.on_written(name, lines_by_index([data]))
        self.pause_s = limits.retry_s
        soon_s = self.context.loop.now() + self.context.pace.commit_s()
        self.commit_due_s = min(self.commit_due_s, soon_s)

    async def commit(self, progress: PartProgress, *, late: bool) -> None:
        """Commit the results on disk and mark the next items as started."""
        limits = self.context.limits
        record = self.versioned.record
        if len(record.chunks) + len(progress.chunks) > limits.chunks_before_merge:
            record = await self._merge_chunks(record, progress)
        commit = progress.commit(late=late)
        if not self.marking:
            commit = replace(commit, starting=frozenset())
        if await self._write_record(committed(record, commit)):
            progress.on_committed(self.versioned.record, commit)
            self.commit_due_s = self.context.loop.now() + limits.idle_commit_s
            self.condition.notify_all()

    async def commit_manifest(self, progress: PartProgress) -> None:
        """Store all results in item order and commit them with one manifest."""
        if self.manifest is None:
            finalizer = PartFinalizer(self.context.loop, self.context.chunks, self.context.records)
            self.manifest = await finalizer.store_manifest(self.versioned.record, progress.lines)
        if self.manifest is None:
            await self._pause()
        elif await self._write_record(finished(self.versioned.record, *self.manifest)):
            self.finish(PartEnd.DONE)

    async def hand_over(self, progress: PartProgress | None) -> None:
        """Commit the results on disk and release the part to the next owner."""
        record = self.versioned.record
        if progress is not None:
            commit = replace(progress.commit(), starting=frozenset())
            record = handed_over(committed(record, commit), progress.ready)
        else:
            record = handed_over(record)
        if await self._write_record(record):
            self.finish(PartEnd.HANDED_OVER)

    def finish(self, end: PartEnd) -> None:
        """End the run; the first reason counts."""
        self.end = self.end or end
        self.condition.notify_all()

    def on_lost(self, current: VersionedRecord[PartRecord] | None) -> None:
        """End the run because the record is no longer owned by this node."""
        if current is not None and current.record.phase is PartPhase.CANCELLED:
            self.finish(PartEnd.CANCELLED)
        else:
            self.context.metrics.stale.inc()
            self.finish(PartEnd.STALE)

    async def _merge_chunks(self, record: PartRecord, progress: PartProgress) -> PartRecord:
        """Merge all written results into few chunks that replace the others in the next commit."""
        lines = progress.lines
        written = {index: lines[index] for index in lines if index not in progress.unwritten}
        names = []
        for _, _, data in pack_lines(written):
            name = await self._put_chunk(data)
            if name is None:
                return record
            names.append(name)
        progress.chunks = []
        return replace(record, chunks=tuple(names))

    async def _put_chunk(self, data: bytes) -> ChunkName | None:
        part = self.versioned.record
        name = await self.context.chunks.put(
            part.job, part.part, ChunkRole.RESULTS, data, chunk_expiry(part.expires_s)
        )
        if isinstance(name, Refusal):
            log.warning("results cannot be stored", extra={"part": self.key, "why": name.message})
            return None
        return name

    async def _write_record(self, record: PartRecord) -> bool:
        """Write the part record; pause after a failure, end the run if the part was taken over."""
        outcome = await self.context.records.write(self.key, record, self.versioned.revision)
        if isinstance(outcome, VersionedRecord):
            self.versioned = outcome
            self.pause_s = self.context.limits.retry_s
            return True
        if not isinstance(outcome, RecordConflict):
            await self._pause()
        elif outcome.current and is_own(outcome.current.record, self.context.node, self.epoch):
            self.versioned = outcome.current
        else:
            self.on_lost(outcome.current)
        return False

    async def _pause(self) -> None:
        await self.context.loop.sleep(self.pause_s * random.uniform(0.5, 1.5))
        self.pause_s = min(2 * self.pause_s, self.context.limits.retry_limit_s)
