"""Watch the keys under one prefix of the key-value service: list once, then read changes."""

import logging
import math
from collections.abc import Callable, Iterable

from parsleyrouter.connection.key_value import (
    Entry,
    HistoryCompacted,
    KeyChange,
    KeyValueFailure,
    KeyValueFailureKind,
)
from parsleyrouter.ids import Revision
from parsleyrouter.process.cell_reader import CellReader
from parsleyrouter.process.loop import Loop

__all__ = ["PrefixWatcher"]

CHANGES_WAIT_S = 8.0
"""Long-poll time of a read of changes; long, since each read is billed. Keep-alive probes of the
connection detect earlier that it is dead."""

CHANGES_WAIT_JITTER = 0.2
"""Largest deviation from the long-poll time as a fraction of it, so that the reads of nodes which
saw the same change do not all end in the same short outage."""

CONFIRM_WAIT_S = 1.0
"""Long-poll time of the read after a change: changes come in series, and a read that is lost in an
outage too short for other calls to fail is noticed by its time-out only."""

RETRY_S = 0.1
MAX_RETRY_S = 0.5
"""First and longest pause between failing calls, below the time in which changes must apply."""

log = logging.getLogger(__name__)


class PrefixWatcher:
    """Deliver every listing and change of a prefix, in order and without gaps.

    ``pause_s`` between reads batches frequent changes into one call.
    """

    def __init__(
        self,
        loop: Loop,
        reader: CellReader,
        prefix: str,
        *,
        on_list: Callable[[Iterable[Entry]], object],
        on_change: Callable[[KeyChange], object],
        pause_s: float = 0.0,
    ) -> None:
        self.loop = loop
        self.reader = reader
        self.prefix = prefix
        self.watched = reader.watched_prefix(prefix)
        self.on_list = on_list
        self.on_change = on_change
        self.pause_s = pause_s
        self.revision: Revision | None = None
        self.last_success_s = 0.0
        """When a read last succeeded; monotonic."""
        self.sent_s = 0.0
        """When the latest read began; monotonic."""
        self.failures = 0
        self.changed = True
        """Whether the latest read returned changes."""

    def start(self) -> None:
        """Start watching."""
        self.loop.spawn(self._watch(), f"watch {self.prefix}")

    async def _watch(self) -> None:
        while True:
            self.sent_s = self.loop.now()
            if self.revision is None:
                failure = await self._list()
            else:
                failure = await self._read_changes(self.revision)
            if failure is not None:
                await self._handle_failure(failure)
                continue
            if self.failures:
                log.warning("dependency regained", extra=self._fields())
            self.failures = 0
            self.last_success_s = self.loop.now()
            pause_s = self.reader.pause_after_s(self.pause_s)
            if pause_s:
                await self.loop.sleep(pause_s)

    async def _list(self) -> KeyValueFailure | None:
        """Read all pages; later changes are read from the revision of the first page on."""
        entries: list[Entry] = []
        revision: Revision | None = None
        after = ""
        proved_s = math.inf
        while True:
            page = await self.reader.scan(self.prefix, after=after)
            if isinstance(page, KeyValueFailure):
                return page
            proved_s = min(proved_s, self.reader.proofs_s[self.prefix])
            revision = page.revision if revision is None else revision
            entries.extend(page.entries)
            if not page.more or not page.entries:
                break
            after = page.entries[-1].key
        if revision is not None and revision < (self.watched.revision or 0):
            self.reader.distrust_leader()
            message = f"the listing is of revision {revision}, before what is known here"
            return KeyValueFailure(KeyValueFailureKind.UNAVAILABLE, message)
        self.revision = revision
        self.watched.replace(entries, revision)
        self.watched.prove(proved_s)
        self._deliver(lambda: self.on_list(entries))
        return None

    async def _read_changes(self, revision: Revision) -> KeyValueFailure | None:
        page = await self.reader.changes(self.prefix, revision, self._wait_s())
        if isinstance(page, KeyValueFailure):
            return page
        if isinstance(page, HistoryCompacted):
            log.warning("history lost, listing anew", extra=self._fields())
            self.revision = None
            return None
        self.changed = bool(page.changes)
        for change in page.changes:
            self._deliver(lambda change=change: self.on_change(change))  # type: ignore[misc]
        self.revision = max(page.revision, revision)
        self.watched.apply(page.changes, self.revision)
        self.watched.prove(self.reader.proofs_s[self.prefix])
        return None

    def _wait_s(self) -> float:
        """Return the long-poll time of the next read; a read after a failed one returns at once."""
        if self.failures:
            return 0.0
        if self.changed:
            return CONFIRM_WAIT_S
        jitter = self.reader.random.uniform(-CHANGES_WAIT_JITTER, CHANGES_WAIT_JITTER)
        return CHANGES_WAIT_S * (1 + jitter)

    def _deliver(self, call: Callable[[], object]) -> None:
        try:
            call()
        except Exception:
            log.exception("prefix watcher callback failed", extra={"prefix": self.prefix})

    async def _handle_failure(self, failure: KeyValueFailure) -> None:
        if not self.failures:
            fields = self._fields() | {"failure": failure.kind.value, "reason": failure.message}
            log.warning("dependency lost", extra=fields)
        self.failures += 1
        await self.loop.sleep(min(MAX_RETRY_S, RETRY_S * self.failures))

    def _fields(self) -> dict[str, object]:
        now, store = self.loop.now(), self.reader.store
        return {
            "dependency": "key-value service",
            "prefix": self.prefix,
            "revision": self.revision,
            "age_s": round(now - self.last_success_s, 3),
            "read_s": round(now - self.sent_s, 3),
            "budget_wait_s": round(store.budget_waits_s.get("changes", 0.0), 3),
            # A long read beside a recent answer to another call: the read itself was lost.
            "any_answer_s": round(now - store.contact.answered_s, 3),
        }
