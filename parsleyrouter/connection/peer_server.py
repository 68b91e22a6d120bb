"""Serve the calls of other processes of the system, whatever they send."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

from circuits import handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer

from parsleyrouter.connection.frames import MAX_FRAME_BYTES, FrameBuffer, frame, pack, unpack
from parsleyrouter.connection.read_queue import ReadQueue
from parsleyrouter.connection.socket_set import SocketSet
from parsleyrouter.connection.stream import send_some
from parsleyrouter.connection.turn_shares import CONNECTION_SHARE_S
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Loop
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

__all__ = ["PeerMethods", "PeerServer"]

READ_BYTES = 256 * 1024
MAX_OPEN_CALLS = 1024
"""Calls of one connection that are answered at the same time; others are refused."""

MAX_OPEN_CALLS_IN_SUM = 16 * MAX_OPEN_CALLS
"""The same of all connections, closed ones too, whose calls go on; twice that with the calls of
connections that have few."""

FEW_OPEN_CALLS = 16

MAX_UNSENT_BYTES = 4 * MAX_FRAME_BYTES
"""Unsent answers on one connection; above a quarter of it, no further call is read."""

MAX_HELD_BYTES = 4 * MAX_FRAME_BYTES
"""Incomplete frames of all connections; above it, only that begun first is read on."""

FRAME_TIMEOUT_S = 30.0
"""Time for a frame to arrive, and for a peer to read some of its answers."""

SMALL_BYTES = 64 * 1024
"""Incomplete frames up to which a connection is read on whatever the others hold, and the size to
which unsent answers are joined."""

SWEEP_INTERVAL_S = 0.5

log = logging.getLogger(__name__)

Method = Callable[[Any, Any], Awaitable[Any]]


class PeerMethods:
    """Registry of the RPC methods of a process, filled by the decorator ``add``."""

    def __init__(self) -> None:
        self.methods: dict[str, tuple[type[Any], Method]] = {}

    def add(self, name: str, request_type: type[Any]) -> Callable[[Method], Method]:
        """Register ``async def method(context, request) -> reply struct or None``."""

        def register(function: Method) -> Method:
            self.methods[name] = (request_type, function)
            return function

        return register

    def copy(self) -> "PeerMethods":
        """Return a copy of the registry, to which other methods can be added."""
        copied = PeerMethods()
        copied.methods = dict(self.methods)
        return copied


class _Peer:
    """One connection of a peer."""

    def __init__(self, now: float) -> None:
        self.frames = FrameBuffer()
        self.begun_s = now
        """When the frame that is incomplete began to arrive."""
        self.open_calls = 0
        self.refused_calls = 0
        self.unsent_bytes = 0
        self.unsent_since_s = now


class PeerServer(TCPServer):
    """Serve the calls of peers; ``context`` is passed to each method."""

    def __init__(
        self, loop: Loop, bind: Address, methods: PeerMethods, context: Any, channel: str = "peer"
    ) -> None:
        super().__init__(bind, channel=channel)
        self._clients = SocketSet()
        self.loop = loop
        self.methods = methods
        self.context = context
        self.peers: dict[Any, _Peer] = {}
        self.held_bytes = 0
        self.open_calls = 0
        self.queue = ReadQueue(loop, self._serve, self._watch, self.fire)
        self.held_back: set[Any] = set()
        """Connections that are not read because of their answers or of the memory of all."""
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def bound_address(self) -> Address:
        """Return the address that the system chose."""
        return Address(f"{self.host}:{self.port}")

    @handler("_read", priority=2)
    def _on_readable(self, event: Any, sock: Any) -> None:
        if sock in self._clients:
            event.stop()
            if sock not in self.peers:
                self.peers[sock] = _Peer(self.loop.now())
            self.queue.add(sock)

    @handler("read_turn")
    def _on_read_turn(self) -> None:
        self.queue.run()

    @handler("disconnect")
    def _on_peer_gone(self, sock: Any) -> None:
        self.queue.discard(sock)
        self.held_back.discard(sock)
        peer = self.peers.pop(sock, None)
        if peer is not None:
            self.held_bytes -= len(peer.frames.data)

    @handler("ready", "connect", "error", "closed")
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
            self._close(sock)
            return False
        self.held_bytes += len(peer.frames.data) - held_bytes
        return more

    def _holds_back(self, sock: Any, peer: _Peer) -> bool:
        """Return whether a connection is not read for now, and stop polling it then."""
        unsent = self._unsent_bytes(sock) > MAX_UNSENT_BYTES // 4
        large = len(peer.frames.data) > SMALL_BYTES and not peer.frames.complete
        crowded = large and self.held_bytes > MAX_HELD_BYTES and sock is not self._first_begun()
        if not unsent and not crowded:
            return False
        self.held_back.add(sock)
        self._watch(sock)
        return True

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

    def _start_calls(self, sock: Any, peer: _Peer) -> bool:
        """Start the calls that have arrived; return whether others are left."""
        until_s = self.loop.now() + CONNECTION_SHARE_S
        while (data := peer.frames.take()) is not None:
            envelope = unpack(Envelope, data)
            peer.begun_s = self.loop.now()
            few = peer.open_calls < FEW_OPEN_CALLS
            full = self.open_calls >= MAX_OPEN_CALLS_IN_SUM * (2 if few else 1)
            if full or peer.open_calls >= MAX_OPEN_CALLS:
                self._refuse(sock, peer, envelope)
            else:
                peer.open_calls += 1
                self.open_calls += 1
                self.loop.spawn(self._answer(sock, peer, envelope), str(envelope.method))
            if self.loop.now() >= until_s:
                break
        return peer.frames.complete

    def _refuse(self, sock: Any, peer: _Peer, envelope: Envelope) -> None:
        peer.refused_calls += 1
        if envelope.call:
            failure = "too many calls are open already: wait for their answers"
            reply = Envelope(envelope.call, envelope.method, b"", failure=failure)
            self._send(sock, frame(reply))

    async def _answer(self, sock: Any, peer: _Peer, envelope: Envelope) -> None:
        try:
            reply = await self._reply(envelope)
        finally:
            peer.open_calls -= 1
            self.open_calls -= 1
        if envelope.call and sock in self._clients:
            self._send(sock, frame(reply))

    async def _reply(self, envelope: Envelope) -> Envelope:
        reply = Envelope(call=envelope.call, method=envelope.method, payload=b"")
        known = self.methods.methods.get(envelope.method)
        if known is None:
            reply.failure = f"unknown method {envelope.method}: use one version on all VMs"
            return reply
        request_type, function = known
        try:
            answer = await function(self.context, unpack(request_type, envelope.payload))
            reply.payload = b"" if answer is None else pack(answer)
        except Exception as error:
            log.exception("peer method failed", extra={"method": envelope.method})
            reply.failure = f"{envelope.method} failed: {error}"
        return reply

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
        queued = self._buffers.get(sock)
        if queued and len(queued[-1]) + len(data) <= SMALL_BYTES:
            queued[-1] += data
        else:
            self.write(sock, data)
        if self._unsent_bytes(sock) > MAX_UNSENT_BYTES:
            log.warning("peer closed: it does not read its answers")
            self._close(sock)

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
        for sock, peer in list(self.peers.items()):
            unsent_bytes = self._unsent_bytes(sock)
            if not unsent_bytes or unsent_bytes < peer.unsent_bytes:
                peer.unsent_since_s = now
            peer.unsent_bytes = unsent_bytes
            if peer.refused_calls:
                log.warning("calls of a peer refused", extra={"calls": peer.refused_calls})
                peer.refused_calls = 0
            if self._is_overdue(sock, peer, now):
                log.warning("peer closed: it sends or reads too slowly")
                self._close(sock)
        for sock in list(self.held_back):
            self._read_again(sock)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _is_overdue(self, sock: Any, peer: _Peer, now: float) -> bool:
        if peer.unsent_bytes:
            return now - peer.unsent_since_s > FRAME_TIMEOUT_S
        waits = sock in self.held_back or self.queue.waits(sock)
        return bool(peer.frames.data) and not waits and now - peer.begun_s > FRAME_TIMEOUT_S
