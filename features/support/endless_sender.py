"""Endpoints that send without end, in a process of their own.

Usage: python -m features.support.endless_sender COUNT KIND...; prints the address of each endpoint.
Endpoint ``i`` sends kind ``i`` modulo their number as the answer to the first request of each
connection, as fast as the caller reads, until the connection is closed.
"""

import re
import socket
import subprocess
import sys
import threading
from pathlib import Path

from parsleyrouter.ids import Address

BLOB_BYTES = 64 * 1024
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s"
CHUNKED = STREAM + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = STREAM + b"\r\n"
LENGTH = STREAM + b"Content-Length: 999999999999\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n%sTransfer-Encoding: chunked\r\n\r\n"

KINDS: dict[str, tuple[bytes, bytes]] = {
    "lines that are no message": (CHUNKED, b"3\r\n{x\n\r\n"),
    "lines that are no object": (CHUNKED, b"3\r\n[]\n\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunks of two bytes": (CHUNKED, b"2\r\nxy\r\n"),
    "large chunks": (CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "chunk extensions": (CHUNKED, b"1;" + b"e" * 12_000 + b"\r\nx\r\n"),
    "one chunk extension": (CHUNKED + b"1;", b"e" * 4096),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n"),
    "empty events": (CHUNKED, b"2\r\n\n\n\r\n"),
    "events": (CHUNKED, b"1008\r\ndata: " + b"x" * 4096 + b"\n\n\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "interim responses with headers": (
        b"",
        b"HTTP/1.1 103 Early Hints\r\n" + b"a: b\r\n" * 2000 + b"\r\n",
    ),
    "responses to another": (
        b"",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n",
    ),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    "one header line": (b"HTTP/1.1 200 OK\r\na: ", b"x" * 4096),
    "a body with a length": (LENGTH, b"x" * 4096),
    "a body up to the end of the connection": (UNFRAMED, b"x" * 4096),
    "a refusal": (REFUSAL, b"1\r\nx\r\n"),
}
"""The start and the piece that follows again and again; ``%s`` is the proof of the endpoint."""


class EndlessSender:
    """Start the process and hold its addresses."""

    def __init__(self, count: int, *kinds: str) -> None:
        command = [sys.executable, "-m", "features.support.endless_sender", str(count), *kinds]
        root = Path(__file__).parents[2]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, cwd=root)
        assert self.process.stdout is not None
        lines = [self.process.stdout.readline().strip() for _ in range(count)]
        self.addresses = [Address(line) for line in lines]

    def close(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()


def serve(connection: socket.socket, kind: str) -> None:
    """Read the head of a request and send until the caller closes."""
    start, piece = KINDS[kind]
    blob = piece * (BLOB_BYTES // len(piece) + 1)
    head = b""
    try:
        while b"\r\n\r\n" not in head:
            data = connection.recv(BLOB_BYTES)
            if not data:
                return
            head += data
        found = re.search(rb"(?i)x-attempt-id: (\S+)", head)
        proof = b"X-Attempt-Id: %s\r\nX-Response-Signature: s\r\n" % (found[1] if found else b"")
        connection.sendall(start.replace(b"%s", proof))
        while True:
            connection.sendall(blob)
    except OSError:
        # The caller has closed the connection, which ends the answer.
        return
    finally:
        connection.close()


def accept(listener: socket.socket, kind: str) -> None:
    """Serve each connection in a thread."""
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, kind), daemon=True).start()


def main() -> None:
    """Serve until the process is killed."""
    count, kinds = int(sys.argv[1]), sys.argv[2:]
    for number in range(count):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        host, port = listener.getsockname()
        print(f"{host}:{port}", flush=True)
        kind = kinds[number % len(kinds)]
        threading.Thread(target=accept, args=(listener, kind), daemon=True).start()
    threading.Event().wait()


if __name__ == "__main__":
    main()
