"""Run one part under its epoch until it ends here."""

import logging

from parsleyrouter.connection.key_value import KeyValueFailure
from parsleyrouter.ids import JobId
from parsleyrouter.process.condition import Condition
from parsleyrouter.process.item_dispatcher import ItemRuns
from parsleyrouter.process.job_records import PartRecord
from parsleyrouter.process.part_claims import is_own
from parsleyrouter.process.part_commits import PartCommits, PartEnd
from parsleyrouter.process.part_loader import PartLoad
from parsleyrouter.process.record_store import Held
from parsleyrouter.process.runner_context import RunnerTools

__all__ = ["PartRunner"]

log = logging.getLogger(__name__)


class PartRunner:
    """Run one claimed part until it is done, taken by another owner, cancelled or handed over."""

    def __init__(self, tools: RunnerTools, key: str, held: Held[PartRecord]) -> None:
        self.tools = tools
        self.key = key
        self.condition = Condition(tools.loop)
        self.commits = PartCommits(tools, key, held, self.condition)
        self.runs: ItemRuns | None = None
        self.stopping = False
        self.suspended = False

    @property
    def job(self) -> JobId:
        """Return the job of the part."""
        return self.record.job

    @property
    def record(self) -> PartRecord:
        """Return the part record as last written or read."""
        return self.commits.held.record

    @property
    def end(self) -> PartEnd | None:
        """Return how the run has ended, or ``None`` while it goes on."""
        return self.commits.end

    async def run(self) -> PartEnd:
        """Run the part to its end on this node."""
        load = PartLoad(self.tools, self.record, self._wanted, self.condition, self.check_owned)
        loaded = await load.load()
        if loaded is not None:
            self.runs = ItemRuns(self.tools, self.record, loaded, self.condition)
            if self.stopping:
                self.runs.stop()
        starter = self.tools.loop.spawn(self._start_items(), f"start items of {self.key}")
        while self.commits.end is None:
            await self._write_once()
        if self.runs is not None:
            self.runs.cancel()
        await starter
        log.info("part ended", extra={"part": self.key, "end": self.commits.end.value})
        return self.commits.end

    def cancel(self) -> None:
        """Stop at once because the job is cancelled."""
        self.commits.finish(PartEnd.CANCELLED)
        if self.runs is not None:
            self.runs.cancel()

    def stop(self) -> None:
        """Start no more items, then hand the part over."""
        self.stopping = True
        self.commits.marking = False
        if self.runs is not None:
            self.runs.stop()
        self.condition.notify_all()

    async def check_owned(self) -> None:
        """Start nothing until the record shows that the part is still owned here."""
        self.suspended = True
        while self.suspended and self.end is None:
            held = await self.tools.records.read(self.key, PartRecord)
            if isinstance(held, KeyValueFailure):
                await self.tools.loop.sleep(self.tools.limits.retry_s)
            elif held is not None and is_own(held.record, self.tools.node, self.commits.epoch):
                self.suspended = False
            else:
                self.commits.lost(held)
        self.condition.notify_all()

    def _wanted(self) -> bool:
        return self.end is None and not self.stopping

    async def _start_items(self) -> None:
        while self.runs is not None and self._wanted():
            if not self.suspended:
                self.runs.start()
            await self.condition.wait(self.tools.limits.flush_s)

    async def _write_once(self) -> None:
        """Do the one write that is due, or wait for a change."""
        runs = self.runs
        if runs is None:
            await self.commits.hand_over(None)
            return
        progress = runs.progress
        stopped = self.stopping and not runs.tasks
        ending = stopped or progress.complete()
        if self.commits.flush_due(progress, ending=ending):
            await self.commits.flush(progress)
        elif progress.complete():
            await self.commits.conclude(progress)
        elif stopped:
            await self.commits.hand_over(progress)
        elif self.commits.commit_due(progress):
            late = runs.slack_s() < 0
            await self.commits.commit(progress, late=late)
        else:
            await self.condition.wait(self.tools.limits.flush_s)
