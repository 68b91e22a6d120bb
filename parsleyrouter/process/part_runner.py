"""Run one claimed part under its epoch until the run ends on this node."""

import logging

from parsleyrouter.connection.key_value import KeyValueFailure
from parsleyrouter.ids import JobId
from parsleyrouter.process.condition import Condition
from parsleyrouter.process.item_dispatcher import ItemDispatcher
from parsleyrouter.process.job_records import PartRecord
from parsleyrouter.process.part_claims import is_own
from parsleyrouter.process.part_commits import PartCommits, PartEnd
from parsleyrouter.process.part_loader import PartLoader
from parsleyrouter.process.record_store import VersionedRecord
from parsleyrouter.process.runner_context import RunnerContext

__all__ = ["PartRunner"]

log = logging.getLogger(__name__)


class PartRunner:
    """Run one claimed part until it is done, taken by another owner, cancelled or handed over."""

    def __init__(
        self, context: RunnerContext, key: str, versioned: VersionedRecord[PartRecord]
    ) -> None:
        self.context = context
        self.key = key
        self.condition = Condition(context.loop)
        self.commits = PartCommits(context, key, versioned, self.condition)
        self.dispatcher: ItemDispatcher | None = None
        self.stopping = False
        self.suspended = False

    @property
    def job(self) -> JobId:
        """Return the job of the part."""
        return self.record.job

    @property
    def record(self) -> PartRecord:
        """Return the part record as last written or read."""
        return self.commits.versioned.record

    @property
    def end(self) -> PartEnd | None:
        """Return how the run has ended, or ``None`` while it continues."""
        return self.commits.end

    async def run(self) -> PartEnd:
        """Run the part and return how the run ended."""
        load = PartLoader(
            self.context, self.record, self._should_run, self.condition, self.verify_ownership
        )
        loaded = await load.load()
        if loaded is not None:
            self.dispatcher = ItemDispatcher(self.context, self.record, loaded, self.condition)
            if self.stopping:
                self.dispatcher.stop()
        starter = self.context.loop.spawn(self._start_items(), f"start items of {self.key}")
        while self.commits.end is None:
            await self._write_once()
        if self.dispatcher is not None:
            self.dispatcher.cancel()
        await starter
        log.info("part ended", extra={"part": self.key, "end": self.commits.end.value})
        return self.commits.end

    def cancel(self) -> None:
        """Stop at once because the job is cancelled."""
        self.commits.finish(PartEnd.CANCELLED)
        if self.dispatcher is not None:
            self.dispatcher.cancel()

    def stop(self) -> None:
        """Start no more items, then hand the part over."""
        self.stopping = True
        self.commits.marking = False
        if self.dispatcher is not None:
            self.dispatcher.stop()
        self.condition.notify_all()

    async def verify_ownership(self) -> None:
        """Start no item until the record shows that this node still owns the part."""
        self.suspended = True
        while self.suspended and self.end is None:
            versioned = await self.context.records.read(self.key, PartRecord)
            if isinstance(versioned, KeyValueFailure):
                await self.context.loop.sleep(self.context.limits.retry_s)
            elif versioned is not None and is_own(
                versioned.record, self.context.node, self.commits.epoch
            ):
                self.suspended = False
            else:
                self.commits.on_lost(versioned)
        self.condition.notify_all()

    def _should_run(self) -> bool:
        return self.end is None and not self.stopping

    async def _start_items(self) -> None:
        while self.dispatcher is not None and self._should_run():
            if not self.suspended:
                self.dispatcher.start()
            await self.condition.wait(self.context.limits.flush_s)

    async def _write_once(self) -> None:
        """Do the one write that is due, or wait for a change."""
        dispatcher = self.dispatcher
        if dispatcher is None:
            await self.commits.hand_over(None)
            return
        progress = dispatcher.progress
        stopped = self.stopping and not dispatcher.tasks
        ending = stopped or progress.is_complete()
        if self.commits.flush_due(progress, ending=ending):
            await self.commits.flush(progress)
        elif progress.is_complete():
            await self.commits.commit_manifest(progress)
        elif stopped:
            await self.commits.hand_over(progress)
        elif self.commits.commit_due(progress):
            late = dispatcher.slack_s() < 0
            await self.commits.commit(progress, late=late)
        else:
            await self.condition.wait(self.context.limits.flush_s)
