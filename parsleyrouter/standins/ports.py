"""Ports of this machine that test processes do not share."""

import errno
import os
import socket
from collections.abc import Iterator

from parsleyrouter.ids import Address

__all__ = ["BLOCK_PORTS", "free_address"]

HOST = "127.0.0.1"
FIRST_PORT = 10_240
BLOCK_PORTS = 200
PORT_BLOCKS = 112
"""The blocks end below the ports that the system gives to outgoing connections."""


class _OwnPorts:
    """Ports of the blocks that this process has claimed.

    A claim is a socket bound to the first port of a block, which lasts exactly as long as this
    process: the programs it starts do not inherit it.
    """

    def __init__(self) -> None:
        self.claims: list[socket.socket] = []
        self.unused: Iterator[int] = iter(())

    def take(self) -> int:
        """Return a port that is free for TCP and UDP; each is returned once."""
        while True:
            for port in self.unused:
                if _is_free(port):
                    return port
            self.unused = self._claim_block()

    def _claim_block(self) -> Iterator[int]:
        for number in range(PORT_BLOCKS):
            first = FIRST_PORT + (os.getpid() + number) % PORT_BLOCKS * BLOCK_PORTS
            claim = _bind(first, socket.SOCK_STREAM)
            if claim is not None:
                self.claims.append(claim)
                return iter(range(first + 1, first + BLOCK_PORTS))
        raise RuntimeError("all blocks of ports are claimed")


_own_ports = _OwnPorts()


def free_address() -> Address:
    """Return a loopback address that is free for TCP and UDP and that no other caller gets.

    It stays reserved while this process runs, so a program can be restarted at it. Its port is
    below the ephemeral range, so no outgoing connection can take it.
    """
    return Address(f"{HOST}:{_own_ports.take()}")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        probe = _bind(port, kind)
        if probe is None:
            return False
        probe.close()
    return True


def _bind(port: int, kind: socket.SocketKind) -> socket.socket | None:
    """Return a socket bound to the port, ``None`` if the port is in use."""
    sock = socket.socket(socket.AF_INET, kind)
    try:
        sock.bind((HOST, port))
    except OSError as error:
        sock.close()
        if error.errno != errno.EADDRINUSE:
            raise
        return None
    return sock
