"""A watch over the etcd v3 JSON gateway that survives broken connections."""

import logging
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from parsleyrouter.connection.etcd_format import (
    decode_changes,
    decode_revision,
    encode_text,
    range_end,
)
from parsleyrouter.connection.http import TransportFailure
from parsleyrouter.connection.http_client import HttpExchange
from parsleyrouter.connection.key_value import KeyChange, KeyValueFailure, KeyValueFailureKind
from parsleyrouter.decoding import InvalidData, decode_json
from parsleyrouter.ids import Revision

if TYPE_CHECKING:
    from parsleyrouter.connection.etcd import EtcdKeyValue

__all__ = ["EtcdWatch"]

REOPEN_BACKOFF_BASE_S = 0.1
MAX_REOPEN_BACKOFF_S = 5.0

log = logging.getLogger(__name__)


class EtcdWatch:
    """Watch a prefix from a revision on without gaps; each (re)opening counts as one call.

    A silent watch is reopened, since its connection may be half-open.
    """

    def __init__(
        self,
        client: "EtcdKeyValue",
        prefix: str,
        start: Revision,
        on_change: Callable[[KeyChange], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self.client = client
        self.prefix = prefix
        self.next_revision = start
        self.on_change = on_change
        self.on_lost = on_lost
        self.ended = False
        self.exchange: HttpExchange | None = None
        self.failures = 0
        self.task = client.loop.spawn(self._run(), f"watch {prefix}")

    def cancel(self) -> None:
        """Stop watching."""
        if not self.ended:
            self.ended = True
            self._close()
            self.task.cancel()

    async def _run(self) -> None:
        while not self.ended:
            exchange = await self._open()
            if isinstance(exchange, KeyValueFailure):
                self.failures += 1
                await self.client.loop.sleep(self._backoff_s())
                continue
            self.exchange = exchange
            self.client.metrics.watches.inc()
            await self._read(exchange)
            self._close()
            self.failures += 1
            if not self.ended:
                await self.client.loop.sleep(self._backoff_s())

    async def _open(self) -> HttpExchange | KeyValueFailure:
        refused = await self.client.wait_for_budget("watch")
        if refused is not None:
            return refused
        create: dict[str, Any] = {
            "key": encode_text(self.prefix or "\0"),
            "range_end": encode_text(range_end(self.prefix)),
        }
        if self.next_revision:
            create["start_revision"] = str(self.next_revision)
        exchange = await self.client.runtime.http.open(
            self.client.address,
            "POST",
            "/v3/watch",
            headers={"content-type": "application/json"},
            body=msgspec.json.encode({"create_request": create}),
            timeout_s=self.client.timeout_s,
            new_connection=True,
        )
        if isinstance(exchange, TransportFailure):
            failure = KeyValueFailure(KeyValueFailureKind.UNAVAILABLE, exchange.message)
            return self.client.handle_failure("watch", failure)
        if exchange.status != 200:
            exchange.cancel()
            message = f"watch refused with status {exchange.status}"
            failure = KeyValueFailure(KeyValueFailureKind.UNAVAILABLE, message)
            return self.client.handle_failure("watch", failure)
        self.client.budget.record_success(self.client.loop.now())
        return exchange

    async def _read(self, exchange: HttpExchange) -> None:
        """Handle messages until one is late, too long or the last."""
        incomplete = bytearray()
        try:
            await self._read_messages(exchange, incomplete)
        finally:
            exchange.client.memory.free(len(incomplete))

    async def _read_messages(self, exchange: HttpExchange, incomplete: bytearray) -> None:
        loop, memory = self.client.loop, exchange.client.memory
        due_s = loop.now() + self.client.watch_silence_s
        while not self.ended:
            data = await exchange.read(max(0.0, due_s - loop.now()))
            if not isinstance(data, bytes):
                return
            start = len(incomplete)
            incomplete += data
            memory.take(len(data))
            end = incomplete.rfind(b"\n", start) + 1
            lines = bytes(incomplete[:end]).split(b"\n")
            del incomplete[:end]
            memory.free(end)
            for line in filter(bytes.strip, lines):
                due_s = loop.now() + self.client.watch_silence_s
                if not self._handle_message(line):
                    return
            if loop.now() >= due_s or not memory.allows(len(incomplete)):
                fields = {"prefix": self.prefix, "incomplete_bytes": len(incomplete)}
                log.warning("watch is reopened after bytes that are no message", extra=fields)
                return

    def _handle_message(self, line: bytes) -> bool:
        """Handle one message; return whether to continue reading."""
        try:
            body: dict[str, Any] = decode_json(line, dict)
        except InvalidData as error:
            log.warning("watch message unreadable", extra={"error": str(error)})
            return False
        result = body.get("result")
        if result is None:
            return False
        if result.get("canceled"):
            self._end_as_lost(
                f"history is compacted below revision {result.get('compact_revision', '?')}"
            )
            return False
        revision = decode_revision(result)
        if revision and revision + 1 < self.next_revision:
            self._end_as_lost(
                f"service went back to revision {revision} after {self.next_revision - 1} was seen"
            )
            return False
        self.failures = 0
        if not self.next_revision:
            self.next_revision = Revision(revision + 1)
        self._deliver(decode_changes(result))
        return True

    def _deliver(self, changes: list[KeyChange]) -> None:
        new = [change for change in changes if change.revision >= self.next_revision]
        for change in new:
            self.next_revision = Revision(change.revision + 1)
            if not self.ended:
                self._notify(change)

    def _notify(self, change: KeyChange) -> None:
        try:
            self.on_change(change)
        except Exception:
            log.exception("watch callback failed", extra={"key": change.key})

    def _end_as_lost(self, reason: str) -> None:
        self.ended = True
        self.on_lost(reason)

    def _close(self) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            self.client.metrics.watches.dec()
            exchange.cancel()

    def _backoff_s(self) -> float:
        max_backoff_s = min(
            MAX_REOPEN_BACKOFF_S, REOPEN_BACKOFF_BASE_S * 2 ** min(self.failures, 10)
        )
        return max_backoff_s * (0.5 + 0.5 * random.random())
