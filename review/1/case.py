"""A truncated answer looks complete when its runner crashes before it has read a long request."""

import asyncio
import random
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from fleet import HOST, TROUBLE, Fleet, play  # noqa: E402
from http1 import call  # noqa: E402
from runner import event, stream_body  # noqa: E402

BODY_BYTES = 4_100_000
"""Below the maxBodyBytes of the configuration, 4,194,304."""

RUNNERS = 6
"""One of them is down at a time, a share of 0.167."""

REQUESTS = 6
EVENTS = 10
GAP_S = 0.02


class EarlyRunner:
    """Answers before it has read a long request, and ends its answer with its connection.

    With ``crashes`` it crashes after half of the events; the host then resets the connection.
    """

    def __init__(self, fleet: Fleet, name: str, crashes: bool) -> None:
        self.fleet = fleet
        self.name = name
        self.crashes = crashes
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.address = ("", 0)

    def start(self) -> None:
        """Start the process, again at the same address after a crash, and register."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        self.listener.bind(self.address if self.address[1] else (self.fleet.host, 0))
        self.address = self.listener.getsockname()
        self.listener.listen(64)
        self.listener.setblocking(False)
        entry = {"service": "lm", "address": "%s:%d" % self.address, "zone": "z1", "version": "v1"}
        entry |= {"slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1}
        self.fleet.store.put(f"servers/{self.name}", entry | {"born": int(time.time() * 1000)})
        self.accepting = asyncio.ensure_future(self.accept(self.listener))

    async def accept(self, listener: socket.socket) -> None:
        while True:
            one, _ = await asyncio.get_running_loop().sock_accept(listener)
            asyncio.ensure_future(self.serve(one))

    async def serve(self, one: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        one.setblocking(False)
        data = b""
        while b"\r\n\r\n" not in data:
            piece = await loop.sock_recv(one, 4096)
            if not piece:
                one.close()
                return
            data += piece
        head, _, body = data.partition(b"\r\n\r\n")
        lines = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
        named = {name.decode().lower(): value.strip().decode() for name, _, value in lines}
        attempt, left = named["x-attempt-id"], int(named["content-length"]) - len(body)
        self.fleet.record.write(f"run of {attempt} at {self.name}")
        answer = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: sig-{self.name}\r\n"
            "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        )
        await loop.sock_sendall(one, answer.encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(GAP_S)
            await loop.sock_sendall(one, event(attempt, number))
            if self.crashes and number == EVENTS // 2:
                await self.crash(one, attempt, number)
                return
        while left > 0:
            left -= len(await loop.sock_recv(one, 65536)) or left
        one.close()

    async def crash(self, one: socket.socket, attempt: str, number: int) -> None:
        """End as a killed process does: the connection has unread bytes, so its host resets it."""
        assert self.listener is not None and self.accepting is not None
        one.close()
        self.accepting.cancel()
        await asyncio.sleep(0)
        self.listener.close()
        self.fleet.record.write(
            f"{self.name} crashes after event {number} of {EVENTS} of {attempt}"
        )
        await asyncio.sleep(1.0)
        self.start()


async def case(fleet: Fleet) -> list[str]:
    route = {"name": "chat", "prefix": "/chat/", "kind": "stream", "maxAttempts": 1}
    fleet.configure([route | {"service": "lm", "gapAimMs": 400}])
    for number in range(RUNNERS):
        EarlyRunner(fleet, f"i-{number + 1}", TROUBLE).start()
    await fleet.start(1)
    broken = []
    for _ in range(REQUESTS):
        attempt = f"{random.getrandbits(64):016x}"
        headers = [("Host", HOST), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", "5000")]
        reply = await call(fleet.fronts[0].callers, "POST", "/chat/x", headers, b"x" * BODY_BYTES)
        whole = reply.body == stream_body(attempt, EVENTS)
        text = (
            f"{attempt}: status {reply.status}, {'complete' if reply.complete else 'not complete'}, "
            f"{len(reply.body)} of {len(stream_body(attempt, EVENTS))} bytes"
        )
        fleet.record.write(f"answer to {text} {reply.error}")
        if reply.status == 200 and reply.complete and not whole:
            broken.append(f"a client got a part of an answer as a complete one: {text}")
        await asyncio.sleep(3.0)
    return broken


if __name__ == "__main__":
    play(case, str(Path(__file__).parent))
