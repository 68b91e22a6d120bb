"""Crowds of clients that send what a process must withstand, to one address, from a thread."""

import selectors
import socket
import struct
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from thrift.Thrift import TType

from features.support.front_fleet import HOST
from parsleyrouter.connection.frames import FRAME_HEADER, frame, pack
from parsleyrouter.connection.stream import split_address
from parsleyrouter.ids import Address
from parsleyrouter.thrift_gen.nodes.ttypes import AskFollowed
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

__all__ = ["HTTP_KINDS", "NODE_KINDS", "BODY_BYTES", "Crowd"]

SENDERS = 60
CONNECTIONS = 400
"""Senders of the kinds that hold little each; more than the process may have descriptors for."""

BODY_BYTES = 4_000_000
"""The largest legal body of callers; sent to the other ports as well."""

SMALL_PIECE_BYTES = 4096
UNREAD_BYTES = 4096
"""Receive buffer of a client that does not read."""

MAX_SECONDS = 4.0
QUIET_S = 0.4
"""Time without progress of any sender after which a crowd has done what it can."""


@dataclass
class Sent:
    """What one client sends: a start, then a block, up to ``total`` bytes of blocks."""

    start: bytes
    block: bytes = b""
    total: int = 0
    piece_bytes: int = 256 * 1024
    gap_s: float = 0.0
    reads: bool = True


@dataclass
class Kind:
    """A kind of clients: how many there are, and what each sends to a path."""

    sent: Callable[[str, int], Sent]
    clients: int = SENDERS


def _head(path: str, number: int, method: str = "POST") -> bytes:
    return b"%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: hostile-%d\r\n" % (
        method.encode(),
        path.encode(),
        HOST.encode(),
        number,
    )


def _length(count: int) -> bytes:
    return b"Content-Length: %d\r\n\r\n" % count


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FILL = b"a" * 65_536
CHUNK = b"4000\r\n" + b"a" * 0x4000 + b"\r\n"
FIELDS = b"".join(b"x-%d: %s\r\n" % (number, b"v" * 150) for number in range(90))
"""Ninety fields, legal in number and below 16 KB in sum."""

SHORT_FIELDS = b"a:\r\n" * 3000


def _job(headers_per_item: int, items: int, body: str = "") -> bytes:
    headers = {f"{number:x}": "" for number in range(headers_per_item)}
    entries = [
        {"id": f"i{number}", "path": "/bulk/1", "headers": headers, "body": body, "tokens": 1}
        for number in range(items)
    ]
    return msgspec.json.encode({"items": entries})


FEW_ITEMS_JOB = _job(550, 200)
"""A job with as many items as are allowed, whose headers are very many short fields."""

LEGAL_FIELDS_JOB = _job(100, 200)
"""A job with as many items and headers as are accepted."""

