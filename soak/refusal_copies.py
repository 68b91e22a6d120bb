"""Refusals that an engine keeps and writes once more, when the same id comes again or late."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import msgspec

from features.support.platform_endpoint import Arrival
from parsleyrouter.connection.forward_server import CallerExchange
from soak.journal import RunEnd

__all__ = ["CopyMode", "RefusalKeeper", "refuse_and_keep", "write_due_copies"]

LATE_AFTER = 2
"""Other requests on a connection after which a copy is late."""

PIECES = 3
MAX_PIECE_PAUSE_S = 0.03
BODY = b"no room"

Headers = list[tuple[bytes, bytes]]


class CopyMode(msgspec.Struct, frozen=True):
    """How an engine refuses requests and writes the copies of its refusals."""

    share: float = 0.0
    """Share of the requests that are refused."""
    status: int = 503
    unsaid: bool = False
    """Whether copies lack the header that says that the request has not run."""
    late: bool = False
    """Whether copies come before the answer to another request too, after two others."""
    in_pieces: bool = False
    ends: bool = False
    """Whether the connection ends after a copy, while the request runs."""
    broken: float = 0.0
    """Share of the streams that are broken off."""
    pause_s: float = 0.0
    """Longest time before a run begins."""
    room: int = 8
    """Requests taken at once; others are refused."""

    @property
    def active(self) -> bool:
        """Return whether refusals are kept."""
        return self.share > 0


@dataclass
class KeptRefusal:
    """A refusal on a connection that is to be written there once more."""

    request: str
    copy: bytes
    others: int = 0
    """Other requests on the connection since."""


class RefusalKeeper:
    """What the connections of an engine have carried, and the refusals kept on each."""

    def __init__(self) -> None:
        self.carried: dict[Any, set[str]] = {}
        self.kept: dict[Any, list[KeptRefusal]] = {}

    def note_request(self, sock: Any, request: str) -> bool:
        """Note a request; return whether its connection has carried its id before."""
        ids = self.carried.setdefault(sock, set())
        again = request in ids
        if request:
            ids.add(request)
        return again

    def take_due(self, sock: Any, request: str, mode: CopyMode) -> list[bytes]:
        """Return the copies to write before the answer to a request, which are then forgotten."""
        due, rest = [], []
        for one in self.kept.pop(sock, []) if mode.active else ():
            one.others += one.request != request
            late = mode.late and one.others > LATE_AFTER
            (due if one.request == request or late else rest).append(one)
        if rest:
            self.kept[sock] = rest
        return [one.copy for one in due]

    def keep(self, sock: Any, request: str, copy: bytes) -> None:
        """Keep the copy of a refusal."""
        self.kept.setdefault(sock, []).append(KeptRefusal(request, copy))


def refuse_and_keep(
    endpoint: Any, exchange: CallerExchange, arrival: Arrival, mode: CopyMode, status: int
) -> None:
    """Refuse a request and keep a copy of the refusal."""
    request = arrival.header("X-Attempt-Id") or ""
    headers: Headers = [(b"X-Attempt-Id", request.encode())]
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        headers.append((b"X-Instance-Id", endpoint.name.encode()))
    said = [*headers, (b"X-Not-Executed", b"1")]
    if mode.active:
        copied = headers if mode.unsaid else said
        endpoint.keeper.keep(exchange.sock, request, _response(status, copied))
    exchange.reply(status, [*said, *endpoint.headers], BODY)


def _response(status: int, headers: Headers) -> bytes:
    lines = b"".join(b"%s: %s\r\n" % line for line in headers)
    head = f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n".encode()
    return head + lines + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY


async def write_due_copies(
    endpoint: Any, exchange: CallerExchange, arrival: Arrival, mode: CopyMode
) -> bool:
    """Write the copies due before an answer; return whether the request needs no answer then."""
    request = arrival.header("X-Attempt-Id") or ""
    due = endpoint.keeper.take_due(exchange.sock, request, mode)
    for copy in due:
        size = -(-len(copy) // PIECES) if mode.in_pieces else len(copy)
        for start in range(0, len(copy), size):
            exchange.server.send(exchange.sock, copy[start : start + size])
            if mode.in_pieces:
                pause_s = endpoint.random.uniform(0.0, MAX_PIECE_PAUSE_S)
                await endpoint.runtime.loop.sleep(pause_s)
            if exchange.disconnected:
                return True
    if due and mode.ends:
        endpoint.end_run(endpoint.run(arrival), RunEnd.FAILED)
        exchange.abort()
    return bool(due) and mode.ends
