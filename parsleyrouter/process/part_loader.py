"""Read a claimed part: its items, its committed results and what an earlier owner left."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from parsleyrouter.ids import ChunkName, ItemIndex
from parsleyrouter.outcome import Refusal
from parsleyrouter.process.chunk_folder import ChunkRole
from parsleyrouter.process.condition import Condition
from parsleyrouter.process.job_records import PartRecord
from parsleyrouter.process.part_progress import PartProgress, WaveLimits, judge_started
from parsleyrouter.process.part_results import chunk_expiry, lines_by_index
from parsleyrouter.process.runner_context import RunnerTools
from parsleyrouter.request.batch_item import (
    BatchItem,
    ItemOutcome,
    ItemResult,
    may_repeat,
    read_item,
    result_line,
)

__all__ = ["LoadedPart", "PartLoad"]

LEFT_UNKNOWN = "its owner ended while it ran; it may have run and is not run again"
LEFT_FATAL = "the process that ran it ended twice: change the item"


@dataclass(frozen=True)
class LoadedPart:
    """A part ready to run."""

    items: list[BatchItem]
    progress: PartProgress


class PartLoad:
    """Load one part; ``wanted`` says whether the run goes on."""

    def __init__(
        self,
        tools: RunnerTools,
        part: PartRecord,
        wanted: Callable[[], bool],
        condition: Condition,
        check_owned: Callable[[], Awaitable[None]],
    ) -> None:
        self.tools = tools
        self.part = part
        self.wanted = wanted
        self.condition = condition
        self.check_owned = check_owned

    async def load(self) -> LoadedPart | None:
        """Return the part, as long as it takes; ``None`` when the run has ended meanwhile."""
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
        team = self.tools.team(self.part)
        idempotent = self.tools.kind(self.part).idempotent
        repeatable = {
            ItemIndex(self.part.first + offset)
            for offset, item in enumerate(items)
            if may_repeat(item, team, idempotent)
        }
        limits = self.tools.limits
        waves = WaveLimits(limits.wave_items, limits.careful_wave_items)
        return PartProgress(self.part, repeatable, waves, lines)

    async def _fetch(self, role: ChunkRole, name: ChunkName) -> bytes | None:
        pause_s = self.tools.limits.retry_s
        while self.wanted():
            data = await self.tools.chunks.get(self.part.job, self.part.part, role, name)
            if data is not None:
                return data
            await self.check_owned()
            await self.condition.wait(pause_s)
            pause_s = min(2 * pause_s, self.tools.limits.retry_limit_s)
        return None

    async def _adopt(self, progress: PartProgress) -> None:
        """Take over uncommitted results, after making sure that they have enough copies."""
        part = self.part
        for meta in await self.tools.chunks.list_part(part.job, part.part, ChunkRole.RESULTS):
            if meta.name in part.chunks or not self.wanted():
                continue
            data = await self.tools.chunks.get(part.job, part.part, ChunkRole.RESULTS, meta.name)
            if data is None:
                continue
            kept = await self.tools.chunks.put(
                part.job, part.part, ChunkRole.RESULTS, data, chunk_expiry(part.expires_s)
            )
            if not isinstance(kept, Refusal):
                progress.adopt(meta.name, lines_by_index([data]))

    def _end_started(self, items: list[BatchItem], progress: PartProgress) -> None:
        takeover = judge_started(self.part.started, progress.lines, progress.repeatable)
        reasons = [(index, ItemOutcome.UNKNOWN, LEFT_UNKNOWN) for index in takeover.unknown]
        reasons += [(index, ItemOutcome.ERROR, LEFT_FATAL) for index in takeover.fatal]
        for index, outcome, reason in sorted(reasons):
            custom_id = items[index - self.part.first].custom_id
            line = result_line(index, custom_id, ItemResult(outcome, error=reason))
            progress.ended(index, line)
            self.tools.metrics.items.labels(outcome.value).inc()
