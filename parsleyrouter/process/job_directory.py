"""All batch jobs by their records and owners, as watched in the key-value service."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from parsleyrouter.connection.key_value import ABSENT, Entry, KeyChange
from parsleyrouter.decoding import InvalidData
from parsleyrouter.ids import JobId, NodeId, Revision
from parsleyrouter.process.shared_job_store import (
    LEFT,
    OWNER,
    RECORD,
    JobKeys,
    VersionedJob,
    decode_record,
    split_key,
)
from parsleyrouter.request.shared_job import JobState

__all__ = ["JobDirectory", "JobView"]

log = logging.getLogger(__name__)


@dataclass
class JobView:
    """One job as last seen."""

    job: JobId
    versioned: VersionedJob | None = None
    owner: NodeId | None = None
    owner_revision: Revision = ABSENT
    last_owner: NodeId | None = None
    """The node that ran the job before it ended or lost its owner."""
    left_tokens: int | None = None
    """Tokens of the items that are not listed, ``None`` until some are."""
    left_revision: Revision = ABSENT

    @property
    def open(self) -> bool:
        """Return whether items may still be run."""
        return self.versioned is not None and self.versioned.record.state is JobState.OPEN


class JobDirectory:
    """Hold a view of every job and call back with each view that has changed.

    ``on_change`` is called for records and owners, ``on_tokens`` for records and waiting tokens.
    """

    def __init__(self) -> None:
        self.jobs: dict[JobId, JobView] = {}
        self.hosts: set[str] = set()
        """The hosts at which the jobs were submitted, in lower case."""
        self.listed = False
        """Whether all stored jobs were listed once."""
        self.on_change: list[Callable[[JobView], object]] = []
        self.on_tokens: list[Callable[[JobView], object]] = []

    def apply_list(self, entries: Iterable[Entry]) -> None:
        """Apply a complete listing of records and owners."""
        self.listed = True
        changes = [KeyChange(entry.key, entry.revision, entry) for entry in entries]
        listed = {change.key for change in changes}
        for view in self.jobs.values():
            if view.owner is not None and JobKeys(view.job).owner not in listed:
                view.last_owner = view.owner
                view.owner, view.owner_revision = None, ABSENT
        changed = {split_key(change.key)[0] for change in changes if self._apply(change)}
        for job in changed | self.jobs.keys():
            self._notify(self.jobs[job])

    def apply_change(self, change: KeyChange) -> None:
        """Apply one change from the watch."""
        if self._apply(change):
            self._notify(self.jobs[split_key(change.key)[0]])

    def put(self, versioned: VersionedJob) -> JobView:
        """Apply a record that was read or written outside of the watch."""
        view = self.jobs.setdefault(versioned.record.job, JobView(versioned.record.job))
        if view.versioned is None or versioned.revision > view.versioned.revision:
            view.versioned = versioned
            self.hosts.add(versioned.record.host.lower())
            self._notify(view)
        return view

    def put_owned(self, versioned: VersionedJob, node: NodeId) -> None:
        """Apply a job that was created together with its owner."""
        view = self.jobs.setdefault(versioned.record.job, JobView(versioned.record.job))
        if versioned.revision > view.owner_revision:
            view.owner, view.owner_revision = node, versioned.revision
        self.put(versioned)

    def _apply(self, change: KeyChange) -> bool:
        job, part = split_key(change.key)
        view = self.jobs.setdefault(job, JobView(job))
        if part == OWNER:
            if change.revision < view.owner_revision:
                return False
            try:
                owner = NodeId(change.entry.value.decode()) if change.entry else None
            except UnicodeDecodeError as error:
                log.warning("job owner not read", extra={"job": job, "reason": str(error)})
                return False
            view.last_owner = view.owner or view.last_owner
            view.owner = owner
            view.owner_revision = change.revision if change.entry else ABSENT
            return True
        if part == LEFT:
            self._apply_left(view, change)
            return False
        if part != RECORD:
            return False
        if change.entry is None:
            view.versioned = None
            return True
        try:
            versioned = decode_record(change.entry)
        except InvalidData as error:
            log.warning("job record not read", extra={"job": job, "reason": str(error)})
            return False
        if view.versioned is not None and versioned.revision <= view.versioned.revision:
            return False
        view.versioned = versioned
        self.hosts.add(versioned.record.host.lower())
        return True

    def _apply_left(self, view: JobView, change: KeyChange) -> None:
        if change.entry is None or change.revision <= view.left_revision:
            return
        view.left_revision = change.revision
        try:
            view.left_tokens = int(change.entry.value)
        except ValueError as error:
            extra = {"job": view.job, "reason": str(error)}
            log.warning("waiting tokens of a job not read", extra=extra)
        for callback in self.on_tokens:
            callback(view)

    def _notify(self, view: JobView) -> None:
        for callback in (*self.on_change, *self.on_tokens):
            callback(view)
