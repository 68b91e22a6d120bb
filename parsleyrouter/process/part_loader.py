"""Read a claimed part: its items, its committed results and those that earlier owners left."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from parsleyrouter.ids import ChunkName, ItemIndex
from parsleyrouter.outcome import Refusal
from parsleyrouter.process.chunk_folder import ChunkRole
from parsleyrouter.process.condition import Condition
from parsleyrouter.process.job_records import PartRecord
from parsleyrouter.process.part_progress import PartProgress, WaveLimits, classify_started
from parsleyrouter.process.part_results import chunk_expiry, lines_by_index
from parsleyrouter.process.runner_context import RunnerContext
from parsleyrouter.request.batch_item import (
    BatchItem,
    ItemOutcome,
    ItemResult,
    may_repeat,
    read_item,
    result_line,
)

__all__ = ["LoadedPart", "PartLoader"]

UNKNOWN_REASON = "its owner ended while it ran; it may have run and is not run again"
FATAL_REASON = "the process that ran it ended twice: change the item"


@dataclass(frozen=True)
class LoadedPart:
    """A part ready to run."""

    items: list[BatchItem]
    progress: PartProgress


class PartLoader:
    """Load one part; ``should_run`` returns whether its run continues."""

    def __init__(
        self,
        context: RunnerContext,
        part: PartRecord,
        should_run: Callable[[], bool],
        condition: Condition,
        verify_ownership: Callable[[], Awaitable[None]],
    ) -> None:
        self.context = context
        self.part = part
        self.should_run = should_run
        self.condition = condition
        self.verify_ownership = verify_ownership

    async def load(self) -> LoadedPart | None:
        """Return the part, retrying without limit; ``None`` if the run ends first."""
        data = await self._fetch(ChunkRole.INPUT, self.part.input)
        chunks = [await self._fetch(ChunkRole.RESULTS, name) for name in self.part.chunks]
        whole = [chunk for chunk in chunks if chunk is not None]
        if data is None or len(whole) < len(chunks):
            return None
        items = [read_item(line) for line in data.splitlines()]
        progress = self._progress(items, lines_by_index(whole))
        if self.part.epoch > 1:
            await self._adopt(progress)
        self._end_started(items, progress)
        return LoadedPart(items, progress)

    def _progress(self, items: list[BatchItem], lines: dict[ItemIndex, bytes]) -> PartProgress:
        team = self.context.team_settings(self.part)
        idempotent = self.context.kind_settings(self.part).idempotent
        repeatable = {
            ItemIndex(self.part.first + offset)
            for offset, item in enumerate(items)
            if may_repeat(item, team, idempotent)
        }
        limits = self.context.limits
        waves = WaveLimits(limits.wave_items, limits.careful_wave_items)
        return PartProgress(self.part, repeatable, waves, lines)

    async def _fetch(self, role: ChunkRole, name: ChunkName) -> bytes | None:
        pause_s = self.context.limits.retry_s
        while self.should_run():
            data = await self.context.chunks.get(self.part.job, self.part.part, role, name)
            if data is not None:
                return data
            await self.verify_ownership()
            await self.condition.wait(pause_s)
            pause_s = min(2 * pause_s, self.context.limits.retry_limit_s)
        return None

    async def _adopt(self, progress: PartProgress) -> None:
        """Adopt uncommitted results of earlier owners, once they are sure to have enough copies."""
        part = self.part
        for meta in await self.context.chunks.list_part(part.job, part.part, ChunkRole.RESULTS):
            if meta.name in part.chunks or not self.should_run():
                continue
            data = await self.context.chunks.get(part.job, part.part, ChunkRole.RESULTS, meta.name)
            if data is None:
                continue
            name = await self.context.chunks.put(
                part.job, part.part, ChunkRole.RESULTS, data, chunk_expiry(part.expires_s)
            )
            if not isinstance(name, Refusal):
                progress.adopt(meta.name, lines_by_index([data]))

    def _end_started(self, items: list[BatchItem], progress: PartProgress) -> None:
        takeover = classify_started(self.part.started, progress.lines, progress.repeatable)
        reasons = [(index, ItemOutcome.UNKNOWN, UNKNOWN_REASON) for index in takeover.unknown]
        reasons += [(index, ItemOutcome.ERROR, FATAL_REASON) for index in takeover.fatal]
        for index, outcome, reason in sorted(reasons):
            custom_id = items[index - self.part.first].custom_id
            line = result_line(index, custom_id, ItemResult(outcome, error=reason))
            progress.add_result(index, line)
            self.context.metrics.items.labels(outcome.value).inc()
