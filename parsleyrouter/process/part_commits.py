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
from parsleyrouter.process.part_finalizer import PartSettle
from parsleyrouter.process.part_progress import PartProgress
from parsleyrouter.process.part_results import chunk_expiry, lines_by_index, pack_lines
from parsleyrouter.process.record_store import Beaten, Held
from parsleyrouter.process.runner_context import RunnerTools

__all__ = ["PartCommits", "PartEnd"]

log = logging.getLogger(__name__)


class PartEnd(Enum):
    """Say how a run of a part ended here."""

    DONE = "done"
    STALE = "stale"
    CANCELLED = "cancelled"
    HANDED_OVER = "handed_over"


@dataclass
class PartCommits:
    """Own the record of one claimed part; all writes under its epoch are made here, in turn."""

    tools: RunnerTools
    key: str
    held: Held[PartRecord]
    condition: Condition
    end: PartEnd | None = None

    def __post_init__(self) -> None:
        self.epoch: Epoch = self.held.record.epoch
        self.manifest: tuple[ChunkName, Tally] | None = None
        self.pause_s = self.tools.limits.retry_s
        self.marking = True
        now = self.tools.loop.now()
        self.flush_due_s = now + self.tools.limits.flush_s
        self.commit_due_s = now + self.tools.limits.idle_commit_s

    def flush_due(self, progress: PartProgress, *, ending: bool) -> bool:
        """Say whether results should go to disk now."""
        waiting = len(progress.unwritten)
        now = self.tools.loop.now()
        if not waiting:
            self.flush_due_s = now + self.tools.limits.flush_s
            return False
        return ending or now >= self.flush_due_s or waiting >= self.tools.limits.flush_items

    def commit_due(self, progress: PartProgress) -> bool:
        """Say whether the record should be written now."""
        full = len(progress.uncommitted) >= self.tools.limits.commit_items
        due = self.tools.loop.now() >= self.commit_due_s
        return full or due or (self.marking and bool(progress.marks_wanted()))

    async def flush(self, progress: PartProgress) -> None:
        """Write results to chunks; what cannot be stored waits."""
        limits = self.tools.limits
        self.flush_due_s = self.tools.loop.now() + limits.flush_s
        for _, _, data in pack_lines(progress.to_write()):
            name = await self._keep(data)
            if name is None:
                await self._pause()
                return
            progress.written(name, lines_by_index([data]))
        self.pause_s = limits.retry_s
        soon_s = self.tools.loop.now() + self.tools.pace.commit_s()
        self.commit_due_s = min(self.commit_due_s, soon_s)

    async def commit(self, progress: PartProgress, *, late: bool) -> None:
        """Commit what is on disk and mark the next items started."""
        limits = self.tools.limits
        record = self.held.record
        if len(record.chunks) + len(progress.chunks) > limits.chunks_before_merge:
            record = await self._merged(record, progress)
        commit = progress.commit(late=late)
        if not self.marking:
            commit = replace(commit, starting=frozenset())
        if await self._swap(committed(record, commit)):
            progress.was_committed(self.held.record, commit)
            self.commit_due_s = self.tools.loop.now() + limits.idle_commit_s
            self.condition.notify_all()

    async def conclude(self, progress: PartProgress) -> None:
        """Store all results in item order and commit them by one manifest."""
        if self.manifest is None:
            settle = PartSettle(self.tools.loop, self.tools.chunks, self.tools.records)
            self.manifest = await settle.manifest(self.held.record, progress.lines)
        if self.manifest is None:
            await self._pause()
        elif await self._swap(finished(self.held.record, *self.manifest)):
            self.finish(PartEnd.DONE)

    async def hand_over(self, progress: PartProgress | None) -> None:
        """Commit what there is and leave the part to the next owner."""
        record = self.held.record
        if progress is not None:
            commit = replace(progress.commit(), starting=frozenset())
            record = handed_over(committed(record, commit), progress.ready)
        else:
            record = handed_over(record)
        if await self._swap(record):
            self.finish(PartEnd.HANDED_OVER)

    def finish(self, end: PartEnd) -> None:
        """End the run; the first reason counts."""
        self.end = self.end or end
        self.condition.notify_all()

    def lost(self, current: Held[PartRecord] | None) -> None:
        """End the run because the record is another's."""
        if current is not None and current.record.phase is PartPhase.CANCELLED:
            self.finish(PartEnd.CANCELLED)
        else:
            self.tools.metrics.stale.inc()
            self.finish(PartEnd.STALE)

    async def _merged(self, record: PartRecord, progress: PartProgress) -> PartRecord:
        """Put all written results into few chunks that the next commit names instead."""
        lines = progress.lines
        written = {index: lines[index] for index in lines if index not in progress.unwritten}
        names = []
        for _, _, data in pack_lines(written):
            name = await self._keep(data)
            if name is None:
                return record
            names.append(name)
        progress.chunks = []
        return replace(record, chunks=tuple(names))

    async def _keep(self, data: bytes) -> ChunkName | None:
        part = self.held.record
        name = await self.tools.chunks.put(
            part.job, part.part, ChunkRole.RESULTS, data, chunk_expiry(part.expires_s)
        )
        if isinstance(name, Refusal):
            log.warning("results cannot be stored", extra={"part": self.key, "why": name.message})
            return None
        return name

    async def _swap(self, record: PartRecord) -> bool:
        """Write the part record; on a failure wait a little, on a conflict stop or go on."""
        outcome = await self.tools.records.write(self.key, record, self.held.revision)
        if isinstance(outcome, Held):
            self.held = outcome
            self.pause_s = self.tools.limits.retry_s
            return True
        if not isinstance(outcome, Beaten):
            await self._pause()
        elif outcome.current and is_own(outcome.current.record, self.tools.node, self.epoch):
            self.held = outcome.current
        else:
            self.lost(outcome.current)
        return False

    async def _pause(self) -> None:
        await self.tools.loop.sleep(self.pause_s * random.uniform(0.5, 1.5))
        self.pause_s = min(2 * self.pause_s, self.tools.limits.retry_limit_s)
