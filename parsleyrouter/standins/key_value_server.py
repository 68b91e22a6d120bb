"""The stand-in key-value service, in the etcd v3 JSON gateway format."""

from collections import Counter, deque
from dataclasses import dataclass
from typing import Any

import msgspec

from parsleyrouter.connection.etcd_format import encode_entry, encode_text
from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange, ReplyStream
from parsleyrouter.connection.key_value import KeyChange
from parsleyrouter.ids import Revision
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.key_value_routes import routes
from parsleyrouter.standins.key_value_store import Compacted, KeyValueStore
from parsleyrouter.standins.memory_key_value import LeaseTimer
from parsleyrouter.standins.stand_in import StandIn, set_faults

__all__ = ["KeyValueServer", "ServerFaults"]

RATE_WINDOW_S = 1.0
WATCH_POLL_S = 1.0


@dataclass
class ServerFaults:
    """Faults set over ``POST /control/faults``.

    ``outage`` answers 503, ``hang`` does not answer at all; ``lose_before`` and ``lose_after`` are
    the numbers of next writes under ``lose_prefix`` whose connection is closed without a reply,
    before and after they take effect.
    """

    outage: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lose_before: int = 0
    lose_after: int = 0
    lose_prefix: str = ""
    calls_per_s: float = 0.0


class KeyValueServer(StandIn):
    """Serve a ``KeyValueStore`` and count the calls."""

    def __init__(
        self, runtime: Runtime, bind: str = "127.0.0.1:0", *, store: KeyValueStore | None = None
    ) -> None:
        super().__init__(runtime, bind, routes)
        self.store = store or KeyValueStore()
        self.faults = ServerFaults()
        self.counts: Counter[str] = Counter()
        self.by_second: Counter[int] = Counter()
        self.recent_calls: deque[float] = deque()
        self.refused = 0
        self.watches: set[_ServerWatch] = set()
        self.lease_timer = LeaseTimer(self.loop, self.store)
        self.store.listeners.append(self.send_changes_to_watches)

    def count(self, kind: str) -> bool:
        """Count a call and return whether the rate limit lets it pass."""
        now = self.loop.now()
        self.counts[kind] += 1
        self.by_second[int(now)] += 1
        while self.recent_calls and self.recent_calls[0] <= now - RATE_WINDOW_S:
            self.recent_calls.popleft()
        limit = self.faults.calls_per_s
        if limit and len(self.recent_calls) + len(self.watches) >= limit:
            self.refused += 1
            return False
        self.recent_calls.append(now)
        return True

    def should_lose_reply(self, before: bool, key: str) -> bool:
        """Return whether to lose a write before or after it takes effect, and count it down."""
        name = "lose_before" if before else "lose_after"
        left = getattr(self.faults, name)
        if left <= 0 or not key.startswith(self.faults.lose_prefix):
            return False
        setattr(self.faults, name, left - 1)
        return True

    def header(self) -> dict[str, Any]:
        """Return the header of a reply."""
        return {"revision": str(self.store.revision), "raft_term": "1"}

    def break_watches(self) -> None:
        """Close the connections of all watches."""
        for watch in list(self.watches):
            watch.stream.abort()
            self.watches.discard(watch)

    async def serve_watch(
        self, exchange: Exchange, stream: ReplyStream, first: str, end: str, start: Revision
    ) -> None:
        """Send changes until the caller disconnects or the watch is closed."""
        served = _ServerWatch(self, stream, first, end, start)
        self.watches.add(served)
        exchange.on_caller_disconnect(lambda: self.watches.discard(served))
        served.send({"created": True})
        served.send_changes()
        while served in self.watches and not stream.disconnected:
            await self.loop.sleep(WATCH_POLL_S)
        self.watches.discard(served)

    def send_changes_to_watches(self) -> None:
        """Send pending changes to every watch."""
        for watch in list(self.watches):
            watch.send_changes()


class _ServerWatch:
    """One open watch."""

    def __init__(
        self, server: KeyValueServer, stream: ReplyStream, first: str, end: str, start: Revision
    ) -> None:
        self.server = server
        self.stream = stream
        self.first = first
        self.end = end
        self.next_revision = start

    def send_changes(self) -> None:
        """Send pending changes; nothing during an outage."""
        if self.server.faults.outage or self.server.faults.hang:
            return
        if self.stream.disconnected:
            self.server.watches.discard(self)
            return
        try:
            changes = self.server.store.changes(self.next_revision, "")
        except Compacted as error:
            self.send({"canceled": True, "compact_revision": str(error.oldest)})
            self.server.watches.discard(self)
            self.stream.finish()
            return
        self.next_revision = Revision(max(self.next_revision, self.server.store.revision + 1))
        events = [_event(change) for change in changes if self._in_range(change.key)]
        if events:
            self.send({"events": events})

    def send(self, result: dict[str, Any]) -> None:
        """Send one message."""
        body = {"result": {"header": self.server.header(), **result}}
        self.stream.send(msgspec.json.encode(body) + b"\n")

    def _in_range(self, key: str) -> bool:
        if not self.end:
            return key == self.first
        return key >= self.first and (self.end == "\0" or key < self.end)


def _event(change: KeyChange) -> dict[str, Any]:
    if change.entry is None:
        gone = {"key": encode_text(change.key), "mod_revision": str(change.revision)}
        return {"type": "DELETE", "kv": gone}
    return {"kv": encode_entry(change.entry)}


@routes.add("POST", "/control/faults")
async def set_server_faults(server: KeyValueServer, exchange: Exchange) -> HttpReply:
    """Set faults; an outage breaks the watches."""
    reply = set_faults(server.faults, exchange.request.json())
    if server.faults.outage:
        server.break_watches()
    else:
        server.send_changes_to_watches()
    return reply


@routes.add("POST", "/control/compact")
async def compact(server: KeyValueServer, exchange: Exchange) -> HttpReply:
    """Compact the history so far."""
    server.store.compact(Revision(server.store.revision + 1))
    return json_reply({"oldest": server.store.oldest})


@routes.add("GET", "/control/calls")
async def calls(server: KeyValueServer, exchange: Exchange) -> HttpReply:
    """Report the calls counted by kind and by second, and the open watches."""
    seconds = sorted(server.by_second.items())
    body = {"counts": dict(server.counts), "refused": server.refused, "by_second": seconds}
    return json_reply(body | {"watches": len(server.watches)})
