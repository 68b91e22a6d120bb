"""One batch job that this node runs: its pending items and its unlisted results."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from parsleyrouter.connection.key_value import KeyValueFailure, WriteApplied
from parsleyrouter.ids import ItemIndex, JobId, Revision
from parsleyrouter.process.item_run import ItemEnd, ItemProgress, ItemRun
from parsleyrouter.process.job_directory import JobDirectory, JobView
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.shared_job_store import JobSave, SharedJobStore, VersionedJob
from parsleyrouter.request.shared_job import (
    UNSHARED,
    ItemResult,
    JobItem,
    JobState,
    SavedItem,
)

__all__ = ["JobRun"]

MAX_RESULTS_PER_LISTING = 7
"""Each result takes two conditions and two writes of one transaction, the count of waiting tokens
one more write, and the service accepts 32 of them together."""

MAX_LISTING_BYTES = 400_000
RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 5.0

LISTING_DELAY_S = 0.75
"""Time over which results are gathered, since each listing costs a call; a job with time left needs
none of them earlier. Those that are not listed are lost with their node."""

GATHER_STEP_S = 0.125
"""Pause between checks whether more results can come."""

LISTING_MARGIN_S = 2.0
"""Results of a job that is due within this time are listed at once."""

MAX_SAVED_BYTES = 600_000
"""Output in one save; items beyond it start from the beginning on another node."""

log = logging.getLogger(__name__)


@dataclass
class JobRun:
    """Hold the items of a job on the node that owns it."""

    loop: Loop
    store: SharedJobStore
    job_directory: JobDirectory
    versioned: VersionedJob
    items: list[JobItem]
    listed: set[ItemIndex]
    progress: dict[ItemIndex, ItemProgress] = field(default_factory=dict)
    running: dict[ItemIndex, ItemRun] = field(default_factory=dict)
    not_before_s: dict[ItemIndex, float] = field(default_factory=dict)
    """Earliest time at which an item is run again; monotonic."""
    unlisted: dict[ItemIndex, ItemResult] = field(default_factory=dict)
    """Results that are not listed yet."""
    listing: bool = False
    closes_apart: bool = False
    """Whether the job is closed by a call of its own, as a listing could not close it."""
    stopped: bool = False
    on_listed: Callable[[int, list[ItemResult]], object] = field(
        default=lambda start, results: None
    )
    """Called with the results that were listed, starting at a position."""
    saved_events: dict[ItemIndex, str] = field(default_factory=dict)
    """The last event of each item in the last save."""

    @property
    def job(self) -> JobId:
        """Return the job's id."""
        return self.versioned.record.job

    def pending(self, now: float) -> list[ItemIndex]:
        """Return the items that may be run now."""
        return [
            index
            for index in map(ItemIndex, range(len(self.items)))
            if index not in self.listed
            and index not in self.running
            and index not in self.unlisted
            and self.not_before_s.get(index, 0.0) <= now
        ]

    def progress_of(self, index: ItemIndex) -> ItemProgress:
        """Return the progress of an item."""
        return self.progress.setdefault(index, ItemProgress())

    def finish(self, index: ItemIndex, result: ItemResult) -> None:
        """Queue a result to be listed."""
        self.unlisted[index] = result
        self.progress.pop(index, None)
        if not self.listing:
            self.listing = True
            self.loop.spawn(self._list_all(), "list results")

    def restore(self, saved: list[SavedItem]) -> None:
        """Resume items from the progress that another node has saved."""
        for one in saved:
            if one.index < len(self.items) and one.index not in self.listed:
                progress = self.progress_of(one.index)
                progress.pieces, progress.last_event = list(one.pieces), one.last_event
                progress.failures = one.failures
                self.saved_events[one.index] = one.last_event

    def progress_to_save(self) -> JobSave | None:
        """Return the progress of unfinished items, ``None`` if the last save has it."""
        view = self.job_directory.jobs.get(self.versioned.record.job)
        items = self._unfinished()
        events = {one.index: one.last_event for one in items}
        if view is None or events == self.saved_events:
            return None
        return JobSave(self.versioned.record.job, view.owner_revision, items)

    def _unfinished(self) -> list[SavedItem]:
        items: list[SavedItem] = []
        size = 0
        for index, one in self.progress.items():
            size += sum(map(len, one.pieces))
            if size > MAX_SAVED_BYTES:
                break
            if one.last_event and index not in self.listed and index not in self.unlisted:
                items.append(SavedItem(index, one.last_event, list(one.pieces), one.failures))
        return items

    def close_if_done(self) -> None:
        """Close a job whose last owner listed all items and died before it could close it."""
        if len(self.listed) == len(self.items) and not self.listing:
            self.listing = True
            self.loop.spawn(self._list_all(), "close the job")

    def stop(self) -> None:
        """Cancel the running items and save no more; waiting results are still listed."""
        self.stopped = True
        for run in list(self.running.values()):
            run.cancel(ItemEnd.STOPPED)

    async def _list_all(self) -> None:
        """List results until none waits, and close the job with the last one."""
        pause_s = RETRY_PAUSE_S
        try:
            while self.unlisted or self._may_close():
                try:
                    await self._list_next()
                    pause_s = RETRY_PAUSE_S
                except Exception:
                    log.exception("results not listed yet", extra={"job": self.job})
                    await self.loop.sleep(pause_s)
                    pause_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)
        finally:
            self.listing = False

    async def _list_next(self) -> None:
        if not self.unlisted:
            await self._close()
            return
        await self._gather_results()
        await self._list_some()

    def _may_close(self) -> bool:
        """Return whether all items are listed and the job is still this node's to close."""
        view = self.job_directory.jobs.get(self.versioned.record.job)
        open_here = view is not None and view.open and not self.stopped
        return open_here and len(self.listed) == len(self.items)

    async def _gather_results(self) -> None:
        """Wait for further results unless the job is due, stopped or has no running items."""
        until_s = self.loop.now() + LISTING_DELAY_S
        while self.loop.now() < until_s:
            left_s = self.versioned.record.due_ms / 1000 - time.time()
            few = len(self.unlisted) < MAX_RESULTS_PER_LISTING
            if not few or not self.running or self.stopped or left_s <= LISTING_MARGIN_S:
                break
            await self.loop.sleep(GATHER_STEP_S)

    async def _list_some(self) -> None:
        batch: dict[ItemIndex, ItemResult] = {}
        size = 0
        for index, result in self.unlisted.items():
            size += len(result.output)
            if batch and (len(batch) >= MAX_RESULTS_PER_LISTING or size > MAX_LISTING_BYTES):
                break
            batch[index] = result
        record = self.versioned.record
        position = len(self.listed)
        left_tokens = None if record.share == UNSHARED else self._left_tokens(batch)
        closing = self._closes_with(batch)
        done = await self.store.list_results(record.job, position, batch, left_tokens, closing)
        if isinstance(done, WriteApplied):
            self._mark_listed(batch)
            self.on_listed(position, list(batch.values()))
            self._log_listing("results listed", position, batch, revision=done.revision)
            if closing is not None:
                self._mark_done(closing, done.revision)
            return
        self.closes_apart = self.closes_apart or closing is not None
        if isinstance(done, KeyValueFailure):
            self._log_listing("results not listed yet", position, batch, reason=done.message)
        await self._read_listed()

    def _closes_with(self, batch: dict[ItemIndex, ItemResult]) -> VersionedJob | None:
        """Return the open job if a listing is its last one, unless one has failed to close it."""
        view = self.job_directory.jobs.get(self.job)
        is_last = len(self.listed) + len(batch) == len(self.items)
        if not is_last or self.stopped or self.closes_apart or view is None or not view.open:
            return None
        return view.versioned

    def _mark_done(self, closed: VersionedJob, revision: Revision) -> None:
        """Know that the job is done before its change is read, or it would be closed again."""
        log.info("job done", extra={"job": self.job, "revision": revision})
        record = msgspec.structs.replace(closed.record, state=JobState.DONE)
        self.job_directory.put(VersionedJob(record, revision))

    def _left_tokens(self, batch: dict[ItemIndex, ItemResult]) -> int:
        """Return the tokens of the items that are not listed once ``batch`` is."""
        return sum(
            item.tokens
            for index, item in enumerate(self.items)
            if ItemIndex(index) not in self.listed and ItemIndex(index) not in batch
        )

    async def _read_listed(self) -> None:
        """Read which items are listed after a conflict or a lost reply."""
        found = await self.store.listed(self.versioned.record.job)
        if isinstance(found, KeyValueFailure):
            await self.loop.sleep(RETRY_PAUSE_S)
            return
        self.listed |= found.indexes
        for index in found.indexes & self.unlisted.keys():
            del self.unlisted[index]

    def _mark_listed(self, batch: dict[ItemIndex, ItemResult]) -> None:
        self.listed.update(batch)
        for index in batch:
            self.unlisted.pop(index, None)

    async def _close(self) -> None:
        """Record that all items are listed."""
        view: JobView | None = self.job_directory.jobs.get(self.versioned.record.job)
        if view is None or view.versioned is None or not view.open:
            return
        done = await self.store.close(view.versioned, JobState.DONE)
        if isinstance(done, WriteApplied):
            self._mark_done(view.versioned, done.revision)
            return
        versioned = await self.store.read(self.versioned.record.job)
        if isinstance(versioned, VersionedJob):
            self.job_directory.put(versioned)
        await self.loop.sleep(RETRY_PAUSE_S)

    def _log_listing(
        self, message: str, position: int, batch: dict[ItemIndex, ItemResult], **more: object
    ) -> None:
        items = [result.item for result in batch.values()]
        fields = {"job": self.job, "position": position, "items": items}
        log.info(message, extra=fields | more)
