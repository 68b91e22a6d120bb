"""A process of callers or nodes that send without end, as fast as they are read.

``python -m features.support.endless_senders ADDRESS KINDS CONNECTIONS SECONDS``; several kinds are
joined by " + ", and each gets that many connections.
"""

import contextlib
import random
import selectors
import socket
import struct
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from parsleyrouter.connection.peer import FRAME_HEADER, pack
from parsleyrouter.connection.stream import split_address
from parsleyrouter.ids import Address, DomainName, EndpointId, NodeId
from parsleyrouter.process.fleet_loads import NodeLoadReport, RequestCounts
from parsleyrouter.process.load_codec import encode_node_report
from parsleyrouter.process.node_registry import RegisteredNode
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

__all__ = ["ANSWER_KINDS", "CALLER_KINDS", "DATAGRAM_KINDS", "PEER_KINDS", "Bytes"]

PIECE_BYTES = 64 * 1024
POST = b"POST /bulk/x HTTP/1.1\r\nHost: callers.example\r\nX-Attempt-Id: a\r\n"
GET = b"GET /card/1 HTTP/1.1\r\nHost: callers.example\r\n"
LARGE = b"GET /large HTTP/1.1\r\nHost: callers.example\r\n"
HUGE = b"GET /huge HTTP/1.1\r\nHost: callers.example\r\n"
UPLOAD = b"POST /v1/batches HTTP/1.1\r\nHost: callers.example\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
UNENDING = b"Content-Length: 4000000\r\n\r\n"
TOO_LONG = b"Content-Length: 99999999999\r\n\r\n"


@dataclass(frozen=True)
class Bytes:
    """What one connection sends: a start, then a piece again and again."""

    start: bytes
    piece: bytes
    once: bool = False
    """Whether the piece is sent only once."""
    reads: bool = True
    """Whether the answers are read."""


def _frame(envelope: Envelope) -> bytes:
    payload = pack(envelope)
    return FRAME_HEADER.pack(len(payload)) + payload


