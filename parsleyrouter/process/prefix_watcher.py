"""Follow the keys under one prefix of a key-value service: list once, then read changes."""

import logging
from collections.abc import Callable, Iterable

from parsleyrouter.connection.key_value import (
    Entry,
    HistoryCompacted,
    KeyChange,
    KeyValueFailure,
)
from parsleyrouter.ids import Revision
from parsleyrouter.process.cell_reader import CellReader
from parsleyrouter.process.loop import Loop

__all__ = ["PrefixWatcher"]

WAIT_S = 5.0
"""How long the service may hold a read of changes back; each read is paid for. Keep-alive probes of
the connection show earlier when it has gone silent."""

RETRY_S = 0.1
LONGEST_RETRY_S = 0.5
"""First and longest pause between calls that fail, below the time in which changes must apply."""

log = logging.getLogger(__name__)


class PrefixWatcher:
    """Hand on every listing and change of a prefix, in order and without gaps.

    ``pause_s`` between reads lets frequent changes come together in one call.
    """

    def __init__(
        self,
        loop: Loop,
        reads: CellReader,
        prefix: str,
        *,
        on_list: Callable[[Iterable[Entry]], object],
        on_change: Callable[[KeyChange], object],
        pause_s: float = 0.0,
    ) -> None:
        self.loop = loop
        self.reads = reads
        self.prefix = prefix
        self.kept = reads.keep(prefix)
        self.on_list = on_list
        self.on_change = on_change
        self.pause_s = pause_s
        self.revision: Revision | None = None
        self.fresh_s = 0.0
        """When the service last answered; monotonic."""
        self.failures = 0

    def start(self) -> None:
        """Begin to follow."""
        self.loop.spawn(self._follow(), f"follow {self.prefix}")

    async def _follow(self) -> None:
        while True:
            if self.revision is None:
                failure = await self._list()
            else:
                failure = await self._read_changes(self.revision)
            if failure is not None:
                await self._note_failure(failure)
                continue
            if self.failures:
                log.warning("dependency regained", extra=self._fields())
            self.failures = 0
            self.fresh_s = self.loop.now()
            if self.pause_s:
                await self.loop.sleep(self.pause_s)

    async def _list(self) -> KeyValueFailure | None:
        """Read all pages; changes made meanwhile are read again after the first one's revision."""
        entries: list[Entry] = []
        revision: Revision | None = None
        after = ""
        while True:
            page = await self.reads.scan(self.prefix, after=after)
            if isinstance(page, KeyValueFailure):
                return page
            revision = page.revision if revision is None else revision
            entries.extend(page.entries)
            if not page.more or not page.entries:
                break
            after = page.entries[-1].key
        self.revision = revision
        self.kept.replace(entries, revision)
        self._hand_on(lambda: self.on_list(entries))
        return None

    async def _read_changes(self, revision: Revision) -> KeyValueFailure | None:
        page = await self.reads.changes(self.prefix, revision, WAIT_S)
        if isinstance(page, KeyValueFailure):
            return page
        if isinstance(page, HistoryCompacted):
            log.warning("history lost, listing anew", extra=self._fields())
            self.revision = None
            return None
        for change in page.changes:
            self._hand_on(lambda change=change: self.on_change(change))  # type: ignore[misc]
        self.revision = max(page.revision, revision)
        self.kept.apply(page.changes, self.revision)
        return None

    def _hand_on(self, call: Callable[[], object]) -> None:
        try:
            call()
        except Exception:
            log.exception("change not taken", extra={"prefix": self.prefix})

    async def _note_failure(self, failure: KeyValueFailure) -> None:
        if not self.failures:
            fields = self._fields() | {"failure": failure.kind.value, "reason": failure.message}
            log.warning("dependency lost", extra=fields)
        self.failures += 1
        await self.loop.sleep(min(LONGEST_RETRY_S, RETRY_S * self.failures))

    def _fields(self) -> dict[str, object]:
        age_s = round(self.loop.now() - self.fresh_s, 3)
        return {
            "dependency": "key-value service",
            "prefix": self.prefix,
            "revision": self.revision,
            "age_s": age_s,
        }
