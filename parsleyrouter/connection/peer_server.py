"""Serve the calls of other processes of the system, whatever they send."""

import logging
from collections import Counter
from typing import Any

from circuits import handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer

from parsleyrouter.connection.connection_stage import RefusalCause
from parsleyrouter.connection.frames import frame, unpack
from parsleyrouter.connection.peer_limits import (
    MAX_HELD_BYTES,
    MAX_OPEN_CALLS,
    MAX_UNSENT_BYTES,
    OPEN_CALL_BYTES,
    PeerConnection,
    PeerLimits,
    first_peer_to_yield,
)
from parsleyrouter.connection.peer_methods import PeerMethods
from parsleyrouter.connection.read_queue import ReadQueue
from parsleyrouter.connection.socket_set import SocketSet
from parsleyrouter.connection.stream import send_some
from parsleyrouter.connection.turn_shares import CONNECTION_SHARE_S
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Loop
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

__all__ = ["MAX_HELD_BYTES", "MAX_OPEN_CALLS", "MAX_UNSENT_BYTES", "PeerMethods", "PeerServer"]

READ_BYTES = 256 * 1024
FRAME_TIMEOUT_S = 30.0
"""Time for a frame to arrive, and for a peer to read some of its answers."""

CROWDED_TIMEOUT_S = 2.0
"""Time for a peer to read some of its answers while all unread answers take too much memory."""

SMALL_BYTES = 64 * 1024
"""Incomplete frames up to which a connection is read on whatever the others hold, and the size to
which unsent answers are joined."""

SWEEP_INTERVAL_S = 0.5

log = logging.getLogger(__name__)


