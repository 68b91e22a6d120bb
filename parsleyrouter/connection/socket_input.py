"""Look at what a socket has received and nobody has read yet."""

import socket

__all__ = ["has_input"]


def has_input(sock: socket.socket) -> bool:
    """Return whether there are bytes to read, without reading them."""
    try:
        # The method of the base class: a TLS socket refuses to peek at its bytes on the wire.
        return bool(socket.socket.recv(sock, 1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False
