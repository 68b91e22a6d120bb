"""Limits on what the peers of a process may make it hold, and what one connection holds."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from parsleyrouter.connection.crowding import Holder, first_to_yield
from parsleyrouter.connection.frames import MAX_FRAME_BYTES, FrameBuffer

__all__ = ["MAX_HELD_BYTES", "MAX_OPEN_CALLS", "MAX_UNSENT_BYTES", "PeerConnection", "PeerLimits"]

MAX_OPEN_CALLS = 1024
"""Calls of one connection that are answered at the same time; others are refused."""

MAX_OPEN_CALLS_IN_SUM = 16 * MAX_OPEN_CALLS
"""The same of all connections, closed ones too, whose calls go on; twice that with the calls of
connections that have few."""

MAX_UNSENT_BYTES = 4 * MAX_FRAME_BYTES
"""Unsent answers on one connection; above a quarter of it, no further call is read."""

MAX_HELD_BYTES = 4 * MAX_FRAME_BYTES
"""Incomplete frames of all connections; above it, only that begun first is read on."""

OPEN_CALL_BYTES = 4096
"""Memory of a call that is being answered, beside its frame."""


FEW_OPEN_CALLS = 16


@dataclass(frozen=True)
class PeerLimits:
    """Limits of one server for peers."""

    frame_bytes: int = MAX_FRAME_BYTES
    held_bytes: int = MAX_HELD_BYTES
    open_call_bytes: int = 32 * MAX_FRAME_BYTES
    """Calls that are being answered, of all connections; connections with few may use all of it,
    the others half."""
    unsent_bytes: int = MAX_UNSENT_BYTES
    unsent_bytes_in_sum: int = 16 * MAX_UNSENT_BYTES
    """Unsent answers of all connections above which no further call is read."""
    connections: int = 4000

    def allows_call(self, peer: "PeerConnection", open_calls: int, open_bytes: int) -> bool:
        """Return whether a call may begin; ``open_bytes`` includes it."""
        room = 2 if peer.open_calls < FEW_OPEN_CALLS else 1
        fits = open_bytes <= self.open_call_bytes * room // 2
        few = open_calls < MAX_OPEN_CALLS_IN_SUM * room
        return fits and few and peer.open_calls < MAX_OPEN_CALLS


class PeerConnection:
    """One connection of a peer."""

    def __init__(self, now: float, remote: str, limits: PeerLimits) -> None:
        self.remote = remote
        self.frames = FrameBuffer(limits.frame_bytes)
        self.begun_s = now
        """When the frame that is incomplete began to arrive."""
        self.open_calls = 0
        self.refused_calls = 0
        self.unsent_bytes = 0
        self.unsent_since_s = now

    def is_overdue(self, now: float, limit_s: float, *, waits: bool) -> bool:
        """Return whether the peer took longer to send a frame or to read some of its answers."""
        if self.unsent_bytes:
            return now - self.unsent_since_s > limit_s
        return bool(self.frames.data) and not waits and now - self.begun_s > limit_s


def first_peer_to_yield(
    peers: Mapping[Any, PeerConnection], new: Any, unread: Mapping[Any, Any]
) -> Holder | None:
    """Choose a connection without calls or unread answers that yields to a new one."""
    holders = [
        Holder(sock, peer.remote, (peer.begun_s,))
        for sock, peer in peers.items()
        if sock is not new and not peer.open_calls and not unread.get(sock)
    ]
    totals = Counter(peer.remote for peer in peers.values())
    return first_to_yield(holders, totals, peers[new].remote)
