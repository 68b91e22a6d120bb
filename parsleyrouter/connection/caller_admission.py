"""Keep what callers hold within the limits of their server, and count who was refused."""

import logging
from collections import Counter
from typing import TYPE_CHECKING, Any

from parsleyrouter.connection.connection_stage import ConnectionStage, RefusalCause
from parsleyrouter.connection.crowding import Holder, first_to_yield
from parsleyrouter.connection.socket_input import has_input
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind

if TYPE_CHECKING:
    from parsleyrouter.connection.caller_connection import CallerConnection
    from parsleyrouter.connection.public_http_server import PublicHttpServer

__all__ = ["BUSY", "CallerAdmission"]

SMALL_REQUEST_BYTES = 64 * 1024
LARGE_REQUESTS_SHARE = 7 / 8
"""Share of the memory for requests that larger ones may fill."""

SLOW_BYTES = 8 * 1024
"""Bytes between two sweeps below which an unfinished request is slow."""

FRESH_S = 0.2
"""Time in which a new connection is expected to begin its request."""

MAX_LINES = 5
"""Refusals that are logged one by one between two sweeps; others are counted in one line."""

BUSY = Refusal(
    RefusalKind.OVERLOADED,
    "too much is being uploaded here: try another entry or come again",
    ExecutionStatus.NOT_RUN,
    retry_after_s=2.0,
)
_TOO_MANY_CONNECTIONS = Refusal(
    RefusalKind.OVERLOADED,
    "too many connections or uploads here: try another entry",
    ExecutionStatus.NOT_RUN,
    retry_after_s=1.0,
)
_UNFINISHED = (ConnectionStage.HEAD, ConnectionStage.BODY)
_YIELD_ORDER = (
    ConnectionStage.DISCARD,
    ConnectionStage.IDLE,
    ConnectionStage.HEAD,
    ConnectionStage.BODY,
)

log = logging.getLogger(__name__)


class CallerAdmission:
    """Make room for new connections and for requests that arrive.

    A request that is complete is never given up.
    """

    def __init__(self, server: "PublicHttpServer") -> None:
        self.server = server
        self.refused: Counter[RefusalCause] = Counter()
        self.lines = 0

    def admit(self, connection: "CallerConnection") -> None:
        """Close another connection, or this one, if there are too many.

        New connections from one address that are still silent yield to a request only: a server
        that is late accepts a crowd of them together with the requests of others.
        """
        server = self.server
        while len(server.connections) > server.limits.connections:
            totals = Counter(one.remote for one in server.connections.values())
            others = [
                one
                for one in server.connections.values()
                if one is not connection and self._may_close(one)
            ]
            settled = [
                one for one in others if one.remote != connection.remote or not self._is_silent(one)
            ]
            found = first_to_yield(map(self._holder, settled), totals, connection.remote)
            if found is None and has_input(connection.sock):
                unused = [one for one in others if self._is_silent(one) and not has_input(one.sock)]
                found = first_to_yield(map(self._holder, unused), totals, connection.remote)
            yielding = connection if found is None else server.connections[found.key]
            self._close(yielding, is_new=yielding is connection)
            if yielding is connection:
                return

    def _may_close(self, connection: "CallerConnection") -> bool:
        return connection.stage in _YIELD_ORDER and connection.upload is None

    def _is_silent(self, connection: "CallerConnection") -> bool:
        """Return whether a connection is new and its first request has not begun yet."""
        silent = connection.idle and connection.progress_s == connection.opened_s
        return silent and connection.opened_s > self.server.loop.now() - FRESH_S

    def _holder(self, connection: "CallerConnection") -> Holder:
        return Holder(connection.sock, connection.remote, self._yield_order(connection))

    def _yield_order(self, connection: "CallerConnection") -> tuple[float, ...]:
        """Order refused connections first, and those that still read an answer last."""
        unread = bool(self.server.server._buffers.get(connection.sock))
        since_s = max(connection.progress_s, connection.unsent_since_s)
        return (unread, _YIELD_ORDER.index(connection.stage), since_s)

    def hold(self, connection: "CallerConnection") -> bool:
        """Return whether what a connection holds fits, after others have yielded if need be."""
        server = self.server
        limit = float(server.limits.buffered_bytes)
        if connection.buffered_bytes > SMALL_REQUEST_BYTES:
            limit *= LARGE_REQUESTS_SHARE
        while server.buffered > limit:
            totals: Counter[str] = Counter()
            for one in server.connections.values():
                totals[one.remote] += one.buffered_bytes
            found = first_to_yield(self._holders(connection), totals, connection.remote)
            if found is None:
                return False
            server.connections[found.key].refuse(BUSY, RefusalCause.MEMORY)
        return True

    def _holders(self, connection: "CallerConnection") -> list[Holder]:
        """List the unfinished requests that yield to that of a connection.

        From its own address, only slow ones that hold more.
        """
        return [
            Holder(sock, one.remote, (not one.slow, -one.buffered_bytes))
            for sock, one in self.server.connections.items()
            if one is not connection
            and one.stage in _UNFINISHED
            and one.buffered_bytes
            and (
                one.remote != connection.remote
                or (one.slow and one.buffered_bytes > connection.buffered_bytes)
            )
        ]

    def _close(self, connection: "CallerConnection", *, is_new: bool) -> None:
        """Close a connection at once, with a refusal if its caller may wait for an answer."""
        if is_new or connection.stage in _UNFINISHED:
            connection.refuse(_TOO_MANY_CONNECTIONS, RefusalCause.CONNECTIONS)
        elif connection.stage is ConnectionStage.IDLE:
            self.note(RefusalCause.CONNECTIONS, connection.remote, "idle, and others connect")
        connection.discard()
        self.server.server._close(connection.sock)
        # The event of the disconnection comes later.
        self.server.forget(connection.sock)

    def note(self, cause: RefusalCause, remote: str, reason: str, **fields: Any) -> None:
        """Count a refusal or a closed connection, and log the first ones after each sweep."""
        self.refused[cause] += 1
        self.lines += 1
        if self.lines <= MAX_LINES:
            extra = {"remote": remote, "cause": cause.value, "reason": reason, **fields}
            log.info("request refused and connection closed", extra=extra)

    def sweep(self) -> None:
        """Log how many more were refused, and mark slow requests."""
        if self.lines > MAX_LINES:
            extra = {"requests": self.lines - MAX_LINES}
            log.info("more requests refused and connections closed", extra=extra)
        self.lines = 0
        for sock, connection in self.server.connections.items():
            waits = self.server.queue.waits(sock)
            connection.slow = not waits and connection.window_bytes < SLOW_BYTES
            connection.window_bytes = 0
