"""Read results and items of batch jobs for clients through a cache."""

from collections import OrderedDict
from collections.abc import Callable, Sequence

from parsleyrouter.connection.key_value import (
    ChangePage,
    KeyValueFailure,
    TransactionalKeyValue,
)
from parsleyrouter.ids import JobId, Revision
from parsleyrouter.process.condition import Condition
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.shared_job_store import JobKeys, SharedJobStore, by_position
from parsleyrouter.request.job_call import ResultPage
from parsleyrouter.request.shared_job import ItemResult, JobItem, JobRecord

__all__ = ["JobReader"]

MAX_CACHE_BYTES = 8 * 1024 * 1024
"""Results and items of all cached jobs together."""

RECHECK_INTERVAL_S = 0.25
"""Pause between checks whether this node still runs the job that a reader waits for."""

MAX_PAGE_BYTES = 700_000
"""Maximum output in one page of results; clients accept 1 MB."""


class _CachedJob:
    """What has been read of one job; listed results never change."""

    def __init__(self, loop: Loop) -> None:
        self.results: list[ItemResult] = []
        self.results_added = Condition(loop)
        self.revision: Revision | None = None
        self.items: list[JobItem] | None = None
        self.size = 0


class JobReader:
    """Serve results and items from the cache or else from the key-value service."""

    def __init__(self, loop: Loop, key_value: TransactionalKeyValue, store: SharedJobStore) -> None:
        self.loop = loop
        self.key_value = key_value
        self.store = store
        self.cached: OrderedDict[JobId, _CachedJob] = OrderedDict()
        self.listed_here: Callable[[JobId], int | None] = lambda job: None
        """Returns how many results of a job are listed, if certainly only this node lists them."""

    async def read(
        self, record: JobRecord, start: int, wait_s: float
    ) -> ResultPage | KeyValueFailure:
        """Return results starting at a position, waiting up to ``wait_s`` for the first one."""
        until_s = self.loop.now() + wait_s
        cached = self._cached_job(record.job)
        while True:
            page = self._page(record, cached, start)
            left_s = until_s - self.loop.now()
            if page.results or len(cached.results) >= record.total:
                return page
            listed = self.listed_here(record.job)
            if listed is not None and listed <= len(cached.results):
                if left_s <= 0:
                    return page
                await cached.results_added.wait(min(left_s, RECHECK_INTERVAL_S))
                continue
            failure = await self._read_more(record.job, cached, max(0.0, left_s))
            if failure is not None:
                return failure
            if left_s <= 0 or len(cached.results) > start:
                return self._page(record, cached, start)

    def cached_page(self, record: JobRecord, start: int) -> ResultPage | None:
        """Return cached results starting at a position, ``None`` if there are none."""
        cached = self.cached.get(record.job)
        if cached is None or len(cached.results) <= start:
            return None
        return self._page(record, cached, start)

    def add_results(self, job: JobId, start: int, results: Sequence[ItemResult]) -> None:
        """Cache results listed from a position on, unless earlier ones are missing."""
        cached = self._cached_job(job)
        self._append(cached, dict(enumerate(results, start)))
        cached.results_added.notify_all()

    async def items(self, record: JobRecord) -> list[JobItem] | KeyValueFailure:
        """Return the items of a job, cached if they were read recently."""
        cached = self._cached_job(record.job)
        if cached.items is None:
            items = await self.store.items(record)
            if isinstance(items, KeyValueFailure):
                return items
            cached.items = items
            cached.size += sum(len(one.body) for one in items)
        return cached.items

    async def _read_more(
        self, job: JobId, cached: _CachedJob, wait_s: float
    ) -> KeyValueFailure | None:
        """Read the results after the cached ones, waiting for the first one."""
        if cached.revision is not None and wait_s > 0:
            prefix = JobKeys(job).results
            changes = await self.key_value.changes(prefix, cached.revision, wait_s)
            if isinstance(changes, KeyValueFailure):
                return changes
            if isinstance(changes, ChangePage):
                entries = [one.entry for one in changes.changes if one.entry is not None]
                self._append(cached, by_position(entries))
                seen = [one.revision for one in changes.changes]
                cached.revision = max([cached.revision, *seen])
                return None
        return await self._scan_more(job, cached)

    async def _scan_more(self, job: JobId, cached: _CachedJob) -> KeyValueFailure | None:
        """Read the results after the cached ones without waiting."""
        keys = JobKeys(job)
        after = keys.result(len(cached.results) - 1) if cached.results else ""
        page = await self.key_value.scan(keys.results, after=after)
        if isinstance(page, KeyValueFailure):
            return page
        self._append(cached, by_position(page.entries))
        cached.revision = None if page.more else page.revision
        return None

    def _append(self, cached: _CachedJob, results: dict[int, ItemResult]) -> None:
        while (result := results.get(len(cached.results))) is not None:
            cached.results.append(result)
            cached.size += len(result.output)

    def _page(self, record: JobRecord, cached: _CachedJob, start: int) -> ResultPage:
        results: list[ItemResult] = []
        size = 0
        for result in cached.results[start:]:
            size += len(result.output)
            if results and size > MAX_PAGE_BYTES:
                break
            results.append(result)
        return ResultPage(record.total, start, tuple(results))

    def _cached_job(self, job: JobId) -> _CachedJob:
        cached = self.cached.setdefault(job, _CachedJob(self.loop))
        self.cached.move_to_end(job)
        while (
            len(self.cached) > 1 and sum(one.size for one in self.cached.values()) > MAX_CACHE_BYTES
        ):
            self.cached.popitem(last=False)
        return cached
