"""What clients send that a process must withstand, by kind."""

import struct
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from thrift.Thrift import TType

from features.support.front_fleet import HOST
from parsleyrouter.connection.frames import FRAME_HEADER, frame, pack
from parsleyrouter.thrift_gen.nodes.ttypes import AskFollowed
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

__all__ = ["BODY_BYTES", "HTTP_KINDS", "NODE_KINDS", "Kind", "Sent"]

SENDERS = 60
CONNECTIONS = 400
"""Senders of the kinds that hold little each; more than the process may have descriptors for."""

BODY_BYTES = 4_000_000
"""The largest legal body of callers; sent to the other ports as well."""

SMALL_PIECE_BYTES = 4096
SLOW_PIECE_BYTES = 100
"""Piece of a slow sender: one holds a head, and a few more bytes follow each time."""


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
    "bodies sent slowly": Kind(
        lambda path, n: Sent(
            b"", _head(path, n) + _length(BODY_BYTES) + FILL, BODY_BYTES, SLOW_PIECE_BYTES, 0.2
        ),
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
    "frames sent slowly": Kind(
        lambda path, n: Sent(
            b"", FRAME_HEADER.pack(BODY_BYTES) + FILL, BODY_BYTES, SLOW_PIECE_BYTES, 0.2
        ),
        CONNECTIONS,
    ),
    "half a frame": Kind(lambda path, n: Sent(FRAME_HEADER.pack(1000) + b"a" * 500), CONNECTIONS),
}