MANY_ITEMS_JOB = _job(0, 16_000)
ONE_ITEM_JOB = _job(100_000, 1)
LARGEST_JOB = _job(0, 200, "QUJD" * (BODY_BYTES // 200 // 4 - 50))


def _whole_job(body: bytes) -> Callable[[str, int], Sent]:
    return lambda path, number: Sent(
        _head(f"{path}{number}", number) + _length(len(body)), body, len(body)
    )


HTTP_KINDS: dict[str, Kind] = {
    "bodies in one piece that stop short": Kind(
        lambda path, n: Sent(_head(path, n) + _length(BODY_BYTES), FILL, BODY_BYTES - 1)
    ),
    "bodies in small pieces that stop short": Kind(
        lambda path, n: Sent(
            _head(path, n) + _length(BODY_BYTES), FILL, BODY_BYTES - 1, SMALL_PIECE_BYTES
        )
    ),
    "bodies in chunks that stop short": Kind(
        lambda path, n: Sent(_head(path, n) + CHUNKED, CHUNK, BODY_BYTES - 100_000)
    ),
    "bodies far over the limit": Kind(
        lambda path, n: Sent(_head(path, n) + _length(10**9), FILL, 2 * BODY_BYTES)
    ),
    "chunks far over the limit": Kind(
        lambda path, n: Sent(_head(path, n) + CHUNKED, CHUNK, 2 * BODY_BYTES)
    ),
    "heads of many fields that stop short": Kind(
        lambda path, n: Sent(_head(path, n, "GET") + FIELDS), CONNECTIONS
    ),
    "heads of very many short fields": Kind(
        lambda path, n: Sent(_head(path, n, "GET") + SHORT_FIELDS), CONNECTIONS
    ),
    "requests ahead without reading": Kind(
        lambda path, n: Sent(b"", (_head(path, n, "GET") + b"\r\n") * 500, 2_000_000, reads=False)
    ),
    "heads sent slowly": Kind(
        lambda path, n: Sent(_head(path, n, "GET") + b"\r\n", piece_bytes=1, gap_s=0.2),
        CONNECTIONS,
    ),
    "requests whose answers are read slowly": Kind(
        lambda path, n: Sent(_head(path, n, "GET") + b"\r\n", reads=False), CONNECTIONS
    ),
    "nothing": Kind(lambda path, n: Sent(b""), CONNECTIONS),
    "half a head": Kind(lambda path, n: Sent(_head(path, n, "GET")[:-9]), CONNECTIONS),
    "jobs whose items have very many short fields": Kind(_whole_job(FEW_ITEMS_JOB)),
    "jobs of as many short fields as are legal": Kind(_whole_job(LEGAL_FIELDS_JOB)),
    "jobs of the largest legal size": Kind(_whole_job(LARGEST_JOB)),
    "whole bodies of legal size": Kind(
        lambda path, n: Sent(_head(path, n) + _length(BODY_BYTES), FILL, BODY_BYTES)
    ),
    "jobs of very many items": Kind(_whole_job(MANY_ITEMS_JOB)),
    "jobs of one item with very many short fields": Kind(_whole_job(ONE_ITEM_JOB)),
}


def _ask(wait_ms: int, *, after: int | None = None, ballast_bytes: int = 0) -> bytes:
    """Return a call that waits if it asks for what comes ``after`` a revision that is far ahead."""
    query = pack(AskFollowed(prefix="op/", after=after, wait_ms=wait_ms))
    if ballast_bytes:
        unknown = struct.pack("!BhI", TType.STRING, 99, ballast_bytes) + b"x" * ballast_bytes
        query = query[:-1] + unknown + query[-1:]
    return frame(Envelope(1, "cell.followed", query))


NODE_KINDS: dict[str, Kind] = {
    "frames that stop short": Kind(
        lambda path, n: Sent(FRAME_HEADER.pack(BODY_BYTES), FILL, BODY_BYTES - 1)
    ),
    "frames in small pieces that stop short": Kind(
        lambda path, n: Sent(FRAME_HEADER.pack(BODY_BYTES), FILL, BODY_BYTES - 1, SMALL_PIECE_BYTES)
    ),
    "frames far over the limit": Kind(
        lambda path, n: Sent(struct.pack("!I", 0x7FFFFFFF), FILL, 2 * BODY_BYTES)
    ),
    "large calls that wait": Kind(
        lambda path, n: Sent(b"", _ask(60_000, after=2**40, ballast_bytes=200_000), BODY_BYTES)
    ),
    "calls ahead without reading": Kind(
        lambda path, n: Sent(b"", _ask(0) * 500, 1_000_000, reads=False)
    ),
    "nothing": Kind(lambda path, n: Sent(b""), CONNECTIONS),
    "half a frame": Kind(lambda path, n: Sent(FRAME_HEADER.pack(1000) + b"a" * 500), CONNECTIONS),
}


@dataclass
class _Client:
    sock: socket.socket
    sent: Sent
    number: int
    left: bytes = b""
    done: bool = False
    closed: bool = False
    next_s: float = 0.0


@dataclass
class Crowd:
    """Clients of one kind at one address; they stay connected until ``close``."""

    address: Address
    path: str
    kind: Kind
    clients: list[_Client] = field(default_factory=list)
    stopped: bool = False
    settled: threading.Event = field(default_factory=threading.Event)
    sent_bytes: int = 0

    def start(self) -> "Crowd":
        """Connect and send in a thread."""
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        return self

    def close(self) -> None:
        """Close all connections."""
        self.stopped = True
        self.thread.join()

    def counts(self) -> str:
        """Describe what the clients did."""
        done = sum(one.done for one in self.clients)
        closed = sum(one.closed for one in self.clients)
        return f"{len(self.clients)} clients, {done} sent all, {closed} closed, {self.sent_bytes} B"

    def _run(self) -> None:
        selector = selectors.DefaultSelector()
        try:
            for number in range(self.kind.clients):
                sock = socket.socket()
                sock.setblocking(False)
                sent = self.kind.sent(self.path, number)
                if not sent.reads:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
                sock.connect_ex(split_address(self.address))
                one = _Client(sock, sent, number, sent.start)
                self.clients.append(one)
                selector.register(sock, selectors.EVENT_WRITE, one)
            self._send_all(selector)
        finally:
            self.settled.set()
            for one in self.clients:
                one.sock.close()
            selector.close()

    def _send_all(self, selector: selectors.BaseSelector) -> None:
        begun_s = progress_s = time.monotonic()
        while not self.stopped:
            now = time.monotonic()
            before = self.sent_bytes
            for key, events in selector.select(0.02):
                self._serve(selector, key.data, events, now)
            self._wake(selector, now)
            if self.sent_bytes != before:
                progress_s = now
            if now - progress_s > QUIET_S or now - begun_s > MAX_SECONDS:
                self.settled.set()

    def _serve(
        self, selector: selectors.BaseSelector, one: _Client, events: int, now: float
    ) -> None:
        try:
            if events & selectors.EVENT_READ and not one.sock.recv(65_536):
                raise OSError("closed")
            if events & selectors.EVENT_WRITE:
                self._send_piece(selector, one, now)
        except BlockingIOError:
            return
        except OSError:
            # To be refused and disconnected is an allowed end of a hostile client.
            one.closed = True
            selector.unregister(one.sock)

    def _send_piece(self, selector: selectors.BaseSelector, one: _Client, now: float) -> None:
        sent = one.sent
        if not one.left and sent.total > 0:
            one.left = sent.block[: sent.total]
            sent.total -= len(one.left)
        if one.left:
            count = one.sock.send(memoryview(one.left)[: sent.piece_bytes])
            one.left = one.left[count:]
            self.sent_bytes += count
        one.done = not one.left and sent.total <= 0
        one.next_s = now + sent.gap_s
        if one.done or sent.gap_s:
            self._watch(selector, one, writes=False)

    def _wake(self, selector: selectors.BaseSelector, now: float) -> None:
        for one in self.clients:
            if one.sent.gap_s and not one.done and not one.closed and one.next_s <= now:
                self._watch(selector, one, writes=True)

    def _watch(self, selector: selectors.BaseSelector, one: _Client, *, writes: bool) -> None:
        events = selectors.EVENT_WRITE if writes else 0
        # Without reading its answers, a client also does not see that it is disconnected.
        events |= selectors.EVENT_READ if one.sent.reads else 0
        if one.sock in selector.get_map():
            selector.unregister(one.sock)
        if events:
            selector.register(one.sock, events, one)
