"""Send and receive UDP datagrams."""

import errno
import logging
import socket
from collections.abc import Callable
from typing import Any

from circuits import Component, handler

from parsleyrouter.connection.stream import split_address
from parsleyrouter.connection.turn_shares import TURN_SHARE_S
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Loop

__all__ = ["HEADER_BYTES", "DatagramSocket"]

MAX_PAYLOAD_BYTES = 65_507
HEADER_BYTES = 28
"""Bytes that IP and UDP add to each datagram."""

MAX_READS_PER_WAKEUP = 64
"""Datagrams that are read in a turn; others come first once they have taken ``TURN_SHARE_S``."""

log = logging.getLogger(__name__)

OnDatagram = Callable[[bytes], None]


class DatagramSocket(Component):
    """Own one UDP socket; ``on_datagram`` receives the payload of each datagram."""

    def __init__(self, loop: Loop, bind: Address, on_datagram: OnDatagram) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(split_address(bind))
        super().__init__(channel=f"datagram-{self.sock.fileno()}")
        self.loop = loop
        self.on_datagram = on_datagram
        self.sent_bytes = 0
        self.received_bytes = 0
        loop.poller.addReader(self, self.sock)

    def bound_address(self) -> Address:
        """Return the address of the socket."""
        host, port = self.sock.getsockname()
        return Address(f"{host}:{port}")

    def send(self, to: Address, data: bytes) -> None:
        """Send one datagram; it may be lost."""
        try:
            host, port = split_address(to)
            # A name would be looked up, which blocks the loop.
            socket.inet_pton(socket.AF_INET, host)
            self.sock.sendto(data, (host, port))
        except (OSError, ValueError) as error:
            log.debug("datagram not sent", extra={"to": to, "error": str(error)})
            return
        self.sent_bytes += len(data) + HEADER_BYTES

    def close(self) -> None:
        """Stop receiving."""
        self.loop.poller.discard(self.sock)
        self.sock.close()

    @handler("_read")
    def _on_readable(self, *_: Any) -> None:
        until_s = self.loop.now() + TURN_SHARE_S
        for _read in range(MAX_READS_PER_WAKEUP):
            try:
                data = self.sock.recv(MAX_PAYLOAD_BYTES)
            except OSError as error:
                if error.errno not in (errno.EAGAIN, errno.EWOULDBLOCK, errno.EBADF):
                    log.debug("datagram not received", extra={"error": str(error)})
                return
            self.received_bytes += len(data) + HEADER_BYTES
            self.on_datagram(data)
            if self.loop.now() >= until_s:
                return
