"""Know all batch jobs by their records and owners, as followed from the key-value service."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from parsleyrouter.connection.key_value import ABSENT, Entry, KeyChange
from parsleyrouter.ids import JobId, NodeId, Revision
from parsleyrouter.process.shared_job_store import (
    OWNER,
    RECORD,
    JobKeys,
    KeptJob,
    decode_record,
    split_key,
)
from parsleyrouter.request.shared_job import JobState

__all__ = ["JobDirectory", "JobView"]

log = logging.getLogger(__name__)


@dataclass
class JobView:
    """What is known of one job."""

    job: JobId
    kept: KeptJob | None = None
    owner: NodeId | None = None
    owner_revision: Revision = ABSENT
    last_owner: NodeId | None = None
    """The node that ran the job before it was done or lost it."""

    @property
    def open(self) -> bool:
        """Tell whether items may still be run."""
        return self.kept is not None and self.kept.record.state is JobState.OPEN


class JobDirectory:
    """Hold a view of every job; ``on_change`` hears of each that has changed."""

    def __init__(self) -> None:
        self.jobs: dict[JobId, JobView] = {}
        self.on_change: list[Callable[[JobView], object]] = []

    def apply_list(self, entries: Iterable[Entry]) -> None:
        """Take all records and owners."""
        changes = [KeyChange(entry.key, entry.revision, entry) for entry in entries]
        listed = {change.key for change in changes}
        for view in self.jobs.values():
            if view.owner is not None and JobKeys(view.job).owner not in listed:
                view.last_owner = view.owner
                view.owner, view.owner_revision = None, ABSENT
        touched = {split_key(change.key)[0] for change in changes if self._apply(change)}
        for job in touched | self.jobs.keys():
            self._tell(self.jobs[job])

    def apply_change(self, change: KeyChange) -> None:
        """Take one change."""
        if self._apply(change):
            self._tell(self.jobs[split_key(change.key)[0]])

    def put(self, kept: KeptJob) -> JobView:
        """Take a record that was read or written outside the following."""
        view = self.jobs.setdefault(kept.record.job, JobView(kept.record.job))
        if view.kept is None or kept.revision > view.kept.revision:
            view.kept = kept
            self._tell(view)
        return view

    def put_owned(self, kept: KeptJob, node: NodeId) -> None:
        """Take a job that was created together with its owner."""
        view = self.jobs.setdefault(kept.record.job, JobView(kept.record.job))
        if kept.revision > view.owner_revision:
            view.owner, view.owner_revision = node, kept.revision
        self.put(kept)

    def _apply(self, change: KeyChange) -> bool:
        job, part = split_key(change.key)
        view = self.jobs.setdefault(job, JobView(job))
        if part == OWNER:
            if change.revision < view.owner_revision:
                return False
            view.last_owner = view.owner or view.last_owner
            view.owner = NodeId(change.entry.value.decode()) if change.entry else None
            view.owner_revision = change.revision if change.entry else ABSENT
            return True
        if part != RECORD:
            return False
        if change.entry is None:
            view.kept = None
            return True
        try:
            kept = decode_record(change.entry)
        except msgspec.DecodeError as error:
            log.warning("job record not read", extra={"job": job, "reason": str(error)})
            return False
        if view.kept is not None and kept.revision <= view.kept.revision:
            return False
        view.kept = kept
        return True

    def _tell(self, view: JobView) -> None:
        for callback in self.on_change:
            callback(view)
