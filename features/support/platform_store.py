"""Stand-in for the platform's store, following its published protocol."""

import itertools
import math
from base64 import b64decode, b64encode
from collections import deque
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

import msgspec

from parsleyrouter.connection.forward_server import CallerExchange, ForwardServer
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Promise
from parsleyrouter.process.runtime import Runtime

PAGE_KEYS = 20
MAX_ENTRIES = 32
WRITE_PATHS = ("/kv-txn", "/kv-lease")
MAX_VALUE_BYTES = 1_048_576


@dataclass
class Row:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def as_json(self) -> dict[str, Any]:
        return {
            "key": self.key,
            "value": b64encode(self.value).decode(),
            "revision": self.revision,
            "createRev": self.created,
            "lease": self.lease,
        }


@dataclass
class StoreFaults:
    """Faults that the store applies to the following calls."""

    refuse: int = 0
    """Status with which every call is refused; 0 for none."""
    silent: bool = False
    """Calls that arrive get no response, also after it is cleared."""
    reset: bool = False
    """Connections are closed when a call arrives."""
    lose_answers: int = 0
    """Number of next writes that are applied and whose connection is closed without a response."""
    lose_watches: set[str] = field(default_factory=set)
    """Prefixes for which the next answered watch gets no response."""
    odd_replies: dict[str, int] = field(default_factory=dict)
    """Number of next calls that are answered with an empty object, by a text that names them."""
    delay_s: float = 0.0
    reads_per_s: float = math.inf
    """Reads and renewals that are answered in any second; others get 429."""
    calls: list[str] = field(default_factory=list)


