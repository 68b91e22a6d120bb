"""Stand-in for the platform's store, after PROTOCOL.md."""

import asyncio
import itertools
import json
import time
from base64 import b64decode, b64encode
from dataclasses import dataclass
from urllib.parse import parse_qsl

from wire import Message, encode, read_body, read_head

PAGE_ITEMS = 500
MAX_ENTRIES = 32
LEASE_CHECK_S = 0.05
CALL_S = 0.004


@dataclass
class Row:
    """One key; ``revision`` is its last change."""

    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """Answer the calls of the nodes and keep what they wrote."""

    def __init__(self, note) -> None:
        self.note = note
        self.rows: dict[str, Row] = {}
        self.history: list[tuple[int, str, Row | None]] = []
        self.revision = 100
        self.leases: dict[int, list[float]] = {}
        self.lease_ids = itertools.count(7000)
        self.changed = asyncio.Event()
        self.down = False
        self.outages = 0
        self.calls_s: dict[str, float] = {}
        """When the latest call of each kind arrived; monotonic."""
        self.waiting: dict[str, int] = {}
        """Watches that wait now, by prefix."""

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 24)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        asyncio.get_running_loop().create_task(self._expire())

    def begin_outage(self) -> None:
        """Answer nothing from now on: neither waiting calls nor those that arrive."""
        self.down = True
        self.outages += 1
        self.down_since_s = time.monotonic()

    def end_outage(self) -> None:
        """Answer calls that arrive from now on; leases were paused meanwhile."""
        self.down = False
        for lease in self.leases.values():
            lease[0] += time.monotonic() - self.down_since_s

    def put(self, key: str, value: dict) -> int:
        """Write a key as the operator or a runner does; return the revision."""
        self.revision += 1
        self._write(key, json.dumps(value).encode(), 0)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.rows.pop(key, None) is not None:
            self.revision += 1
            self._changed(key, None)

    def _write(self, key: str, value: bytes, lease: int) -> None:
        former = self.rows.get(key)
        created = former.created if former else self.revision
        self.rows[key] = Row(value, self.revision, created, lease)
        self._changed(key, self.rows[key])

    def _changed(self, key: str, row: Row | None) -> None:
        self.history.append((self.revision, key, row))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for lease in [one for one, (until_s, _) in self.leases.items() if until_s < now]:
                if not self.down:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, row in self.rows.items() if row.lease == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head, request=True)
                outages = self.outages
                if self.down:
                    await reader.read(-1)
                    return
                await asyncio.sleep(CALL_S)
                status, body = await self._answer(head)
                if self.down or outages != self.outages:
                    # A connection on which a response is lost returns nothing further.
                    await reader.read(-1)
                    return
                first = f"HTTP/1.1 {status} OK"
                data = json.dumps(body).encode()
                writer.write(encode(first, {"Content-Type": "application/json"}, data))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: Message) -> tuple[int, dict]:
        path, _, query_text = head.target.partition("?")
        query = dict(parse_qsl(query_text))
        self.calls_s[path.split("/")[1]] = time.monotonic()
        if path == "/kv-key":
            row = self.rows.get(query["key"])
            current = {"currentRev": self.revision}
            return (404, {}) if row is None else (200, _item(query["key"], row) | current)
        if path == "/kv-range":
            return 200, self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(head.json())
        if path == "/kv-lease":
            lease, ttl_ms = next(self.lease_ids), head.json()["ttlMs"]
            self.leases[lease] = [time.monotonic() + ttl_ms / 1000, ttl_ms]
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-lease-end/"):
            self._end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][1]
        self.leases[lease][0] = time.monotonic() + ttl_ms / 1000
        return 200, {"ttlMs": ttl_ms}

    def _range(self, query: dict[str, str]) -> dict:
        keys = sorted(key for key in self.rows if key.startswith(query["prefix"]))
        keys = [key for key in keys if key > query.get("after", "")]
        items = [_item(key, self.rows[key]) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return {"items": items, "morePages": more, "currentRev": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query["prefix"], int(query["after"])
        until_s = time.monotonic() + int(query["waitMs"]) / 1000
        outages = self.outages
        self.waiting[prefix] = self.waiting.get(prefix, 0) + 1
        try:
            while outages == self.outages:
                found = [
                    one for one in self.history if one[0] > after and one[1].startswith(prefix)
                ]
                left_s = until_s - time.monotonic()
                if found or left_s <= 0:
                    events = [
                        _item(key, row) if row else {"key": key, "revision": at, "tombstone": True}
                        for at, key, row in found
                    ]
                    return 200, {"events": events, "currentRev": self.revision}
                try:
                    async with asyncio.timeout(left_s):
                        await self.changed.wait()
                except TimeoutError:
                    pass
        finally:
            self.waiting[prefix] -= 1
        return 200, {}

    def _transact(self, body: dict) -> tuple[int, dict]:
        expect, writes, deletes = body["expect"], body["writes"], body["deletes"]
        if len(expect) + len(writes) + len(deletes) > MAX_ENTRIES:
            return 400, {}
        known = {row["key"]: self.rows.get(row["key"]) for row in expect}
        for row in expect:
            found = known[row["key"]]
            if (found.revision if found else 0) != row["revision"]:
                return 412, {"items": [_item(key, one) for key, one in known.items() if one]}
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return 404, {}
        self.revision += 1
        for row in writes:
            self._write(row["key"], b64decode(row["value"]), row.get("lease", 0))
        for key in deletes:
            if self.rows.pop(key, None) is not None:
                self._changed(key, None)
        return 200, {"revision": self.revision}


def _item(key: str, row: Row) -> dict:
    value = b64encode(row.value).decode()
    return {
        "key": key,
        "value": value,
        "revision": row.revision,
        "createRev": row.created,
        "lease": row.lease,
    }