class PeerServer(TCPServer):
    """Serve the calls of peers; ``context`` is passed to each method."""

    def __init__(
        self,
        loop: Loop,
        bind: Address,
        methods: PeerMethods,
        context: Any,
        channel: str = "peer",
        limits: PeerLimits | None = None,
    ) -> None:
        super().__init__(bind, channel=channel)
        self.limits = limits or PeerLimits()
        self.refused: Counter[RefusalCause] = Counter()
        self._clients = SocketSet()
        self.loop = loop
        self.methods = methods
        self.context = context
        self.peers: dict[Any, PeerConnection] = {}
        self.held_bytes = 0
        self.open_calls = 0
        self.open_call_bytes = 0
        self.unsent_bytes = 0
        """Unsent answers of all connections, at most; exact after each sweep."""
        self.queue = ReadQueue(loop, self._serve, self._watch, self.fire)
        self.held_back: set[Any] = set()
        """Connections that are not read because of their answers or of the memory of all."""
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def bound_address(self) -> Address:
        """Return the address that the system chose."""
        return Address(f"{self.host}:{self.port}")

    def client_bytes(self) -> int:
        """Return the bytes of calls and unread answers."""
        return self.held_bytes + self.open_call_bytes + self.unsent_bytes

    def client_count(self) -> int:
        """Return the number of open connections."""
        return len(self.peers)

    @handler("_read", priority=2)
    def _on_readable(self, event: Any, sock: Any) -> None:
        if sock in self._clients:
            event.stop()
            if sock not in self.peers:
                self._admit(sock, "")
            self.queue.add(sock)

    @handler("connect")
    def _on_peer_connect(self, sock: Any, host: str, port: int) -> None:
        if sock in self._clients and sock not in self.peers:
            self._admit(sock, host)

    def _admit(self, sock: Any, remote: str) -> None:
        """Add a connection, and close one without calls or answers if there are too many."""
        self.peers[sock] = PeerConnection(self.loop.now(), remote, self.limits)
        if len(self.peers) <= self.limits.connections:
            return
        found = first_peer_to_yield(self.peers, sock, self._buffers)
        closed = sock if found is None else found.key
        self._drop(closed, RefusalCause.CONNECTIONS)

    def _drop(self, sock: Any, cause: RefusalCause) -> None:
        self.refused[cause] += 1
        self._close(sock)
        self._forget(sock)

    @handler("read_turn")
    def _on_read_turn(self) -> None:
        self.queue.run()

    @handler("disconnect")
    def _on_peer_gone(self, sock: Any) -> None:
        self._forget(sock)

    def _forget(self, sock: Any) -> None:
        self.queue.discard(sock)
        self.held_back.discard(sock)
        peer = self.peers.pop(sock, None)
        if peer is not None:
            self.held_bytes -= len(peer.frames.data)

    @handler("ready", "error", "closed")
    def _on_feedback(self, *_: Any) -> None:
        """Ignore notifications of the library that need no action."""

    def _serve(self, sock: Any) -> bool:
        """Answer or read for one share of a turn; return whether there is more of either."""
        peer = self.peers.get(sock)
        if peer is None or sock not in self._clients or self._holds_back(sock, peer):
            return False
        held_bytes = len(peer.frames.data)
        try:
            more = self._start_calls(sock, peer) if peer.frames.complete else self._read_some(sock)
        except ValueError as error:
            log.warning("bad frame from a peer", extra={"error": str(error)})
            self.refused[RefusalCause.BAD_REQUEST] += 1
            self._close(sock)
            return False
        finally:
            self.held_bytes += len(peer.frames.data) - held_bytes
        return more

    def _holds_back(self, sock: Any, peer: PeerConnection) -> bool:
        """Return whether a connection is not read for now, and stop polling it then."""
        unsent = self._unsent_bytes(sock) > self.limits.unsent_bytes // 4 or self._unsent_in_sum()
        large = len(peer.frames.data) > SMALL_BYTES and not peer.frames.complete
        crowded = (
            large and self.held_bytes > self.limits.held_bytes and sock is not self._first_begun()
        )
        if not unsent and not crowded:
            return False
        self.held_back.add(sock)
        self._watch(sock)
        return True

    def _unsent_in_sum(self) -> bool:
        """Return whether all connections together have too many unsent answers."""
        if self.unsent_bytes > self.limits.unsent_bytes_in_sum:
            self.unsent_bytes = sum(map(self._unsent_bytes, self.peers))
        return self.unsent_bytes > self.limits.unsent_bytes_in_sum

    def _first_begun(self) -> Any:
        begun = [(peer.begun_s, sock) for sock, peer in self.peers.items() if peer.frames.data]
        return min(begun, key=lambda pair: pair[0], default=(0.0, None))[1]

    def _read_some(self, sock: Any) -> bool:
        peer = self.peers[sock]
        try:
            data = sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as failure:
            log.debug("peer not read", extra={"error": str(failure)})
            self._close(sock)
            return False
        if not data:
            self.close(sock)
            return False
        if not peer.frames.data:
            peer.begun_s = self.loop.now()
        peer.frames.feed(data)
        if peer.frames.complete:
            self._start_calls(sock, peer)
        return peer.frames.complete or len(data) == READ_BYTES

    def _start_calls(self, sock: Any, peer: PeerConnection) -> bool:
        """Start the calls that have arrived; return whether others are left."""
        until_s = self.loop.now() + CONNECTION_SHARE_S
        while (data := peer.frames.take()) is not None:
            envelope = unpack(Envelope, data)
            peer.begun_s = self.loop.now()
            size = len(data) + OPEN_CALL_BYTES
            if not self.limits.allows_call(peer, self.open_calls, self.open_call_bytes + size):
                self._refuse(sock, peer, envelope)
            else:
                peer.open_calls += 1
                self.open_calls += 1
                self.open_call_bytes += size
                answering = self._answer(sock, peer, envelope, size)
                self.loop.spawn(answering, str(envelope.method))
            if self.loop.now() >= until_s:
                break
        return peer.frames.complete

    def _refuse(self, sock: Any, peer: PeerConnection, envelope: Envelope) -> None:
        peer.refused_calls += 1
        self.refused[RefusalCause.CALLS] += 1
        if envelope.call:
            failure = "too many calls are open already: wait for their answers"
            reply = Envelope(envelope.call, envelope.method, b"", failure=failure)
            self._send(sock, frame(reply))

    async def _answer(self, sock: Any, peer: PeerConnection, envelope: Envelope, size: int) -> None:
        try:
            reply = await self.methods.answer(self.context, envelope)
        finally:
            peer.open_calls -= 1
            self.open_calls -= 1
            self.open_call_bytes -= size
        if envelope.call and sock in self._clients:
            self._send(sock, frame(reply))

    def _unsent_bytes(self, sock: Any) -> int:
        return sum(map(len, self._buffers.get(sock, ())))

    def _send(self, sock: Any, data: bytes) -> None:
        if not self._buffers.get(sock):
            try:
                data = send_some(sock, data)
            except OSError:
                self.fire(close(sock))
                return
        if not data:
            return
        self.unsent_bytes += len(data)
        queued = self._buffers.get(sock)
        if queued and len(queued[-1]) + len(data) <= SMALL_BYTES:
            queued[-1] += data
        else:
            self.write(sock, data)
        if self._unsent_bytes(sock) > self.limits.unsent_bytes:
            log.warning("peer closed: it does not read its answers")
            self._drop(sock, RefusalCause.UNREAD)

    @handler("_write", priority=0)
    def _on_sent(self, sock: Any) -> None:
        if sock in self.held_back and not self._buffers.get(sock):
            self._read_again(sock)

    def _read_again(self, sock: Any) -> None:
        self.held_back.discard(sock)
        self._watch(sock)
        self.queue.add(sock)

    def _watch(self, sock: Any) -> None:
        """Poll a connection unless it is held back or waits for its next share of a turn."""
        if sock not in self._clients:
            return
        if sock in self.held_back or sock in self.queue.busy:
            self._poller.removeReader(sock)
        else:
            self._poller.addReader(self, sock)

    def _sweep(self) -> None:
        """Close peers that do not go on in time, and read those held back if they may be."""
        now = self.loop.now()
        crowded = self._unsent_in_sum()
        self.unsent_bytes = 0
        for sock, peer in list(self.peers.items()):
            unsent_bytes = self._unsent_bytes(sock)
            self.unsent_bytes += unsent_bytes
            if not unsent_bytes or unsent_bytes < peer.unsent_bytes:
                peer.unsent_since_s = now
            peer.unsent_bytes = unsent_bytes
            if peer.refused_calls:
                log.warning("calls of a peer refused", extra={"calls": peer.refused_calls})
                peer.refused_calls = 0
            limit_s = CROWDED_TIMEOUT_S if crowded and unsent_bytes else FRAME_TIMEOUT_S
            waits = sock in self.held_back or self.queue.waits(sock)
            if peer.is_overdue(now, limit_s, waits=waits):
                log.warning("peer closed: it sends or reads too slowly")
                self._drop(sock, RefusalCause.SLOW)
        for sock in list(self.held_back):
            self._read_again(sock)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
