"""Own batch jobs: claim those that nobody runs, and give up those that others have claimed."""

import logging
from collections.abc import Callable
from functools import partial
from random import Random

from parsleyrouter.connection.key_value import KeyValueFailure, LeaseLost, WriteApplied
from parsleyrouter.ids import ItemIndex, JobId
from parsleyrouter.process.job_directory import JobDirectory, JobView
from parsleyrouter.process.job_run import JobRun
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry
from parsleyrouter.process.shared_job_store import KeptJob, SharedJobStore
from parsleyrouter.request.shared_job import ItemResult, JobItem

__all__ = ["JobOwner"]

CLAIM_SPREAD_S = 0.4
"""Nodes wait up to this long before they claim a job, so that they do not all try at once."""

RETRY_S = 0.25
"""Pause before a call to the key-value service that failed is made again."""

CHECK_S = 0.01
"""Pause between looks for the end of what is under way at a stop."""

log = logging.getLogger(__name__)


class JobOwner:
    """Hold a run for each job that this node owns."""

    def __init__(
        self,
        loop: Loop,
        store: SharedJobStore,
        job_directory: JobDirectory,
        registry: NodeRegistry,
        random: Random,
    ) -> None:
        self.loop = loop
        self.store = store
        self.job_directory = job_directory
        self.registry = registry
        self.random = random
        self.runs: dict[JobId, JobRun] = {}
        self.taking: set[JobId] = set()
        self.leaving = False
        self.on_listed: Callable[[JobId, int, list[ItemResult]], object] = lambda *_: None
        """Hear of results that this node has listed from a position on."""
        job_directory.on_change.append(self.look_at)
        registry.on_lease.append(self.look_at_all)

    def look_at(self, view: JobView) -> None:
        """Take up, give up or claim a job after a change."""
        run = self.runs.get(view.job)
        if run is not None and not view.open:
            self._give_up(run, view)
        if not view.open or self.leaving:
            return
        mine = view.owner == self.registry.own.node
        if run is not None and view.owner is not None and not mine:
            self._give_up(run, view)
            return
        if view.owner is None or (mine and run is None):
            self._take_soon(view)

    def begin(self, kept: KeptJob, items: list[JobItem]) -> None:
        """Run a job that this node has just created as its owner."""
        if not self.leaving and kept.record.job not in self.runs:
            self._run(kept, items, frozenset())
        self.job_directory.put_owned(kept, self.registry.own.node)

    def look_at_all(self) -> None:
        """Look at every job, after the lease has been taken anew."""
        for view in list(self.job_directory.jobs.values()):
            self.look_at(view)

    def listed(self, job: JobId) -> int | None:
        """Return how many results of a job are listed if no other node can have listed any.

        A former owner still lists what it had done, so this holds only where there was none.
        """
        run, view = self.runs.get(job), self.job_directory.jobs.get(job)
        if run is None or view is None or not self.registry.lease_is_fresh():
            return None
        if view.owner_revision != run.kept.revision:
            return None
        return len(run.listed)

    async def leave(self, limit_s: float) -> None:
        """Stop all items, save what they have produced and list what is done."""
        self.leaving = True
        until_s = self.loop.now() + limit_s
        runs = list(self.runs.values())
        for run in runs:
            run.stop()
        while any(run.running or run.saving for run in runs) and self.loop.now() < until_s:
            await self.loop.sleep(CHECK_S)
        for run in runs:
            await run.save()
        while any(run.listing for run in runs) and self.loop.now() < until_s:
            await self.loop.sleep(CHECK_S)

    def _give_up(self, run: JobRun, view: JobView) -> None:
        """Run nothing more of a job; what is done is still listed."""
        del self.runs[view.job]
        run.stop()
        self._log_job("job given up", view)

    def _take_soon(self, view: JobView) -> None:
        if view.job in self.taking or view.job in self.runs and view.owner is not None:
            return
        self.taking.add(view.job)
        mine = view.owner == self.registry.own.node or view.job in self.runs
        delay_s = 0.0 if mine else self.random.uniform(0.05, CLAIM_SPREAD_S)
        self.loop.spawn(self._take(view, delay_s), f"take job {view.job}")

    async def _take(self, view: JobView, delay_s: float) -> None:
        try:
            await self.loop.sleep(delay_s)
            if await self._claim(view) and view.job not in self.runs:
                await self._load(view)
        finally:
            self.taking.discard(view.job)

    async def _claim(self, view: JobView) -> bool:
        """Become the owner if nobody is; return whether this node owns the job."""
        own = self.registry.own.node
        if view.owner is not None or not view.open or self.leaving:
            return view.open and view.owner == own
        if not self.registry.lease or view.kept is None:
            return False
        done = await self.store.claim(view.kept, own, self.registry.lease, view.owner_revision)
        if isinstance(done, WriteApplied):
            view.owner, view.owner_revision = own, done.revision
            self._log_job("job claimed", view)
            return True
        if isinstance(done, KeyValueFailure | LeaseLost):
            await self.loop.sleep(RETRY_S)
            self.loop.call_soon(lambda: self.look_at(view))
        return False

    async def _load(self, view: JobView) -> None:
        assert view.kept is not None
        record = view.kept.record
        items = await self.store.items(record)
        listed = await self.store.listed(record.job)
        saved = await self.store.saved(record.job)
        if (
            isinstance(items, KeyValueFailure)
            or isinstance(listed, KeyValueFailure)
            or isinstance(saved, KeyValueFailure)
        ):
            await self.loop.sleep(RETRY_S)
            self.loop.call_soon(lambda: self.look_at(view))
            return
        if not view.open or view.owner != self.registry.own.node:
            return
        run = self._run(view.kept, items, listed.indexes)
        run.restore(saved)
        log.info("job taken up", extra={"job": record.job, "saved": len(saved)})
        run.close_if_done()

    def _run(self, kept: KeptJob, items: list[JobItem], listed: frozenset[ItemIndex]) -> JobRun:
        job = kept.record.job
        run = JobRun(self.loop, self.store, self.job_directory, kept, items, set(listed))
        run.on_listed = partial(self.on_listed, job)
        self.runs[job] = run
        fields = {"job": job, "item_count": len(items), "listed": len(listed)}
        log.info("job runs here", extra=fields | {"revision": kept.revision})
        return run

    def _log_job(self, message: str, view: JobView) -> None:
        kept = view.kept
        fields: dict[str, object] = {"job": view.job, "owner": view.owner}
        fields["owner_revision"] = view.owner_revision
        if kept is not None:
            fields |= {"state": kept.record.state.value, "revision": kept.revision}
        log.info(message, extra=fields)
