"""Outbound TCP streams, all polled by one component."""

import errno
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from circuits import Component, handler

from parsleyrouter.connection.turn_shares import TurnShares
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Loop, Promise, TimedOut

__all__ = [
    "ConnectFailed",
    "ConnectionRefused",
    "Connector",
    "Stream",
    "send_some",
    "split_address",
]

READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0

KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1),
)
"""Probe a connection after a second without traffic and drop it a second later, so that it does
not hang when the peer has vanished without closing it."""


class ConnectFailed(Exception):
    """No connection could be opened, so nothing was sent; try another address."""


class ConnectionRefused(ConnectFailed):
    """The host runs but nothing listens at the address; try another one."""


def split_address(address: Address) -> tuple[str, int]:
    """Return the host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def send_some(sock: socket.socket, data: bytes) -> bytes:
    """Send what the socket accepts now and return the rest; raise ``OSError`` if it is broken."""
    try:
        return data[sock.send(data) :]
    except (BlockingIOError, InterruptedError):
        return data


def _connect_error(address: Address, code: int) -> ConnectFailed:
    message = f"cannot connect to {address}: {errno.errorcode.get(code, code)}"
    return (ConnectionRefused if code == errno.ECONNREFUSED else ConnectFailed)(message)


class Stream:
    """One open connection; callbacks receive the data and the end of the stream."""

    def __init__(self, connector: "Connector", sock: socket.socket, address: Address) -> None:
        self.connector = connector
        self.sock = sock
        self.address = address
        self.outgoing: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.bytes_sent = 0
        self.closed = False
        self.ended_orderly = False
        """Whether a read has returned the end of the data; after any other end some may be lost."""
        self.broken = False
        """Whether the connection takes no data any more; what has arrived can still be read."""
        self.paused = False
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.on_close: Callable[[], None] = lambda: None

    def send(self, data: bytes) -> None:
        """Send what the socket accepts now and queue the rest."""
        if self.closed or self.broken or not data:
            return
        if not self.outgoing:
            data = self._send_now(data)
        if data:
            self.outgoing.append(data)
            self.buffered_bytes += len(data)
            self.connector.poller.addWriter(self.connector, self.sock)

    def pause(self) -> None:
        """Stop reading until ``resume``."""
        if not self.closed and not self.paused:
            self.paused = True
            self.connector.poller.removeReader(self.sock)

    def resume(self) -> None:
        """Read again after ``pause``."""
        if not self.closed and self.paused:
            self.paused = False
            self.connector.poller.addReader(self.connector, self.sock)

    def close(self) -> None:
        """Close at once, dropping what is still queued; ``on_close`` is not called."""
        if self.closed:
            return
        self.closed = True
        self.connector.forget(self)
        self.sock.close()

    def flush(self) -> None:
        """Send queued data while the socket accepts it."""
        while self.outgoing:
            data = self.outgoing.popleft()
            self.buffered_bytes -= len(data)
            rest = self._send_now(data)
            if rest:
                self.outgoing.appendleft(rest)
                self.buffered_bytes += len(rest)
                return
        self.connector.poller.removeWriter(self.sock)

    def read(self) -> bool:
        """Read available data and pass it to ``on_data``; return whether there was any."""
        try:
            data = self.sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self.close_as_lost()
            return False
        if data:
            self.on_data(data)
            return True
        # A reset is reported once: after a failed send, the next read returns an end as well.
        self.ended_orderly = not self.broken
        self.close_as_lost()
        return False

    def close_as_broken(self) -> None:
        """Read what has arrived and close; a paused stream does so after it has been resumed."""
        self.broken = True
        while not self.closed and not self.paused:
            if not self.read():
                self.close_as_lost()

    def close_as_lost(self) -> None:
        """Close because the connection is lost, and call ``on_close``."""
        if not self.closed:
            self.close()
            self.on_close()

    def _send_now(self, data: bytes) -> bytes:
        try:
            rest = send_some(self.sock, data)
        except OSError:
            self.broken = True
            self.outgoing.clear()
            self.buffered_bytes = 0
            self.connector.loop.call_soon(self.close_as_broken)
            return b""
        self.bytes_sent += len(data) - len(rest)
        return rest


class Connector(Component):
    """Open and poll outbound streams."""

    channel = "stream"

    def __init__(self, loop: Loop) -> None:
        super().__init__()
        self.loop = loop
        self.poller = loop.poller
        self.shares = TurnShares(loop)
        self.streams: dict[socket.socket, Stream] = {}
        self.connecting: dict[socket.socket, Promise[Any]] = {}

    async def open(self, address: Address, timeout_s: float = CONNECT_TIMEOUT_S) -> Stream:
        """Connect; raise ``ConnectFailed`` when refused or not done in ``timeout_s``."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for level, option, value in KEEP_ALIVE_OPTIONS:
            sock.setsockopt(level, option, value)
        try:
            await self._connect(sock, address, timeout_s)
        except BaseException:
            self.connecting.pop(sock, None)
            self.poller.discard(sock)
            sock.close()
            raise
        stream = Stream(self, sock, address)
        self.streams[sock] = stream
        self.poller.addReader(self, sock)
        return stream

    def forget(self, stream: Stream) -> None:
        """Stop polling a stream."""
        self.streams.pop(stream.sock, None)
        self.poller.discard(stream.sock)

    async def _connect(self, sock: socket.socket, address: Address, timeout_s: float) -> None:
        try:
            code = sock.connect_ex(split_address(address))
        except (OSError, ValueError) as error:
            raise ConnectFailed(f"cannot connect to {address}: {error}") from error
        if code not in (0, errno.EINPROGRESS):
            raise _connect_error(address, code)
        if code == errno.EINPROGRESS:
            await self._wait_connected(sock, address, timeout_s)

    async def _wait_connected(
        self, sock: socket.socket, address: Address, timeout_s: float
    ) -> None:
        promise = self.loop.promise()
        self.connecting[sock] = promise
        self.poller.addWriter(self, sock)
        try:
            await self.loop.within(timeout_s, promise)
        except TimedOut as error:
            raise ConnectFailed(f"cannot connect to {address} within {timeout_s:g} s") from error
        self.poller.removeWriter(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise _connect_error(address, code)

    @handler("_read")
    def _on_readable(self, sock: socket.socket) -> None:
        stream = self.streams.get(sock)
        if stream is not None and not stream.paused:
            stream.read()

    @handler("_write")
    def _on_writable(self, sock: socket.socket) -> None:
        waiting = self.connecting.pop(sock, None)
        if waiting is not None:
            waiting.resolve(None)
            return
        stream = self.streams.get(sock)
        if stream is not None:
            stream.flush()

    @handler("_disconnect", "_error")
    def _on_gone(self, sock: socket.socket, *_: Any) -> None:
        waiting = self.connecting.pop(sock, None)
        if waiting is not None:
            waiting.resolve(None)
            return
        stream = self.streams.get(sock)
        if stream is not None:
            stream.close_as_broken()
