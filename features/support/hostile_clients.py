"""Crowds of clients that send what a process must withstand, to one address, from a thread."""

import selectors
import socket
import threading
import time
from dataclasses import dataclass, field

from features.support.hostile_kinds import Kind, Sent
from parsleyrouter.connection.stream import split_address
from parsleyrouter.ids import Address

__all__ = ["Crowd"]

UNREAD_BYTES = 4096
"""Receive buffer of a client that does not read."""

MAX_SECONDS = 4.0
QUIET_S = 0.4
"""Time without progress of any sender after which a crowd has done what it can."""


@dataclass
class _Client:
    sock: socket.socket
    sent: Sent
    number: int
    left: bytes = b""
    done: bool = False
    closed: bool = False
    next_s: float = 0.0


@dataclass
class Crowd:
    """Clients of one kind at one address; they stay connected until ``close``."""

    address: Address
    path: str
    kind: Kind
    sources: int = 1
    """Addresses from which the clients come."""
    clients: list[_Client] = field(default_factory=list)
    stopped: bool = False
    settled: threading.Event = field(default_factory=threading.Event)
    sent_bytes: int = 0

    def start(self) -> "Crowd":
        """Connect and send in a thread."""
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        return self

    def close(self) -> None:
        """Close all connections."""
        self.stopped = True
        self.thread.join()

    def counts(self) -> str:
        """Describe what the clients did."""
        done = sum(one.done for one in self.clients)
        closed = sum(one.closed for one in self.clients)
        return f"{len(self.clients)} clients, {done} sent all, {closed} closed, {self.sent_bytes} B"

    def _run(self) -> None:
        selector = selectors.DefaultSelector()
        try:
            for number in range(self.kind.clients):
                sock = socket.socket()
                sock.setblocking(False)
                sent = self.kind.sent(self.path, number)
                if not sent.reads:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
                if self.sources > 1:
                    sock.bind((f"127.0.1.{number % self.sources + 1}", 0))
                sock.connect_ex(split_address(self.address))
                one = _Client(sock, sent, number, sent.start)
                self.clients.append(one)
                selector.register(sock, selectors.EVENT_WRITE, one)
            self._send_all(selector)
        finally:
            self.settled.set()
            for one in self.clients:
                one.sock.close()
            selector.close()

    def _send_all(self, selector: selectors.BaseSelector) -> None:
        begun_s = progress_s = time.monotonic()
        while not self.stopped:
            now = time.monotonic()
            before = self.sent_bytes
            for key, events in selector.select(0.02):
                self._serve(selector, key.data, events, now)
            self._wake(selector, now)
            if self.sent_bytes != before:
                progress_s = now
            if now - progress_s > QUIET_S or now - begun_s > MAX_SECONDS:
                self.settled.set()

    def _serve(
        self, selector: selectors.BaseSelector, one: _Client, events: int, now: float
    ) -> None:
        try:
            if events & selectors.EVENT_READ and not one.sock.recv(65_536):
                raise OSError("closed")
            if events & selectors.EVENT_WRITE:
                self._send_piece(selector, one, now)
        except BlockingIOError:
            return
        except OSError:
            # To be refused and disconnected is an allowed end of a hostile client.
            one.closed = True
            selector.unregister(one.sock)

    def _send_piece(self, selector: selectors.BaseSelector, one: _Client, now: float) -> None:
        sent = one.sent
        if not one.left and sent.total > 0:
            one.left = sent.block[: sent.total]
            sent.total -= len(one.left)
        if one.left:
            count = one.sock.send(memoryview(one.left)[: sent.piece_bytes])
            one.left = one.left[count:]
            self.sent_bytes += count
        one.done = not one.left and sent.total <= 0
        one.next_s = now + sent.gap_s
        if one.done or sent.gap_s:
            self._watch(selector, one, writes=False)

    def _wake(self, selector: selectors.BaseSelector, now: float) -> None:
        for one in self.clients:
            if one.sent.gap_s and not one.done and not one.closed and one.next_s <= now:
                self._watch(selector, one, writes=True)

    def _watch(self, selector: selectors.BaseSelector, one: _Client, *, writes: bool) -> None:
        events = selectors.EVENT_WRITE if writes else 0
        # Without reading its answers, a client also does not see that it is disconnected.
        events |= selectors.EVENT_READ if one.sent.reads else 0
        if one.sock in selector.get_map():
            selector.unregister(one.sock)
        if events:
            selector.register(one.sock, events, one)