class PlatformStoreStandIn:
    def __init__(self, runtime: Runtime) -> None:
        self.loop = runtime.loop
        self.rows: dict[str, Row] = {}
        self.history: list[tuple[str, int, Row | None]] = []
        self.compacted_revision = 0
        self.revision = 100
        self.leases: dict[int, float] = {}
        self.lease_ids = itertools.count(7000)
        self.faults = StoreFaults()
        self.transactions: list[str] = []
        """The keys that each transaction names, as one text."""
        self.waiting: list[Promise[None]] = []
        self.reads_s: deque[float] = deque()
        """When the reads of the last second arrived; monotonic."""
        self.refused_reads = 0
        bind = Address("127.0.0.1:0")
        server = ForwardServer(runtime.loop, bind, self._answer)
        self.server = server.register(runtime)

    @property
    def address(self) -> Address:
        return self.server.bound_address()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        return self._put(key, value, lease)

    def _put(self, key: str, value: bytes, lease: int) -> int:
        previous = self.rows.get(key)
        created = previous.created if previous else self.revision
        self.rows[key] = Row(key, value, self.revision, created, lease)
        self._changed(key)
        return self.revision

    def put_json(self, key: str, value: Any) -> int:
        return self.put(key, msgspec.json.encode(value))

    def remove(self, key: str) -> None:
        if key in self.rows:
            self.revision += 1
            self._remove(key)

    def _remove(self, key: str) -> None:
        if self.rows.pop(key, None) is not None:
            self._changed(key)

    def forget_history(self) -> None:
        self.history.clear()
        self.compacted_revision = self.revision

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, row in self.rows.items() if row.lease == lease]:
            self.remove(key)

    def _changed(self, key: str) -> None:
        self.history.append((key, self.revision, self.rows.get(key)))
        waiting, self.waiting = self.waiting, []
        for promise in waiting:
            promise.resolve(None)

    async def _answer(self, exchange: CallerExchange) -> None:
        head = exchange.head
        self.faults.calls.append(f"{head.method} {head.path}?{head.query}")
        for lease in [one for one, until in self.leases.items() if until < self.loop.now()]:
            self.end_lease(lease)
        if self.faults.delay_s:
            await self.loop.sleep(self.faults.delay_s)
        if self.faults.silent:
            await self.loop.sleep(30.0)
        if self.faults.reset:
            exchange.abort()
            return
        if self.faults.refuse:
            exchange.reply(self.faults.refuse, (), b"")
            return
        if head.path not in WRITE_PATHS and not self._may_read():
            self.refused_reads += 1
            exchange.reply(429, (), b"")
            return
        query = dict(parse_qsl(head.query))
        body = msgspec.json.decode(exchange.body) if exchange.body else {}
        status, answer = await self._call(head.method, head.path, query, body)
        if self.faults.refuse:
            exchange.reply(self.faults.refuse, (), b"")
            return
        if head.path == "/kv-watch" and query["prefix"] in self.faults.lose_watches:
            self.faults.lose_watches.remove(query["prefix"])
            await self.loop.sleep(30.0)
        if self.faults.lose_answers and head.path == "/kv-txn":
            self.faults.lose_answers -= 1
            exchange.abort()
            return
        if self._takes_odd_reply(f"{head.path}?{head.query} {exchange.body.decode()}"):
            status, answer = 200, {}
        exchange.reply(
            status, [(b"Content-Type", b"application/json")], msgspec.json.encode(answer)
        )

    def _may_read(self) -> bool:
        now = self.loop.now()
        while self.reads_s and self.reads_s[0] < now - 1.0:
            self.reads_s.popleft()
        if len(self.reads_s) >= self.faults.reads_per_s:
            return False
        self.reads_s.append(now)
        return True

    def _takes_odd_reply(self, call: str) -> bool:
        for text, count in self.faults.odd_replies.items():
            if count and text in call:
                self.faults.odd_replies[text] -= 1
                return True
        return False

    async def _call(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        if path == "/kv-key":
            row = self.rows.get(query["key"])
            return (404, {}) if row is None else (200, self._with_revision(row.as_json()))
        if path == "/kv-range":
            return 200, self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            lease = next(self.lease_ids)
            self.leases[lease] = self.loop.now() + body["ttlMs"] / 1000
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
            return 200, {}
        self.leases[lease] = self.loop.now() + 4.0
        return 200, {"ttlMs": 4000}

    def _with_revision(self, body: dict[str, Any]) -> dict[str, Any]:
        return body | {"currentRev": self.revision}

    def _range(self, query: dict[str, str]) -> Any:
        keys = [key for key in sorted(self.rows) if key.startswith(query["prefix"])]
        keys = [key for key in keys if key > query.get("after", "")]
        items = [self.rows[key].as_json() for key in keys[:PAGE_KEYS]]
        return self._with_revision({"items": items, "morePages": len(keys) > PAGE_KEYS})

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["after"])
        deadline_s = self.loop.now() + int(query["waitMs"]) / 1000
        while True:
            if after < self.compacted_revision:
                return 410, {}
            events = [
                row.as_json() if row else {"key": key, "revision": revision, "tombstone": True}
                for key, revision, row in self.history
                if revision > after and key.startswith(query["prefix"])
            ]
            remaining_s = deadline_s - self.loop.now()
            if events or remaining_s <= 0:
                return 200, self._with_revision({"events": events})
            promise: Promise[None] = self.loop.promise()
            self.waiting.append(promise)
            self.loop.call_later(remaining_s, lambda promise=promise: promise.resolve(None))
            await promise

    def _transact(self, body: Any) -> tuple[int, Any]:
        rows = body["expect"] + body["writes"]
        self.transactions.append(" ".join([*(row["key"] for row in rows), *body["deletes"]]))
        if sum(len(body[part]) for part in ("expect", "writes", "deletes")) > MAX_ENTRIES:
            return 400, {"error": f"more than {MAX_ENTRIES} entries"}
        if any(len(b64decode(row["value"])) > MAX_VALUE_BYTES for row in body["writes"]):
            return 400, {"error": f"a value over {MAX_VALUE_BYTES} bytes"}
        found = {row["key"]: self.rows.get(row["key"]) for row in body["expect"]}
        for row in body["expect"]:
            known = found[row["key"]]
            if (known.revision if known else 0) != row["revision"]:
                return 412, {"items": [one.as_json() for one in found.values() if one]}
        for row in body["writes"]:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in body["writes"]:
            self._put(row["key"], b64decode(row["value"]), row.get("lease", 0))
        for key in body["deletes"]:
            self._remove(key)
        return 200, {"revision": self.revision}
