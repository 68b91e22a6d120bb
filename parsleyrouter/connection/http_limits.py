"""Limits on what callers may send, and the refusals of requests that violate them."""

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import unquote

import h11

from parsleyrouter.connection.http import HttpReply, refusal_reply
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind

__all__ = [
    "HttpLimits",
    "RequestHead",
    "check_head",
    "encode_refusal",
    "framing_refusal",
    "read_head",
    "too_large_refusal",
    "too_many_lines_refusal",
]

_REASON_PHRASES = {400: b"Bad Request", 413: b"Content Too Large", 503: b"Service Unavailable"}
_DOT_SEGMENTS = frozenset({".", ".."})


@dataclass(frozen=True)
class HttpLimits:
    """Limits of one server; times in seconds."""

    header_bytes: int = 32 * 1024
    header_count: int = 100
    body_bytes: int = 8 * 1024 * 1024
    upload_bytes: int = 1024 * 1024 * 1024
    buffered_bytes: int = 256 * 1024 * 1024
    """Requests that are being received or answered, of all connections."""
    unsent_bytes: int = 256 * 1024 * 1024
    """Responses that callers have not read, of all connections; at most one response more."""
    connections: int = 4000
    uploads: int = 16
    header_timeout_s: float = 10.0
    body_gap_timeout_s: float = 10.0
    idle_timeout_s: float = 300.0
    send_stall_timeout_s: float = 30.0
    discard_timeout_s: float = 2.0


@dataclass(frozen=True)
class RequestHead:
    """The head of a request; header names are lower case."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    protocol: tuple[int, int]
    length: int | None
    raw: tuple[tuple[bytes, bytes], ...] = ()
    """The headers as sent, including repeated ones."""

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may serve another request."""
        tokens = self.headers.get("connection", "").lower()
        return "close" not in tokens and self.protocol >= (1, 1)


def read_head(request: h11.Request) -> RequestHead:
    """Return the head of a parsed request."""
    headers = {name.decode("ascii"): value.decode("latin-1") for name, value in request.headers}
    path, _, query = request.target.decode("ascii").partition("?")
    major, _, minor = request.http_version.decode("ascii").partition(".")
    length = headers.get("content-length")
    return RequestHead(
        method=request.method.decode("ascii"),
        path=path,
        query=query,
        headers=headers,
        protocol=(int(major), int(minor)),
        length=int(length) if length is not None else None,
        raw=tuple(request.headers.raw_items()),
    )


def check_head(head: RequestHead, limits: HttpLimits, *, streamed: bool) -> Refusal | None:
    """Return why a request is refused before its body is read."""
    if len(head.headers) > limits.header_count:
        return too_many_lines_refusal(limits.header_count)
    if sum(len(name) + len(value) for name, value in head.raw) > limits.header_bytes:
        return _bad_request(f"the headers are over {limits.header_bytes} bytes: send less in them")
    if not head.path.startswith("/"):
        return _bad_request("the target must be a path that starts with '/'")
    if _DOT_SEGMENTS.intersection(unquote(head.path).replace("\\", "/").split("/")):
        return _bad_request("the path must not contain '.' or '..' segments")
    if head.headers.get("content-encoding", "identity").lower() != "identity":
        return _bad_request("content-encoding is not supported: send the body as it is")
    max_bytes = limits.upload_bytes if streamed else limits.body_bytes
    if head.length is not None and head.length > max_bytes:
        return too_large_refusal(max_bytes)
    return None


def too_large_refusal(max_bytes: int) -> Refusal:
    """Return the refusal of a body over a limit."""
    return Refusal(
        RefusalKind.TOO_LARGE,
        f"the body is over {max_bytes} bytes: send less at once",
        ExecutionStatus.NOT_RUN,
    )


def framing_refusal(max_bytes: int) -> Refusal:
    """Return the refusal of chunks whose sizes, extensions and trailers exceed a limit."""
    return Refusal(
        RefusalKind.TOO_LARGE,
        f"the framing of the chunks is over {max_bytes} bytes: send larger chunks",
        ExecutionStatus.NOT_RUN,
    )


def too_many_lines_refusal(max_lines: int) -> Refusal:
    """Return the refusal of a head or of trailers with too many lines."""
    return _bad_request(f"more than {max_lines} headers: send fewer")


def encode_refusal(refusal: Refusal) -> bytes:
    """Encode a refusal as a reply that closes the connection."""
    reply: HttpReply = refusal_reply(refusal)
    lines = [b"HTTP/1.1 %d %s" % (reply.status, _REASON_PHRASES.get(reply.status, b"Refused"))]
    headers = dict(reply.headers) | {
        "content-length": str(len(reply.body)),
        "connection": "close",
    }
    lines += [f"{name}: {value}".encode("latin-1") for name, value in headers.items()]
    return b"\r\n".join(lines) + b"\r\n\r\n" + reply.body


def _bad_request(message: str) -> Refusal:
    return Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN)
