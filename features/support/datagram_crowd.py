"""Crowds of strangers that send datagrams to the ports between nodes, from a thread."""

import itertools
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from features.support.hostile_datagrams import Datagrams
from parsleyrouter.connection.stream import split_address
from parsleyrouter.ids import Address

__all__ = ["DatagramCrowd"]

SECONDS = 6.0
SENDERS = 20
"""Addresses and sockets from which a crowd sends."""

SMALL_BYTES = 4000
SMALL_PAUSE_S, LARGE_PAUSE_S = 0.001, 0.01
"""Pauses after small and large datagrams: what does not fit into the receiver's buffer is lost."""

MAX_DATAGRAM_BYTES = 65_000


@dataclass
class DatagramCrowd:
    """Strangers at several addresses that send datagrams of one kind to one port."""

    address: Address
    datagrams: Datagrams
    sent: int = 0
    sent_bytes: int = 0
    settled: threading.Event = field(default_factory=threading.Event)
    stopped: bool = False

    def start(self) -> "DatagramCrowd":
        """Send in a thread."""
        assert len(self.datagrams(1)) <= MAX_DATAGRAM_BYTES, len(self.datagrams(1))
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        return self

    def close(self) -> None:
        """Stop sending."""
        self.stopped = True
        self.thread.join()

    def counts(self) -> str:
        """Describe what was sent."""
        return f"{self.sent} datagrams, {self.sent_bytes} B"

    def _run(self) -> None:
        sockets = []
        try:
            for number in range(SENDERS):
                sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sender.bind((f"127.0.0.{number + 2}", 0))
                sockets.append(sender)
            self._send_all(itertools.cycle(sockets))
        finally:
            self.settled.set()
            for sender in sockets:
                sender.close()

    def _send_all(self, senders: Iterator[socket.socket]) -> None:
        to, until_s = split_address(self.address), time.monotonic() + SECONDS
        while not self.stopped:
            if time.monotonic() > until_s:
                self.settled.set()
                time.sleep(0.02)
                continue
            data = self.datagrams(self.sent)
            next(senders).sendto(data, to)
            self.sent += 1
            self.sent_bytes += len(data)
            time.sleep(SMALL_PAUSE_S if len(data) <= SMALL_BYTES else LARGE_PAUSE_S)
