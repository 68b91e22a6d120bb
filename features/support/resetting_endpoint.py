"""An endpoint that answers before it has read a request and then resets the connection."""

import re
import socket
import struct
import threading

from features.support.platform_endpoint import event
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Loop

__all__ = ["EVENTS", "ResettingEndpoint"]

EVENTS = 5
SENT_EVENTS = 2
RECEIVE_BUFFER_BYTES = 4096
WAIT_S = 5.0


class ResettingEndpoint:
    """Reset the first ``resets`` answers after two of their events; stream the others whole."""

    def __init__(self, loop: Loop, resets: int) -> None:
        self.loop = loop
        self.resets = resets
        self.requests = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        host, port = self.listener.getsockname()
        self.address = Address(f"{host}:{port}")
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no further connections."""
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                # Closed at the end of the test.
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.settimeout(WAIT_S)
        with sock:
            try:
                self._answer(sock)
            except OSError:
                # The node has closed the connection, or it sent nothing on it.
                return

    def _answer(self, sock: socket.socket) -> None:
        received = b""
        while b"\r\n\r\n" not in received:
            data = sock.recv(1024)
            if not data:
                return
            received += data
        head, _, rest = received.partition(b"\r\n\r\n")
        self.requests += 1
        reset = self.requests <= self.resets
        if not reset:
            left = int(_header(head, b"content-length") or 0) - len(rest)
            while left > 0 and (data := sock.recv(65_536)):
                left -= len(data)
        first = int(_header(head, b"last-event-id") or 0) + 1
        last = first + SENT_EVENTS if reset else EVENTS + 1
        answer = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n"
            b"Content-Type: text/event-stream\r\n\r\n" % _header(head, b"x-attempt-id")
        )
        answer += b"".join(event(number) for number in range(first, last))
        if not reset:
            sock.sendall(answer)
            return
        # While the loop runs this, the node reads nothing: answer and reset arrive together.
        done = threading.Event()
        self.loop.call_from_thread(lambda: _send_and_reset(sock, answer, done))
        done.wait(WAIT_S)


def _send_and_reset(sock: socket.socket, answer: bytes, done: threading.Event) -> None:
    try:
        sock.sendall(answer)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
    finally:
        done.set()


def _header(head: bytes, name: bytes) -> bytes:
    found = re.search(rb"(?i)\r\n%s: *([^\r]*)" % name, head)
    return found[1] if found else b""
