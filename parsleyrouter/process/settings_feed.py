"""Learn settings from the key-value service on the few nodes that relay them to the others."""

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

__all__ = ["RELAYS", "SettingsFeed", "is_relay"]

RELAYS = 3
MARK_EVERY_S = 2.0
MARK_TIMEOUT_S = 6.0
RETRY_FIRST_S = 0.25
RETRY_LONGEST_S = 8.0
SCAN_PAGE = 100

log = logging.getLogger(__name__)


def is_relay(node: NodeId, live: Iterable[NodeId]) -> bool:
    """Tell whether a node is one of the few that watch the key-value service."""
    ranked = sorted({node, *live}, key=lambda name: (xxh3_64_intdigest(name.encode()), name))
    return node in ranked[:RELAYS]


class SettingsFeed:
    """Scan, then watch; a marker written now and then shows that the watch is up to date.

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
        self.chance = random.Random(node)
        self.wanted = False
        self.running = False
        self.watch: Watch | None = None
        self.lost = False
        self.delivered = Revision(0)
        self.marker = ABSENT

    def set_active(self, wanted: bool) -> None:
        """Start or stop relaying."""
        self.wanted = wanted
        if wanted and not self.running:
            self.running = True
            self.loop.spawn(self._run(), "settings feed")

    async def _run(self) -> None:
        pause_s = RETRY_FIRST_S
        while self.wanted:
            began_s = self.loop.now()
            if await self._scan():
                await self._follow()
            if self.loop.now() - began_s > MARK_TIMEOUT_S:
                pause_s = RETRY_FIRST_S
            if self.wanted:
                await self.loop.sleep(pause_s * self.chance.uniform(0.5, 1.5))
            pause_s = min(2 * pause_s, RETRY_LONGEST_S)
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
            found += filter(None, map(self._held, page.entries))
            if not page.more or not page.entries:
                break
            after = page.entries[-1].key
        changed = self.replica.take_scan(found, first, read_s)
        self.on_change(changed)
        self.delivered = first
        return True

    def _held(self, entry: Entry) -> StoredRecord | None:
        if entry.key == self.marker_key:
            self.marker = entry.revision
        subtree = subtree_of_key(entry.key)
        return None if subtree is None else StoredRecord(subtree, entry.revision, entry.value)

    async def _follow(self) -> None:
        self.lost = False
        start = Revision(self.delivered + 1)
        self.watch = self.key_value.watch(SETTINGS_PREFIX, start, self._changed, self._lost)
        proved_s = self.loop.now()
        while self.wanted and not self.lost:
            began_s = self.loop.now()
            if await self._prove():
                proved_s = began_s
            elif self.loop.now() - proved_s > MARK_TIMEOUT_S:
                log.warning("the settings watch has fallen silent, starting anew")
                break
            await self.loop.sleep(MARK_EVERY_S * self.chance.uniform(0.8, 1.2))
        self.watch.cancel()

    async def _prove(self) -> bool:
        began_s = self.loop.now()
        value = str(self.chance.random()).encode()
        swapped = await self.key_value.compare_and_swap(self.marker_key, value, self.marker)
        if isinstance(swapped, KeyValueFailure):
            return False
        if isinstance(swapped, Conflict):
            self.marker = swapped.current.revision if swapped.current else ABSENT
            return False
        self.marker = swapped.revision
        deadline_s = began_s + MARK_EVERY_S
        while self.delivered < swapped.revision and not self.lost:
            if self.loop.now() > deadline_s:
                return False
            await self.loop.sleep(0.02)
        if self.lost:
            return False
        self.on_change(self.replica.take_scan((), swapped.revision, began_s))
        return True

    def _changed(self, change: KeyChange) -> None:
        self.delivered = max(self.delivered, change.revision)
        if change.key == self.marker_key:
            self.marker = change.revision
        subtree = subtree_of_key(change.key)
        if subtree is None or change.entry is None:
            return
        record = StoredRecord(subtree, change.revision, change.entry.value)
        if self.replica.take([record]):
            self.on_change(True)

    def _lost(self, reason: str) -> None:
        log.info("settings watch lost", extra={"reason": reason})
        self.lost = True
