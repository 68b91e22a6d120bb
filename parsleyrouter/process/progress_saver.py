"""Save the progress of running batch items, of several jobs in one transaction."""

import logging
from collections.abc import Iterable, Sequence

from parsleyrouter.connection.key_value import TransactionConflict, WriteApplied
from parsleyrouter.process.job_directory import JobDirectory
from parsleyrouter.process.job_run import JobRun
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.shared_job_store import JobSave, SharedJobStore

__all__ = ["ProgressSaver"]

SAVE_INTERVAL_S = 2.0
"""Pause between saves. It bounds the work that is lost with a node, and costs a call."""

MAX_JOBS_PER_SAVE = 16
"""Each job takes a condition and a write of one transaction, and the service accepts 32 of them."""

MAX_GROUP_BYTES = 600_000
"""Output in one transaction; the service accepts 1 MB in one value."""

log = logging.getLogger(__name__)


class ProgressSaver:
    """Save the progress of a node's jobs together, as they have the same owner."""

    def __init__(self, loop: Loop, store: SharedJobStore, job_directory: JobDirectory) -> None:
        self.loop = loop
        self.store = store
        self.job_directory = job_directory
        self.saving = False
        self.last_save_s = -SAVE_INTERVAL_S

    def save_when_due(self, runs: Iterable[JobRun]) -> None:
        """Save what has changed if the last save is old enough."""
        if self.saving or self.loop.now() - self.last_save_s < SAVE_INTERVAL_S:
            return
        changed = [run for run in runs if run.running and not run.stopped]
        if changed:
            self.last_save_s = self.loop.now()
            self.loop.spawn(self.save(changed), "save progress")

    async def save(self, runs: Iterable[JobRun]) -> None:
        """Save the unfinished items of jobs whose progress has changed."""
        if self.saving:
            return
        self.saving = True
        try:
            for group in _groups(runs):
                await self._save_group(group)
        finally:
            self.saving = False

    async def _save_group(self, group: Sequence[tuple[JobRun, JobSave]]) -> None:
        done = await self.store.save([save for _, save in group])
        if isinstance(done, WriteApplied):
            for run, save in group:
                run.saved_events = save.events
        elif isinstance(done, TransactionConflict) and len(group) > 1:
            for one in group:
                await self._save_group([one])
        else:
            jobs = [run.job for run, _ in group]
            log.info("progress not saved", extra={"jobs": jobs, "outcome": str(done)[:200]})


def _groups(runs: Iterable[JobRun]) -> Iterable[list[tuple[JobRun, JobSave]]]:
    group: list[tuple[JobRun, JobSave]] = []
    size = 0
    for run in runs:
        save = run.progress_to_save()
        if save is None:
            continue
        size += save.size
        if group and (len(group) >= MAX_JOBS_PER_SAVE or size > MAX_GROUP_BYTES):
            yield group
            group, size = [], save.size
        group.append((run, save))
    if group:
        yield group
