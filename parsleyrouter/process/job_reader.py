"""Read results and items of batch jobs for clients, and keep what was read lately."""

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

CACHE_BYTES = 8 * 1024 * 1024
"""Results and items of jobs kept in memory for readers."""

RECHECK_S = 0.25
"""Pause between looks whether this node still runs the job that a reader waits for."""

PAGE_BYTES = 700_000
"""Largest output of one page of results; clients take 1 MB."""


class _Kept:
    """What readers of one job have been shown so far; results never change."""

    def __init__(self, loop: Loop) -> None:
        self.results: list[ItemResult] = []
        self.fed = Condition(loop)
        self.revision: Revision | None = None
        self.items: list[JobItem] | None = None
        self.size = 0


class JobReader:
    """Serve results from memory where they are known; they never change."""

    def __init__(self, loop: Loop, key_value: TransactionalKeyValue, store: SharedJobStore) -> None:
        self.loop = loop
        self.key_value = key_value
        self.store = store
        self.kept: OrderedDict[JobId, _Kept] = OrderedDict()
        self.listed_here: Callable[[JobId], int | None] = lambda job: None
        """Return how many results this node has listed of a job that it surely runs itself."""

    async def read(
        self, record: JobRecord, start: int, wait_s: float
    ) -> ResultPage | KeyValueFailure:
        """Return results from a position on, waiting up to ``wait_s`` for the first one."""
        until_s = self.loop.now() + wait_s
        kept = self._keep(record.job)
        while True:
            page = self._page(record, kept, start)
            left_s = until_s - self.loop.now()
            if page.results or len(kept.results) >= record.total:
                return page
            listed = self.listed_here(record.job)
            if listed is not None and listed <= len(kept.results):
                if left_s <= 0:
                    return page
                await kept.fed.wait(min(left_s, RECHECK_S))
                continue
            failure = await self._read_on(record.job, kept, max(0.0, left_s))
            if failure is not None:
                return failure
            if left_s <= 0 or len(kept.results) > start:
                return self._page(record, kept, start)

    def known(self, record: JobRecord, start: int) -> ResultPage | None:
        """Return results from a position on if any are known here."""
        kept = self.kept.get(record.job)
        if kept is None or len(kept.results) <= start:
            return None
        return self._page(record, kept, start)

    def feed(self, job: JobId, start: int, results: Sequence[ItemResult]) -> None:
        """Take results that are listed from a position on, unless some before them are missing."""
        kept = self._keep(job)
        self._append(kept, dict(enumerate(results, start)))
        kept.fed.notify_all()

    async def items(self, record: JobRecord) -> list[JobItem] | KeyValueFailure:
        """Return the items of a job, from memory when they were read lately."""
        kept = self._keep(record.job)
        if kept.items is None:
            items = await self.store.items(record)
            if isinstance(items, KeyValueFailure):
                return items
            kept.items = items
            kept.size += sum(len(one.body) for one in items)
        return kept.items

    async def _read_on(self, job: JobId, kept: _Kept, wait_s: float) -> KeyValueFailure | None:
        """Read results behind those known, waiting for the first one."""
        if kept.revision is not None and wait_s > 0:
            prefix = JobKeys(job).results
            changes = await self.key_value.changes(prefix, kept.revision, wait_s)
            if isinstance(changes, KeyValueFailure):
                return changes
            if isinstance(changes, ChangePage):
                entries = [one.entry for one in changes.changes if one.entry is not None]
                self._append(kept, by_position(entries))
                seen = [one.revision for one in changes.changes]
                kept.revision = max([kept.revision, *seen])
                return None
        return await self._scan_on(job, kept)

    async def _scan_on(self, job: JobId, kept: _Kept) -> KeyValueFailure | None:
        """Read the results behind those known, as they are now."""
        keys = JobKeys(job)
        after = keys.result(len(kept.results) - 1) if kept.results else ""
        page = await self.key_value.scan(keys.results, after=after)
        if isinstance(page, KeyValueFailure):
            return page
        self._append(kept, by_position(page.entries))
        kept.revision = None if page.more else page.revision
        return None

    def _append(self, kept: _Kept, results: dict[int, ItemResult]) -> None:
        while (result := results.get(len(kept.results))) is not None:
            kept.results.append(result)
            kept.size += len(result.output)

    def _page(self, record: JobRecord, kept: _Kept, start: int) -> ResultPage:
        results: list[ItemResult] = []
        size = 0
        for result in kept.results[start:]:
            size += len(result.output)
            if results and size > PAGE_BYTES:
                break
            results.append(result)
        return ResultPage(record.total, start, tuple(results))

    def _keep(self, job: JobId) -> _Kept:
        kept = self.kept.setdefault(job, _Kept(self.loop))
        self.kept.move_to_end(job)
        while len(self.kept) > 1 and sum(one.size for one in self.kept.values()) > CACHE_BYTES:
            self.kept.popitem(last=False)
        return kept
