"""What a caller may send, and the refusals of what is more or broken."""

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import unquote

import h11

from parsleyrouter.connection.http import HttpReply, refusal_reply
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind

__all__ = ["HttpLimits", "RequestHead", "check_head", "raw_reply", "read_head", "too_large"]

_STREAMED = frozenset({("POST", "/v1/batches")})
_REASONS = {400: b"Bad Request", 413: b"Content Too Large", 503: b"Service Unavailable"}
_DOT_SEGMENTS = frozenset({".", ".."})


@dataclass(frozen=True)
class HttpLimits:
    """Bounds of one server; times in seconds."""

    header_bytes: int = 32 * 1024
    header_count: int = 100
    body_bytes: int = 8 * 1024 * 1024
    upload_bytes: int = 1024 * 1024 * 1024
    buffered_bytes: int = 256 * 1024 * 1024
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
    """The headers as they were sent, repeated ones included."""

    @property
    def streamed(self) -> bool:
        """Tell whether the body is handed on as it arrives."""
        return (self.method, self.path.rstrip("/")) in _STREAMED

    @property
    def keep_alive(self) -> bool:
        """Tell whether the connection may serve another request."""
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


def check_head(head: RequestHead, limits: HttpLimits) -> Refusal | None:
    """Return why a request is refused before its body is read."""
    if len(head.headers) > limits.header_count:
        return _bad(f"more than {limits.header_count} headers: send fewer")
    if sum(len(name) + len(value) for name, value in head.raw) > limits.header_bytes:
        return _bad(f"the headers are over {limits.header_bytes} bytes: send less in them")
    if not head.path.startswith("/"):
        return _bad("the target must be a path that starts with '/'")
    if _DOT_SEGMENTS.intersection(unquote(head.path).replace("\\", "/").split("/")):
        return _bad("the path must not contain '.' or '..' segments")
    if head.headers.get("content-encoding", "identity").lower() != "identity":
        return _bad("content-encoding is not supported: send the body as it is")
    most = limits.upload_bytes if head.streamed else limits.body_bytes
    if head.length is not None and head.length > most:
        return too_large(most)
    return None


def too_large(most: int) -> Refusal:
    """Return the refusal of a body over a limit."""
    return Refusal(
        RefusalKind.TOO_LARGE,
        f"the body is over {most} bytes: send less at once",
        ExecutionStatus.NOT_RUN,
    )


def raw_reply(refusal: Refusal) -> bytes:
    """Return the bytes of a refusal that ends its connection."""
    reply: HttpReply = refusal_reply(refusal)
    lines = [b"HTTP/1.1 %d %s" % (reply.status, _REASONS.get(reply.status, b"Refused"))]
    headers = dict(reply.headers) | {
        "content-length": str(len(reply.body)),
        "connection": "close",
    }
    lines += [f"{name}: {value}".encode("latin-1") for name, value in headers.items()]
    return b"\r\n".join(lines) + b"\r\n\r\n" + reply.body


def _bad(message: str) -> Refusal:
    return Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN)
