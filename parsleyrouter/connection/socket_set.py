"""The open sockets of a server, with constant-time lookup."""

from collections.abc import Iterator
from typing import Any

__all__ = ["SocketSet"]


class SocketSet:
    """Replacement for the list of clients that circuits searches on every read and write."""

    def __init__(self) -> None:
        self.sockets: dict[Any, None] = {}

    def append(self, sock: Any) -> None:
        """Add a socket."""
        self.sockets[sock] = None

    def remove(self, sock: Any) -> None:
        """Remove a socket; raise ``ValueError`` when it is not there, as a list does."""
        try:
            del self.sockets[sock]
        except KeyError:
            raise ValueError("no such socket") from None

    def __contains__(self, sock: object) -> bool:
        return sock in self.sockets

    def __iter__(self) -> Iterator[Any]:
        return iter(self.sockets)

    def __len__(self) -> int:
        return len(self.sockets)

    def __getitem__(self, places: slice) -> list[Any]:
        return list(self.sockets)[places]
