"""RPC between the system's own processes: framed thrift over TCP."""

import logging
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from circuits import handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from parsleyrouter.connection.stream import ConnectFailed, Connector, Stream, send_some
from parsleyrouter.decoding import InvalidData
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Loop, Promise, TimedOut
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

__all__ = [
    "PeerClient",
    "PeerFailure",
    "PeerFailureKind",
    "PeerMethods",
    "PeerServer",
    "pack",
    "unpack",
]

FRAME_HEADER = struct.Struct("!I")
MAX_FRAME_BYTES = 16 * 1024 * 1024
READ_BYTES = 256 * 1024

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


def pack(message: Any) -> bytes:
    """Encode a thrift struct."""
    buffer = TMemoryBuffer()
    message.write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def unpack(struct_type: type[S], data: bytes) -> S:
    """Decode a thrift struct; raise ``InvalidData`` for whatever is wrong with it."""
    message = struct_type()
    try:
        message.read(TBinaryProtocolAccelerated(TMemoryBuffer(data)))  # type: ignore[attr-defined]
    except Exception as error:
        raise InvalidData(f"{type(error).__name__}: {error}") from error
    return message


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


class FrameBuffer:
    """Split a byte stream into frames."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames completed by more data; raise ``ValueError`` for an oversized one."""
        self.data += data
        frames = []
        while len(self.data) >= FRAME_HEADER.size:
            (size,) = FRAME_HEADER.unpack_from(self.data)
            if size > MAX_FRAME_BYTES:
                raise ValueError(f"frame of {size} bytes exceeds {MAX_FRAME_BYTES}")
            end = FRAME_HEADER.size + size
            if len(self.data) < end:
                break
            frames.append(bytes(self.data[FRAME_HEADER.size : end]))
            del self.data[:end]
        return frames


def _frame(envelope: Envelope) -> bytes:
    payload = pack(envelope)
    return FRAME_HEADER.pack(len(payload)) + payload


class PeerServer(TCPServer):
    """Serve the calls of peers; ``context`` is passed to each method."""

    def __init__(
        self, loop: Loop, bind: Address, methods: PeerMethods, context: Any, channel: str = "peer"
    ) -> None:
        super().__init__(bind, channel=channel, bufsize=READ_BYTES)
        self.loop = loop
        self.methods = methods
        self.context = context
        self.frames: dict[Any, FrameBuffer] = {}

    def bound_address(self) -> Address:
        """Return the address that the system chose."""
        return Address(f"{self.host}:{self.port}")

    @handler("read")
    def _on_data(self, sock: Any, data: bytes) -> None:
        buffer = self.frames.setdefault(sock, FrameBuffer())
        try:
            for frame in buffer.feed(data):
                envelope = unpack(Envelope, frame)
                self.loop.spawn(self._answer(sock, envelope), envelope.method)
        except ValueError as error:
            log.warning("bad frame from a peer", extra={"error": str(error)})
            self.fire(close(sock))

    @handler("disconnect")
    def _on_peer_gone(self, sock: Any) -> None:
        self.frames.pop(sock, None)

    @handler("ready", "connect", "error", "closed")
    def _on_feedback(self, *_: Any) -> None:
        """Ignore notifications of the library that need no action."""

    async def _answer(self, sock: Any, envelope: Envelope) -> None:
        reply = Envelope(call=envelope.call, method=envelope.method, payload=b"")
        known = self.methods.methods.get(envelope.method)
        if known is None:
            reply.failure = f"unknown method {envelope.method}: use one version on all VMs"
        else:
            request_type, function = known
            try:
                answer = await function(self.context, unpack(request_type, envelope.payload))
                reply.payload = b"" if answer is None else pack(answer)
            except Exception as error:
                log.exception("peer method failed", extra={"method": envelope.method})
                reply.failure = f"{envelope.method} failed: {error}"
        if envelope.call and sock in self._clients:
            self._send(sock, _frame(reply))

    def _send(self, sock: Any, data: bytes) -> None:
        if not self._buffers.get(sock):
            try:
                data = send_some(sock, data)
            except OSError:
                self.fire(close(sock))
                return
        if data:
            self.write(sock, data)


class _PeerConnection:
    """One connection to a peer and its pending calls."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.frames = FrameBuffer()
        self.waiting: dict[int, Promise[Envelope | PeerFailure]] = {}
        stream.on_data = self._on_data
        stream.on_close = self._on_close

    def _on_data(self, data: bytes) -> None:
        try:
            envelopes = [unpack(Envelope, frame) for frame in self.frames.feed(data)]
        except ValueError as error:
            fields = {"address": self.stream.address, "error": str(error)}
            log.warning("bad frame from a peer", extra=fields)
            self.stream.close_as_lost()
            return
        for envelope in envelopes:
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
        promise: Promise[Envelope | PeerFailure] = Promise(self.loop)
        connection.waiting[call] = promise
        connection.stream.send(_frame(Envelope(call=call, method=method, payload=pack(request))))
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
        if connection is not None:
            connection.stream.send(_frame(Envelope(call=0, method=method, payload=pack(request))))

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
            connection = _PeerConnection(await self.connector.open(address, timeout_s))
            self.connections[address] = connection
        except ConnectFailed:
            connection = None
        finally:
            del self.connecting[address]
            pending.resolve(connection)
        return connection