def _many(piece: bytes) -> bytes:
    return piece * (PIECE_BYTES // len(piece) + 1)


CALLER_KINDS: dict[str, Bytes] = {
    "header lines": Bytes(GET, _many(b"X-A: b\r\n")),
    "one header line": Bytes(GET + b"X-A: ", _many(b"a")),
    "blank lines": Bytes(b"", _many(b"\r\n")),
    "heads of many headers": Bytes(b"", GET + b"a:\r\n" * 4000 + b"\r\n"),
    "a body with a length": Bytes(POST + UNENDING, _many(b"a")),
    "a body over the limit": Bytes(POST + TOO_LONG, _many(b"a")),
    "large chunks": Bytes(POST + CHUNKED, b"10000\r\n" + b"a" * 0x10000 + b"\r\n"),
    "tiny chunks": Bytes(POST + CHUNKED, _many(b"2\r\nab\r\n")),
    "chunk extensions": Bytes(POST + CHUNKED, b"1;x=" + b"e" * 8000 + b"\r\na\r\n"),
    "one chunk extension": Bytes(POST + CHUNKED + b"1;x=", _many(b"e")),
    "trailers": Bytes(POST + CHUNKED + b"1\r\na\r\n0\r\n", _many(b"X-T: b\r\n")),
    "pipelined requests": Bytes(b"", _many(GET + b"\r\n")),
    "requests whose answers are not read": Bytes(b"", _many(LARGE + b"\r\n"), reads=False),
    "one request whose huge answer is not read": Bytes(HUGE + b"\r\n", b"", reads=False),
    "a job of tiny chunks": Bytes(UPLOAD + CHUNKED, _many(b"2\r\nab\r\n")),
    "a job with a length": Bytes(UPLOAD + b"Content-Length: 900000000\r\n\r\n", _many(b"a\n")),
}

PEER_KINDS: dict[str, Bytes] = {
    "empty calls": Bytes(b"", _many(FRAME_HEADER.pack(1) + b"\x00")),
    "calls of no known method": Bytes(b"", _many(_frame(Envelope(1, "none", b"")))),
    "calls that wait": Bytes(b"", _many(_frame(Envelope(1, "wait", b"\x00")))),
    "calls whose large answers are not read": Bytes(
        b"", _many(_frame(Envelope(1, "large", b"\x00"))), reads=False
    ),
    "a frame of huge length": Bytes(struct.pack("!I", 0x7FFFFFFF), _many(b"a")),
    "a frame that never ends": Bytes(FRAME_HEADER.pack(16 * 1024 * 1024), b""),
    "large frames": Bytes(b"", FRAME_HEADER.pack(16_000_000) + b"a" * 16_000_000),
    "almost whole frames": Bytes(FRAME_HEADER.pack(16_000_000), b"a" * 15_000_000, once=True),
}

KINDS = CALLER_KINDS | PEER_KINDS

ANSWER_KINDS: dict[str, bytes] = {
    "empty answers": _many(FRAME_HEADER.pack(1) + b"\x00"),
    "answers to no call": _many(_frame(Envelope(10**9, "none", b""))),
    "an answer of huge length": struct.pack("!I", 0x7FFFFFFF) + b"a" * PIECE_BYTES,
}


def _report(number: int, node: str, uses: int) -> bytes:
    """Return a load report of a node, which names as many endpoints."""
    own = RegisteredNode(
        NodeId(node), DomainName("d"), Address("127.0.0.1:1"), Address("127.0.0.1:9"), boot=1
    )
    counts = {EndpointId(f"endpoint-{one}"): RequestCounts(1, 1) for one in range(uses)}
    return encode_node_report(NodeLoadReport(own.node, 1, number, counts), own, 0.0)


DATAGRAM_KINDS: dict[str, list[bytes]] = {
    "large load reports": [_report(number, "n", 2000) for number in range(1, 200)],
    "load reports of many nodes": [_report(1, f"n-{number}", 3) for number in range(20_000)],
    "arbitrary datagrams": [random.Random(number).randbytes(60_000) for number in range(20)],
}


def _send_datagrams(address: Address, kind: str, seconds: float) -> None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.connect(split_address(address))
    until_s = time.monotonic() + seconds
    sent = 0
    while time.monotonic() < until_s:
        for data in DATAGRAM_KINDS[kind]:
            with contextlib.suppress(OSError):
                sent += sock.send(data)
    print(sent, 0)


def _answer(address: Address, kind: str, seconds: float) -> None:
    """Send answers on every connection that is opened to an address."""
    counts = [0, 0]
    listener = socket.create_server(split_address(address))

    def answer(sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            while True:
                counts[0] += sock.send(ANSWER_KINDS[kind])
        counts[1] += 1

    def accept() -> None:
        while True:
            threading.Thread(target=answer, args=[listener.accept()[0]], daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    time.sleep(seconds)
    print(*counts, flush=True)


class _Sender:
    """One connection, opened again when the other side has closed it."""

    def __init__(self, address: Address, kind: Bytes) -> None:
        self.address = address
        self.kind = kind
        self.bytes_sent = 0
        self.times_closed = 0
        self.open()

    def open(self) -> None:
        self.sock = socket.create_connection(split_address(self.address))
        self.sock.setblocking(False)
        self.left = memoryview(self.kind.start or self.kind.piece)
        self.pieces = 0

    def send(self) -> None:
        while not self.left:
            if not self.kind.piece or (self.pieces and self.kind.once):
                return
            self.pieces += 1
            self.left = memoryview(self.kind.piece)
        sent = self.sock.send(self.left)
        self.bytes_sent += sent
        self.left = self.left[sent:]

    @property
    def events(self) -> int:
        """What to wait for."""
        read = selectors.EVENT_READ if self.kind.reads else 0
        ended = not self.left and (not self.kind.piece or (self.pieces and self.kind.once))
        return (0 if ended else selectors.EVENT_WRITE) | read

    def receive(self) -> bool:
        """Read what has arrived; return whether the other side has closed."""
        return not self.sock.recv(PIECE_BYTES)


def _attempt(step: Callable[[], object]) -> object:
    try:
        return step()
    except BlockingIOError:
        return None


def main(address: Address, kinds: str, connections: int, seconds: float) -> None:
    """Send on some connections for some seconds; a closed one is replaced after 0.1 s."""
    if kinds in DATAGRAM_KINDS:
        _send_datagrams(address, kinds, seconds)
        return
    if kinds in ANSWER_KINDS:
        _answer(address, kinds, seconds)
        return
    selector = selectors.DefaultSelector()
    chosen = [KINDS[name] for name in kinds.split(" + ")]
    senders = [_Sender(address, kind) for kind in chosen for _ in range(connections)]
    for sender in senders:
        selector.register(sender.sock, sender.events, sender)
    waiting: list[tuple[float, _Sender]] = []
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        for key, events in selector.select(0.05) if selector.get_map() else ():
            one: _Sender = key.data
            try:
                gone = bool(events & selectors.EVENT_READ and _attempt(one.receive))
                if not gone and events & selectors.EVENT_WRITE:
                    _attempt(one.send)
                    if not one.events:
                        selector.unregister(one.sock)
                    elif one.events != key.events:
                        selector.modify(one.sock, one.events, one)
            except OSError:
                gone = True
            if gone:
                one.times_closed += 1
                selector.unregister(one.sock)
                one.sock.close()
                waiting.append((time.monotonic() + 0.1, one))
        if not selector.get_map():
            time.sleep(0.02)
        for due_s, one in [pair for pair in waiting if pair[0] <= time.monotonic()]:
            waiting.remove((due_s, one))
            try:
                one.open()
            except OSError:
                waiting.append((time.monotonic() + 0.1, one))
                continue
            selector.register(one.sock, one.events, one)
    print(sum(one.bytes_sent for one in senders), sum(one.times_closed for one in senders))


if __name__ == "__main__":
    main(Address(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4]))
