"""Claim batch jobs that have no owner, and release those that other nodes have claimed."""

import logging
from collections.abc import Callable
from functools import partial
from random import Random

from parsleyrouter.connection.key_value import KeyValueFailure, WriteApplied
from parsleyrouter.ids import ItemIndex, JobId
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.job_directory import JobDirectory, JobView
from parsleyrouter.process.job_memory import JobMemory
from parsleyrouter.process.job_run import JobRun
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry
from parsleyrouter.process.progress_saver import ProgressSaver
from parsleyrouter.process.shared_job_store import SharedJobStore, VersionedJob
from parsleyrouter.request.shared_job import ItemResult, JobItem

__all__ = ["JobOwner"]

CLAIM_INTERVAL_S = 0.1
"""Time that a claim and the news of it take; each node waits for those that rank before it."""

STANDBY_CLAIM_S = 2.0
"""Delay after which nodes on standby claim a job that no active node has claimed."""

RETRY_PAUSE_S = 0.25
"""Pause before a job that no node is known to run is claimed or loaded again."""

STOP_POLL_INTERVAL_S = 0.01
"""Pause between checks whether running items and writes have ended during a stop."""

log = logging.getLogger(__name__)


class JobOwner:
    """Hold a run for each job that this node owns."""

    def __init__(
        self,
        loop: Loop,
        store: SharedJobStore,
        job_directory: JobDirectory,
        registry: NodeRegistry,
        members: CellMembers,
        rng: Random,
    ) -> None:
        self.loop = loop
        self.store = store
        self.job_directory = job_directory
        self.registry = registry
        self.members = members
        self.rng = rng
        self.runs: dict[JobId, JobRun] = {}
        self.claiming: set[JobId] = set()
        self.saver = ProgressSaver(loop, store, job_directory)
        self.leaving = False
        self.on_listed: Callable[[JobId, int, list[ItemResult]], object] = lambda *_: None
        """Called with the results that this node has listed, starting at a position."""
        self.memory = JobMemory()
        self.on_release: list[Callable[[JobRun], object]] = []
        """Called with the run of a job that this node no longer owns or that has ended."""
        job_directory.on_change.append(self.reconcile)
        registry.on_lease.append(self.reconcile_all)

    def reconcile(self, view: JobView) -> None:
        """Run, release or claim a job after its view has changed."""
        run = self.runs.get(view.job)
        if run is not None and not view.open:
            self._release(run, view)
        if not view.open or self.leaving:
            return
        mine = view.owner == self.registry.own.node
        if run is not None and view.owner is not None and not mine:
            self._release(run, view)
            return
        if view.owner is None or (mine and run is None):
            self._schedule_claim(view)

    def start_created(self, versioned: VersionedJob, items: list[JobItem]) -> None:
        """Run a job that this node has just created as its owner."""
        if not self.leaving and versioned.record.job not in self.runs:
            self._start_run(versioned, items, frozenset())
        self.job_directory.put_owned(versioned, self.registry.own.node)

    def reconcile_all(self) -> None:
        """Reconcile every job after the node has obtained a new lease."""
        for view in list(self.job_directory.jobs.values()):
            self.reconcile(view)

    def listed(self, job: JobId) -> int | None:
        """Return how many results of a job are listed, ``None`` if others may have listed some.

        A former owner still lists its finished results, so the number is certain only for jobs
        that never had another owner.
        """
        run, view = self.runs.get(job), self.job_directory.jobs.get(job)
        if run is None or view is None or not self.registry.lease_is_fresh():
            return None
        if view.owner_revision != run.versioned.revision:
            return None
        return len(run.listed)

    async def leave(self, limit_s: float) -> None:
        """Stop all items, save their progress and list finished results."""
        self.leaving = True
        until_s = self.loop.now() + limit_s
        runs = list(self.runs.values())
        for run in runs:
            run.stop()
        while any(run.running for run in runs) or self.saver.saving:
            if self.loop.now() >= until_s:
                break
            await self.loop.sleep(STOP_POLL_INTERVAL_S)
        await self.saver.save(runs)
        while any(run.listing for run in runs) and self.loop.now() < until_s:
            await self.loop.sleep(STOP_POLL_INTERVAL_S)

    def _release(self, run: JobRun, view: JobView) -> None:
        """Start no more items of a job; finished results are still listed."""
        del self.runs[view.job]
        self.memory.release(view.job)
        run.stop()
        for callback in self.on_release:
            callback(run)
        self._log_job("job released", view)

    def _schedule_claim(self, view: JobView) -> None:
        if view.job in self.claiming or view.job in self.runs and view.owner is not None:
            return
        self.claiming.add(view.job)
        mine = view.owner == self.registry.own.node or view.job in self.runs
        delay_s = 0.0 if mine else self._claim_delay_s(view.job)
        self.loop.spawn(self._claim_and_load(view, delay_s), f"claim job {view.job}")

    def _claim_delay_s(self, job: JobId) -> float:
        rank = self.members.claim_rank(job)
        if rank is None:
            return STANDBY_CLAIM_S + self.rng.uniform(0.0, STANDBY_CLAIM_S)
        return (rank + self.rng.uniform(0.5, 1.0)) * CLAIM_INTERVAL_S

    async def _claim_and_load(self, view: JobView, delay_s: float) -> None:
        try:
            await self.loop.sleep(delay_s)
            if await self._claim(view) and view.job not in self.runs:
                await self._load(view)
        except Exception:
            log.exception("job not taken up", extra={"job": view.job})
        finally:
            self.claiming.discard(view.job)
            # Changes of the job that came meanwhile were left to this task.
            if self._is_unattended(view):
                self.loop.call_later(RETRY_PAUSE_S, lambda: self.reconcile(view))

    def _is_unattended(self, view: JobView) -> bool:
        """Return whether no node is known to run an open job."""
        mine = view.owner == self.registry.own.node
        return view.open and (view.owner is None or (mine and view.job not in self.runs))

    async def _claim(self, view: JobView) -> bool:
        """Claim the job if it has no owner; return whether this node owns it."""
        own = self.registry.own.node
        if view.owner is not None or not view.open or self.leaving:
            return view.open and view.owner == own
        if not self.registry.lease or view.versioned is None:
            return False
        done = await self.store.claim(view.versioned, own, self.registry.lease, view.owner_revision)
        if not isinstance(done, WriteApplied):
            return False
        view.owner, view.owner_revision = own, done.revision
        self._log_job("job claimed", view)
        return True

    async def _load(self, view: JobView) -> None:
        assert view.versioned is not None
        record = view.versioned.record
        items = await self.store.items(record)
        listed = await self.store.listed(record.job)
        saved = await self.store.saved(record.job)
        if (
            isinstance(items, KeyValueFailure)
            or isinstance(listed, KeyValueFailure)
            or isinstance(saved, KeyValueFailure)
        ):
            return
        if not view.open or view.owner != self.registry.own.node:
            return
        run = self._start_run(view.versioned, items, listed.indexes)
        run.restore(saved)
        log.info("job taken up", extra={"job": record.job, "saved": len(saved)})
        run.close_if_done()

    def _start_run(
        self, versioned: VersionedJob, items: list[JobItem], listed: frozenset[ItemIndex]
    ) -> JobRun:
        job = versioned.record.job
        run = JobRun(self.loop, self.store, self.job_directory, versioned, items, set(listed))
        run.on_listed = partial(self.on_listed, job)
        self.runs[job] = run
        self.memory.hold(job, items)
        fields = {"job": job, "item_count": len(items), "listed": len(listed)}
        log.info("job runs here", extra=fields | {"revision": versioned.revision})
        return run

    def _log_job(self, message: str, view: JobView) -> None:
        versioned = view.versioned
        fields: dict[str, object] = {"job": view.job, "owner": view.owner}
        fields["owner_revision"] = view.owner_revision
        if versioned is not None:
            fields |= {"state": versioned.record.state.value, "revision": versioned.revision}
        log.info(message, extra=fields)
