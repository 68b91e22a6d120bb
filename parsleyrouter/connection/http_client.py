"""An HTTP/1.1 client: h11 over outbound streams, with a pool of idle connections."""

import math
import re
from collections.abc import Mapping

import h11

from parsleyrouter.connection.http import HttpReply, Sent, TransportFailure
from parsleyrouter.connection.http_exchange import HttpExchange
from parsleyrouter.connection.reply_memory import ReplyMemory
from parsleyrouter.connection.stream import (
    CONNECT_TIMEOUT_S,
    ConnectFailed,
    Connector,
)
from parsleyrouter.ids import Address, RequestId
from parsleyrouter.process.loop import Cancelled, Loop

__all__ = ["NO_ID", "HttpClient", "HttpExchange"]

MAX_IDLE_PER_ADDRESS = 32
HEADERS_TIMEOUT_S = 30.0

KEEP_ALIVE_SHARE = 0.6
"""Fraction of the announced keep-alive timeout after which a connection is not reused, so that a
request does not race with the server closing it."""

NO_ID = RequestId("")

_KEEP_ALIVE = re.compile(r"timeout\s*=\s*([0-9]{1,9})(?![0-9])")


class HttpClient:
    """Send requests and reuse idle connections."""

    exchange_type: type[HttpExchange] = HttpExchange

    def __init__(
        self, loop: Loop, connector: Connector, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> None:
        self.loop = loop
        self.connector = connector
        self.connect_timeout_s = connect_timeout_s
        self.shares = connector.shares
        self.memory = ReplyMemory()
        self.idle: dict[Address, list[HttpExchange]] = {}

    async def open(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = HEADERS_TIMEOUT_S,
        new_connection: bool = False,
    ) -> HttpExchange | TransportFailure:
        """Send a request and wait for the reply's headers.

        ``new_connection`` avoids pooled connections: one that the server has just closed would
        leave it unknown whether the request arrived.
        """
        exchange = await self.begin(address, method, target, headers, body, new_connection)
        if isinstance(exchange, TransportFailure):
            return exchange
        failure = await exchange.wait_headers(timeout_s)
        return exchange if failure is None else failure

    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = HEADERS_TIMEOUT_S,
        new_connection: bool = False,
    ) -> HttpReply | TransportFailure:
        """Send a request and return the complete reply."""
        exchange = await self.begin(address, method, target, headers, body, new_connection)
        if isinstance(exchange, TransportFailure):
            return exchange
        try:
            return await exchange.read_all(timeout_s)
        except Cancelled:
            exchange.cancel()
            raise

    async def begin(
        self,
        address: Address,
        method: str,
        target: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        new_connection: bool = False,
    ) -> HttpExchange | TransportFailure:
        """Send a request and return without waiting for a reply."""
        exchange = await self.connect(address, new_connection)
        if isinstance(exchange, HttpExchange):
            exchange.send(method, target, headers or {}, body)
        return exchange

    async def connect(
        self, address: Address, new_connection: bool = False, request: RequestId = NO_ID
    ) -> HttpExchange | TransportFailure:
        """Return an exchange on an idle or a new connection; nothing is sent yet."""
        exchange = None if new_connection else self._reuse(address, request)
        if exchange is not None:
            return exchange
        try:
            stream = await self.connector.open(address, self.connect_timeout_s)
        except ConnectFailed as error:
            return TransportFailure(str(error), Sent.NOTHING)
        return self.exchange_type(self, stream)

    def release(self, exchange: HttpExchange) -> None:
        """Return the connection of a finished exchange to the pool, or close it."""
        parser, stream = exchange.parser, exchange.stream
        idle = self.idle.setdefault(stream.address, [])
        done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        clean = not stream.outgoing and not stream.broken and not parser.trailing_data[0]
        full = len(idle) >= MAX_IDLE_PER_ADDRESS
        if not done or not clean or full or not self.may_carry(exchange, NO_ID):
            stream.close()
            return
        exchange.idle_until_s = self.loop.now() + _max_idle_s(exchange.headers)
        parser.start_next_cycle()
        stream.resume()
        stream.on_data = lambda data: self._drop_idle(exchange)
        stream.on_close = lambda: self._drop_idle(exchange)
        idle.append(exchange)

    def may_carry(self, idle: HttpExchange, request: RequestId) -> bool:
        """Return whether the connection of an earlier exchange may carry a request."""
        return True

    def _reuse(self, address: Address, request: RequestId) -> HttpExchange | None:
        """Take the connection that was used last, of those that may carry the request."""
        idle = self.idle.get(address, [])
        for old in reversed(idle.copy()):
            if old.stream.closed or old.idle_until_s < self.loop.now():
                idle.remove(old)
                old.stream.close()
            elif self.may_carry(old, request):
                idle.remove(old)
                old.stream.bytes_sent = 0
                exchange = self.exchange_type(self, old.stream)
                exchange.take_over(old)
                return exchange
        return None

    def discard(self, exchange: HttpExchange) -> None:
        """Close the connection of an exchange, also if it has ended and its connection is idle.

        Another request may have taken the connection since; it then goes on.
        """
        exchange.cancel()
        self._drop_idle(exchange)

    def _drop_idle(self, exchange: HttpExchange) -> None:
        idle = self.idle.get(exchange.stream.address, [])
        if exchange in idle:
            idle.remove(exchange)
            exchange.stream.close()


def _max_idle_s(headers: Mapping[str, str]) -> float:
    found = _KEEP_ALIVE.search(headers.get("keep-alive", ""))
    return int(found[1]) * KEEP_ALIVE_SHARE if found else math.inf
