"""RPC between the system's own processes: framed thrift over TCP."""

import logging
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from parsleyrouter.connection.frames import (
    FRAME_HEADER,
    MAX_FRAME_BYTES,
    FrameBuffer,
    frame,
    pack,
    unpack,
)
from parsleyrouter.connection.peer_server import PeerMethods, PeerServer
from parsleyrouter.connection.stream import ConnectFailed, Connector, Stream
from parsleyrouter.connection.turn_shares import CONNECTION_SHARE_S
from parsleyrouter.decoding import InvalidData
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Loop, Promise, TimedOut
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

__all__ = [
    "FRAME_HEADER",
    "PeerClient",
    "PeerFailure",
    "PeerFailureKind",
    "PeerMethods",
    "PeerServer",
    "pack",
    "unpack",
]

MAX_UNSENT_BYTES = 2 * MAX_FRAME_BYTES
"""Unsent calls to one peer above which no other is begun."""

log = logging.getLogger(__name__)

S = TypeVar("S")


class PeerFailureKind(Enum):
    """Reasons why a call to a peer failed."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    CLOSED = "closed"
    REMOTE = "remote"


@dataclass(frozen=True)
class PeerFailure:
    """A failed call; only ``UNREACHABLE`` proves that the peer did not run it."""

    kind: PeerFailureKind
    message: str


class _PeerConnection:
    """One connection to a peer and its pending calls."""

    def __init__(self, loop: Loop, stream: Stream) -> None:
        self.loop = loop
        self.stream = stream
        self.frames = FrameBuffer()
        self.waiting: dict[int, Promise[Envelope | PeerFailure]] = {}
        self.answers_owed = 0
        """Calls that were sent and not answered, including those that have timed out."""
        stream.on_data = self._on_data
        stream.on_close = self._on_close

    def call(self, call: int, data: bytes) -> Promise[Envelope | PeerFailure]:
        """Send a call and return its answer."""
        promise = self.waiting[call] = Promise(self.loop)
        self.answers_owed += 1
        self.stream.send(data)
        return promise

    def _on_data(self, data: bytes) -> None:
        self.frames.feed(data)
        self._take_answers()

    def _take_answers(self) -> None:
        """Pass answers on for its share of a turn; read no more until the rest has been."""
        until_s = self.loop.now() + CONNECTION_SHARE_S
        try:
            while not self.stream.closed and (data := self.frames.take()) is not None:
                self._take_answer(unpack(Envelope, data))
                if self.frames.complete and self.loop.now() >= until_s:
                    self.stream.pause()
                    self.loop.call_later(0.0, self._take_answers)
                    return
        except ValueError as error:
            fields = {"address": self.stream.address, "error": str(error)}
            log.warning("bad frame from a peer", extra=fields)
            self.stream.close_as_lost()
            return
        self.stream.resume()

    def _take_answer(self, envelope: Envelope) -> None:
        self.answers_owed -= 1
        if self.answers_owed < 0:
            raise ValueError("more answers than calls")
        promise = self.waiting.pop(envelope.call, None)
        if promise is not None:
            promise.resolve(envelope)

    def _on_close(self) -> None:
        waiting, self.waiting = self.waiting, {}
        failure = PeerFailure(PeerFailureKind.CLOSED, f"{self.stream.address} closed")
        for promise in waiting.values():
            promise.resolve(failure)


class PeerClient:
    """Call methods of peers over one persistent connection per address."""

    def __init__(self, loop: Loop, connector: Connector) -> None:
        self.loop = loop
        self.connector = connector
        self.connections: dict[Address, _PeerConnection] = {}
        self.connecting: dict[Address, Promise[_PeerConnection | None]] = {}
        self.last_call = 0

    async def call(
        self, address: Address, method: str, request: Any, reply_type: type[S], timeout_s: float
    ) -> S | PeerFailure:
        """Call a method and wait at most ``timeout_s`` for the reply."""
        connection = await self._connection(address, timeout_s)
        if connection is None:
            return PeerFailure(PeerFailureKind.UNREACHABLE, f"cannot connect to {address}")
        self.last_call += 1
        call = self.last_call
        data = frame(Envelope(call=call, method=method, payload=pack(request)))
        if connection.stream.buffered_bytes > MAX_UNSENT_BYTES:
            return PeerFailure(PeerFailureKind.UNREACHABLE, f"{address} does not read its calls")
        promise = connection.call(call, data)
        try:
            answer = await self.loop.within(timeout_s, promise)
        except TimedOut:
            return PeerFailure(PeerFailureKind.TIMEOUT, f"{address} {method}: no answer")
        finally:
            connection.waiting.pop(call, None)
        if isinstance(answer, PeerFailure):
            return answer
        if answer.failure:
            return PeerFailure(PeerFailureKind.REMOTE, answer.failure)
        try:
            return unpack(reply_type, answer.payload)
        except InvalidData as error:
            return PeerFailure(PeerFailureKind.REMOTE, f"{address} {method}: {error}")

    def send_oneway(self, address: Address, method: str, request: Any) -> None:
        """Send a message without a response; it may be lost."""
        self.loop.spawn(self._send_oneway(address, method, request), f"send {method}")

    def close(self, address: Address) -> None:
        """Close the connection to a peer."""
        connection = self.connections.pop(address, None)
        if connection is not None:
            connection.stream.close_as_lost()

    async def _send_oneway(self, address: Address, method: str, request: Any) -> None:
        connection = await self._connection(address, timeout_s=1.0)
        if connection is None:
            return
        if connection.stream.buffered_bytes > MAX_UNSENT_BYTES:
            log.debug("message not sent: its receiver reads none", extra={"address": address})
            return
        connection.stream.send(frame(Envelope(call=0, method=method, payload=pack(request))))

    async def _connection(self, address: Address, timeout_s: float) -> _PeerConnection | None:
        connection = self.connections.get(address)
        if connection is not None and not connection.stream.closed:
            return connection
        pending = self.connecting.get(address)
        if pending is not None:
            return await pending
        pending = self.connecting[address] = Promise(self.loop)
        connection = None
        try:
            connection = _PeerConnection(self.loop, await self.connector.open(address, timeout_s))
            self.connections[address] = connection
        except ConnectFailed:
            connection = None
        finally:
            del self.connecting[address]
            pending.resolve(connection)
        return connection
