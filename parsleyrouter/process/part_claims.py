"""Decide which node may run a part, and build the next record of a part."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from enum import Enum

from parsleyrouter.ids import ChunkName, Epoch, ItemIndex, NodeId
from parsleyrouter.process.job_records import (
    JobPhase,
    JobRecord,
    PartPhase,
    PartRecord,
    Tally,
)

__all__ = [
    "Commit",
    "Step",
    "cancelled",
    "claimed",
    "committed",
    "finished",
    "handed_over",
    "is_own",
    "next_step",
    "step_for_job",
]


class Step(Enum):
    """What the home node of a part does with it next."""

    CLAIM = "claim"
    FINALIZE = "settle"
    WATCH = "watch"


@dataclass(frozen=True)
class Commit:
    """What one group commit adds to a part record."""

    chunks: tuple[ChunkName, ...] = ()
    tally: Tally = Tally()
    ended: frozenset[ItemIndex] = frozenset()
    starting: frozenset[ItemIndex] = frozenset()
    not_run: frozenset[ItemIndex] = frozenset()
    late: bool = False


def next_step(
    part: PartRecord,
    me: NodeId,
    live: Collection[NodeId],
    *,
    running_here: bool,
    unchanged_s: float,
    owner_timeout_s: float,
) -> Step:
    """Return the next step of the home node for a part that is unchanged for ``unchanged_s``.

    The fleet view reports failures early; an owner that changes nothing for ``owner_timeout_s`` is
    assumed dead whatever the view says. A wrong guess costs repeated work, but no results: the
    epoch protects them.
    """
    if running_here:
        return Step.WATCH
    if part.phase in (PartPhase.DONE, PartPhase.CANCELLED):
        return Step.FINALIZE
    if part.phase is PartPhase.WAITING:
        return Step.CLAIM
    if part.owner == me or part.owner not in live or unchanged_s > owner_timeout_s:
        return Step.CLAIM
    return Step.WATCH


def step_for_job(part: PartRecord, job: JobRecord | None) -> Step | None:
    """Return the step that the job record requires; ``None`` means that the part is stale.

    Read the job after the part: a part that the job lists as done, or whose job is gone, was
    written by a slow resend and must not run again.
    """
    if job is None or part.part in job.parts or job.manifest:
        return None
    if job.phase is JobPhase.RUNNING:
        return Step.CLAIM
    return Step.FINALIZE if job.phase is JobPhase.CANCELLED else Step.WATCH


def claimed(part: PartRecord, me: NodeId) -> PartRecord:
    """Return the record of a part claimed by a node; taking it from an owner counts a crash."""
    crashed = part.phase is PartPhase.RUNNING
    return replace(
        part,
        phase=PartPhase.RUNNING,
        owner=me,
        epoch=Epoch(part.epoch + 1),
        crashes=part.crashes + crashed,
    )


def is_own(part: PartRecord, me: NodeId, epoch: Epoch) -> bool:
    """Return whether a record was written under this claim."""
    return part.owner == me and part.epoch == epoch and part.phase is PartPhase.RUNNING


def committed(part: PartRecord, commit: Commit) -> PartRecord:
    """Return the record after one group commit."""
    started = {
        index: times
        for index, times in part.started.items()
        if index not in commit.ended and index not in commit.not_run
    }
    for index in commit.starting:
        started[index] = started.get(index, 0) + 1
    return replace(
        part,
        chunks=part.chunks + tuple(name for name in commit.chunks if name not in part.chunks),
        tally=part.tally + commit.tally,
        started=started,
        late=commit.late,
    )


def finished(part: PartRecord, manifest: ChunkName, tally: Tally) -> PartRecord:
    """Return the record of a part whose results are all in one manifest."""
    return replace(
        part, phase=PartPhase.DONE, manifest=manifest, tally=tally, chunks=(), started={}
    )


def handed_over(part: PartRecord, unstarted: Iterable[ItemIndex] = ()) -> PartRecord:
    """Return the record of a part that its owner releases in a graceful shutdown."""
    gone = set(unstarted)
    started = {index: times for index, times in part.started.items() if index not in gone}
    return replace(part, phase=PartPhase.WAITING, owner=NodeId(""), started=started)


def cancelled(part: PartRecord) -> PartRecord:
    """Return the record of a part that is cancelled."""
    return replace(part, phase=PartPhase.CANCELLED)
