"""Frames of thrift messages between the system's own processes."""

import struct
from typing import Any, TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from parsleyrouter.decoding import InvalidData
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

__all__ = ["FRAME_HEADER", "MAX_FRAME_BYTES", "FrameBuffer", "frame", "pack", "unpack"]

FRAME_HEADER = struct.Struct("!I")
MAX_FRAME_BYTES = 16 * 1024 * 1024

S = TypeVar("S")


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


class FrameBuffer:
    """Split a byte stream into frames."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self.data = bytearray()

    @property
    def complete(self) -> bool:
        """Whether ``take`` would return a frame or raise."""
        size = self._size()
        return size is not None and (
            size > self.max_bytes or len(self.data) >= FRAME_HEADER.size + size
        )

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.data += data

    def take(self) -> bytes | None:
        """Remove and return the first complete frame; raise ``ValueError`` if it is oversized."""
        size = self._size()
        if size is None:
            return None
        if size > self.max_bytes:
            raise ValueError(f"frame of {size} bytes exceeds {self.max_bytes}")
        end = FRAME_HEADER.size + size
        if len(self.data) < end:
            return None
        taken = bytes(memoryview(self.data)[FRAME_HEADER.size : end])
        del self.data[:end]
        return taken

    def _size(self) -> int | None:
        if len(self.data) < FRAME_HEADER.size:
            return None
        size: int = FRAME_HEADER.unpack_from(self.data)[0]
        return size


def frame(envelope: Envelope) -> bytes:
    """Encode a message with its frame."""
    payload = pack(envelope)
    return FRAME_HEADER.pack(len(payload)) + payload
