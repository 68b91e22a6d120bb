"""Watch settings in the key-value service on the few nodes that relay them to all others."""

import logging
import random
from collections.abc import Callable, Iterable

from xxhash import xxh3_64_intdigest

from parsleyrouter.connection.key_value import (
    ABSENT,
    Conflict,
    Entry,
    KeyChange,
    KeyValue,
    KeyValueFailure,
    Watch,
)
from parsleyrouter.ids import NodeId, Revision
from parsleyrouter.process.loop import Loop
from parsleyrouter.version.paths import SETTINGS_PREFIX, subtree_of_key
from parsleyrouter.version.replica import SettingsReplica, StoredRecord

__all__ = ["RELAY_COUNT", "SettingsFeed", "is_relay"]

RELAY_COUNT = 3
MARKER_INTERVAL_S = 2.0
WATCH_TIMEOUT_S = 6.0
RETRY_MIN_S = 0.25
RETRY_MAX_S = 8.0
SCAN_PAGE = 100

log = logging.getLogger(__name__)


def is_relay(node: NodeId, live: Iterable[NodeId]) -> bool:
    """Return whether a node is one of those that watch the key-value service."""
    ranked = sorted({node, *live}, key=lambda name: (xxh3_64_intdigest(name.encode()), name))
    return node in ranked[:RELAY_COUNT]


class SettingsFeed:
    """Scan, then watch; a marker written periodically proves that the watch is up to date.

    A change accepted before the marker was written has a lower revision than the marker, and the
    watch delivers in order of revisions: once the marker has arrived, nothing older is missing.
    """

    def __init__(
        self,
        loop: Loop,
        key_value: KeyValue,
        node: NodeId,
        replica: SettingsReplica,
        on_change: Callable[[bool], None],
    ) -> None:
        self.loop = loop
        self.key_value = key_value
        self.marker_key = f"{SETTINGS_PREFIX}~marker/{xxh3_64_intdigest(node.encode()) % 64}"
        self.replica = replica
        self.on_change = on_change
        self.rng = random.Random(node)
        self.enabled = False
        self.running = False
        self.watch: Watch | None = None
        self.watch_lost = False
        self.delivered_revision = Revision(0)
        self.marker_revision = ABSENT

    def set_active(self, enabled: bool) -> None:
        """Start or stop the feed."""
        self.enabled = enabled
        if enabled and not self.running:
            self.running = True
            self.loop.spawn(self._run(), "settings feed")

    async def _run(self) -> None:
        pause_s = RETRY_MIN_S
        while self.enabled:
            started_s = self.loop.now()
            if await self._scan():
                await self._watch_changes()
            if self.loop.now() - started_s > WATCH_TIMEOUT_S:
                pause_s = RETRY_MIN_S
            if self.enabled:
                await self.loop.sleep(pause_s * self.rng.uniform(0.5, 1.5))
            pause_s = min(2 * pause_s, RETRY_MAX_S)
        self.running = False

    async def _scan(self) -> bool:
        read_s = self.loop.now()
        first = Revision(0)
        after = ""
        found: list[StoredRecord] = []
        while True:
            page = await self.key_value.scan(SETTINGS_PREFIX, after=after, limit=SCAN_PAGE)
            if isinstance(page, KeyValueFailure):
                return False
            first = first or page.revision
            found += filter(None, map(self._stored_record, page.entries))
            if not page.more or not page.entries:
                break
            after = page.entries[-1].key
        changed = self.replica.merge_scan(found, first, read_s)
        self.on_change(changed)
        self.delivered_revision = first
        return True

    def _stored_record(self, entry: Entry) -> StoredRecord | None:
        if entry.key == self.marker_key:
            self.marker_revision = entry.revision
        subtree = subtree_of_key(entry.key)
        return None if subtree is None else StoredRecord(subtree, entry.revision, entry.value)

    async def _watch_changes(self) -> None:
        self.watch_lost = False
        start = Revision(self.delivered_revision + 1)
        self.watch = self.key_value.watch(
            SETTINGS_PREFIX, start, self._on_change, self._on_watch_lost
        )
        proved_s = self.loop.now()
        while self.enabled and not self.watch_lost:
            started_s = self.loop.now()
            if await self._prove_current():
                proved_s = started_s
            elif self.loop.now() - proved_s > WATCH_TIMEOUT_S:
                log.warning("the settings watch is stale; restarting it")
                break
            await self.loop.sleep(MARKER_INTERVAL_S * self.rng.uniform(0.8, 1.2))
        self.watch.cancel()

    async def _prove_current(self) -> bool:
        started_s = self.loop.now()
        value = str(self.rng.random()).encode()
        swapped = await self.key_value.compare_and_swap(
            self.marker_key, value, self.marker_revision
        )
        if isinstance(swapped, KeyValueFailure):
            return False
        if isinstance(swapped, Conflict):
            self.marker_revision = swapped.current.revision if swapped.current else ABSENT
            return False
        self.marker_revision = swapped.revision
        deadline_s = started_s + MARKER_INTERVAL_S
        while self.delivered_revision < swapped.revision and not self.watch_lost:
            if self.loop.now() > deadline_s:
                return False
            await self.loop.sleep(0.02)
        if self.watch_lost:
            return False
        self.on_change(self.replica.merge_scan((), swapped.revision, started_s))
        return True

    def _on_change(self, change: KeyChange) -> None:
        self.delivered_revision = max(self.delivered_revision, change.revision)
        if change.key == self.marker_key:
            self.marker_revision = change.revision
        subtree = subtree_of_key(change.key)
        if subtree is None or change.entry is None:
            return
        record = StoredRecord(subtree, change.revision, change.entry.value)
        if self.replica.merge([record]):
            self.on_change(True)

    def _on_watch_lost(self, reason: str) -> None:
        log.info("settings watch lost", extra={"reason": reason})
        self.watch_lost = True
