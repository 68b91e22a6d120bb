"""Scan the part records of new home shards at once, and those of all home shards periodically."""

import random
from collections.abc import Callable

from parsleyrouter.connection.key_value import KeyValue, KeyValueFailure
from parsleyrouter.process.job_keys import shard_prefix
from parsleyrouter.process.job_records import PartRecord, decode_record
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.part_table import PartTable
from parsleyrouter.process.record_store import VersionedRecord

__all__ = ["ShardScanner"]

SCAN_PAGE_ENTRIES = 500
SCAN_RETRY_PAUSE_S = 1.0


class ShardScanner:
    """Scan one shard at a time when it is due."""

    def __init__(
        self,
        loop: Loop,
        kv: KeyValue,
        table: PartTable,
        *,
        scan_s: float,
        running: Callable[[], list[str]],
        on_scanned: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.kv = kv
        self.table = table
        self.scan_s = scan_s
        self.running = running
        self.on_scanned = on_scanned
        self.due_s: dict[str, float] = {}
        self.scanning = False

    def set_shards(self, shards: frozenset[str]) -> None:
        """Replace the shards; new ones are due at once."""
        self.due_s = {shard: self.due_s.get(shard, 0.0) for shard in shards}

    def run_if_due(self) -> None:
        """Start scanning if a shard is due."""
        if not self.scanning and self._due():
            self.scanning = True
            self.loop.spawn(self._scan_due(), "scan shards")

    def _due(self) -> list[str]:
        return [shard for shard, due_s in self.due_s.items() if due_s <= self.loop.now()]

    async def _scan_due(self) -> None:
        try:
            while due := self._due():
                if not await self._scan(due[0]):
                    self._retry_later(due)
        finally:
            self.scanning = False

    async def _scan(self, shard: str) -> bool:
        after = ""
        present: list[str] = []
        more = True
        while more:
            page = await self.kv.scan(shard_prefix(shard), after=after, limit=SCAN_PAGE_ENTRIES)
            if isinstance(page, KeyValueFailure):
                return False
            for entry in page.entries:
                record = decode_record(PartRecord, entry.value)
                self.table.learn(
                    entry.key, VersionedRecord(record, entry.revision), self.loop.now()
                )
                present.append(entry.key)
            after = present[-1] if present else ""
            more = page.more
        self.table.keep_only(shard, present, self.running())
        if shard in self.due_s:
            self.due_s[shard] = self.loop.now() + self.scan_s * random.uniform(0.5, 1.5)
        self.on_scanned()
        return True

    def _retry_later(self, shards: list[str]) -> None:
        """Retry later; without the key-value service, owners cannot change their records either."""
        later_s = self.loop.now() + SCAN_RETRY_PAUSE_S * random.uniform(1, 2)
        for shard in shards:
            if shard in self.due_s:
                self.due_s[shard] = later_s
        self.table.restart_unchanged(self.loop.now())
