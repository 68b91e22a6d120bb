"""The platform's store, by its published protocol."""

import asyncio
import bisect
import json
import time
from base64 import b64decode, b64encode
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from http1 import Answer, Request, Server

ANSWER_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HISTORY_S = 20.0
JSON = [("Content-Type", "application/json")]


@dataclass
class Item:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def row(self) -> dict[str, Any]:
        return {
            "key": self.key,
            "value": b64encode(self.value).decode(),
            "revision": self.revision,
            "createRev": self.created,
            "lease": self.lease,
        }


class Store:
    """Keep items, leases and history; answer after a few milliseconds."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.keys: list[str] = []
        """All keys in order."""
        self.revision = 10
        self.compacted = 0
        self.history: list[tuple[int, float, str, Item | None]] = []
        """Changes in order: revision, time, key and what it holds since."""
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.watches: dict[asyncio.Future[None], tuple[str, float]] = {}
        self.calls: dict[str, int] = {}
        self.server = Server(self._answer)

    async def start(self, host: str) -> str:
        asyncio.ensure_future(self._expire())
        return await self.server.start(host)

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write as an operator or a server does; return the revision."""
        self.revision += 1
        self._put(key, json.dumps(value).encode(), lease)
        return self.revision

    def grant(self, ttl_s: float) -> int:
        """Grant a lease."""
        self.next_lease += 1
        self.leases[self.next_lease] = (time.monotonic() + ttl_s, ttl_s)
        return self.next_lease

    def remove(self, key: str) -> None:
        self.revision += 1
        self._remove(key)

    def write_all(self, values: dict[str, tuple[bytes, int]], deletes: Iterable[str] = ()) -> None:
        """Write values with their leases and remove keys, each as a change of its own."""
        for key, (value, lease) in values.items():
            self.revision += 1
            self._put(key, value, lease)
        for key in deletes:
            self.remove(key)

    def cut_watches(self, prefix: str) -> list[float]:
        """Close the connections of the waiting watches of a prefix; return how long they waited."""
        now, waited = time.monotonic(), []
        for future, (watched, since_s) in list(self.watches.items()):
            if watched == prefix and not future.done():
                waited.append(now - since_s)
                future.set_result(None)
        return waited

    def _put(self, key: str, value: bytes, lease: int) -> None:
        known = self.items.get(key)
        created = known.created if known else self.revision
        self._note(key, Item(key, value, self.revision, created, lease))

    def _remove(self, key: str) -> None:
        if key in self.items:
            self._note(key, None)

    def _note(self, key: str, item: Item | None) -> None:
        if item is None:
            del self.items[key]
            del self.keys[bisect.bisect_left(self.keys, key)]
        else:
            if key not in self.items:
                bisect.insort(self.keys, key)
            self.items[key] = item
        self.history.append((self.revision, time.monotonic(), key, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [one for one, (until_s, _) in self.leases.items() if until_s < now]:
                self._end_lease(lease)
            old = 0
            while old < len(self.history) and self.history[old][1] < now - HISTORY_S:
                old += 1
            if old:
                self.compacted = self.history[old - 1][0]
                del self.history[:old]

    async def _answer(self, request: Request, answer: Answer) -> None:
        name = request.path.split("/")[1]
        self.calls[name] = self.calls.get(name, 0) + 1
        await asyncio.sleep(ANSWER_S)
        query = dict(parse_qsl(request.query))
        if name == "kv-watch":
            found = await self._watch(query)
            if found is None:
                return
        else:
            body = json.loads(request.body) if request.body else {}
            found = self._call(request.method, name, request.path, query, body)
        answer.reply(found[0], JSON, json.dumps(found[1]).encode())

    def _call(
        self, method: str, name: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, item.row() | {"currentRev": self.revision}) if item else (404, {})
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            ttl_s = max(1000, body["ttlMs"]) / 1000
            return 200, {"lease": self.grant(ttl_s), "ttlMs": int(ttl_s * 1000)}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        ttl_s = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"ttlMs": int(ttl_s * 1000)}

    def _range(self, query: dict[str, str]) -> Any:
        prefix, after = query["prefix"], query.get("after", "")
        begin = bisect.bisect_right(self.keys, after) if after else 0
        at = max(begin, bisect.bisect_left(self.keys, prefix))
        rows: list[dict[str, Any]] = []
        size = 0
        while at < len(self.keys) and self.keys[at].startswith(prefix):
            if len(rows) == PAGE_ITEMS or size > PAGE_BYTES:
                return {"items": rows, "morePages": True, "currentRev": self.revision}
            rows.append(self.items[self.keys[at]].row())
            size += len(rows[-1]["value"])
            at += 1
        return {"items": rows, "morePages": False, "currentRev": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any] | None:
        prefix, after = query["prefix"], int(query["after"])
        until_s = time.monotonic() + min(30_000, int(query["waitMs"])) / 1000
        cut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.watches[cut] = (prefix, time.monotonic())
        try:
            while True:
                if after < self.compacted:
                    return 410, {}
                begin = bisect.bisect_right(self.history, after, key=lambda change: change[0])
                events = [
                    item.row() if item else {"key": key, "revision": at, "tombstone": True}
                    for at, _, key, item in self.history[begin:]
                    if key.startswith(prefix)
                ]
                left_s = until_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                waiting = asyncio.ensure_future(self.changed.wait())
                await asyncio.wait({waiting, cut}, timeout=left_s, return_when="FIRST_COMPLETED")
                waiting.cancel()
                if cut.done():
                    return None
        finally:
            del self.watches[cut]

    def _transact(self, body: Any) -> tuple[int, Any]:
        expect, writes, deletes = (body.get(one) or [] for one in ("expect", "writes", "deletes"))
        if len(expect) + len(writes) + len(deletes) > 32:
            return 400, {}
        found = {row["key"]: self.items.get(row["key"]) for row in expect}
        for row in expect:
            item = found[row["key"]]
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": [one.row() for one in found.values() if one]}
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return 404, {}
        self.revision += 1
        for row in writes:
            self._put(row["key"], b64decode(row["value"]), row.get("lease") or 0)
        for key in deletes:
            self._remove(key)
        return 200, {"revision": self.revision}
