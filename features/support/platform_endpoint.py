"""Stand-in for an endpoint of the platform, following its published protocol."""

import re
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from circuits import Component, handler

from parsleyrouter.connection.forward_server import CallerExchange, ForwardServer
from parsleyrouter.ids import Address
from parsleyrouter.process.runtime import Runtime

STREAM = (b"Content-Type", b"text/event-stream")


@dataclass
class Arrival:
    """One request as the endpoint received it."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    at_s: float
    ended_s: float = 0.0
    cut: bool = False

    def header(self, name: str) -> str | None:
        found = [value for key, value in self.headers if key.lower() == name.lower()]
        return found[-1] if found else None


Behaviour = Callable[["EndpointStandIn", CallerExchange, Arrival], Any]


@dataclass
class EndpointStandIn:
    """Runs each of ``behaviours`` in turn, one per request, then ``default_behaviour``."""

    runtime: Runtime
    name: str
    events: int = 5
    gap_s: float = 0.002
    behaviours: list[Behaviour] = field(default_factory=list)
    default_behaviour: Behaviour | None = None
    arrivals: list[Arrival] = field(default_factory=list)
    server: Any = None
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    """Further headers of all answers."""

    def start(self) -> "EndpointStandIn":
        bind = Address("127.0.0.1:0")
        server = ForwardServer(self.runtime.loop, bind, self.answer)
        self.server = server.register(self.runtime)
        return self

    @property
    def address(self) -> Address:
        return self.server.bound_address()

    def proof(self, arrival: Arrival) -> list[tuple[bytes, bytes]]:
        name = (arrival.header("X-Attempt-Id") or "").encode()
        proof = b"sig-" + self.name.encode()
        return [
            (b"X-Attempt-Id", name),
            (b"X-Response-Signature", proof),
            (b"X-Server-Load", self.load()),
            *self.headers,
        ]

    def load(self) -> bytes:
        """Return the requests that run and wait, and the slots."""
        open_count = sum(not one.ended_s for one in self.arrivals)
        return b"%d,%d,8" % (min(8, open_count), max(0, open_count - 8))

    async def answer(self, exchange: CallerExchange) -> None:
        head = exchange.head
        arrival = Arrival(
            method=head.method,
            target=head.path + (f"?{head.query}" if head.query else ""),
            headers=[(name.decode(), value.decode("latin-1")) for name, value in head.raw],
            body=exchange.body,
            at_s=self.runtime.loop.now(),
        )
        self.arrivals.append(arrival)

        def gone() -> None:
            arrival.cut = True
            arrival.ended_s = self.runtime.loop.now()

        exchange.on_disconnect = gone
        expected = arrival.header("X-Expect-Instance")
        if expected is not None and expected != self.name:
            self.refuse_misdirected(exchange, arrival)
            arrival.ended_s = self.runtime.loop.now()
            return
        behaviour = self.behaviours.pop(0) if self.behaviours else self.default_behaviour or stream
        await behaviour(self, exchange, arrival)
        arrival.cut = arrival.cut or exchange.disconnected
        arrival.ended_s = arrival.ended_s or self.runtime.loop.now()

    def refuse_misdirected(self, exchange: CallerExchange, arrival: Arrival) -> None:
        """Refuse a request that is meant for another endpoint."""
        exchange.reply(421, [(b"X-Instance-Id", self.name.encode()), *self.headers], b"")


def event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


async def stream(
    endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival, last: int | None = None
) -> None:
    """Stream events after the last one that the caller has seen."""
    start = int(arrival.header("Last-Event-Id") or 0)
    exchange.begin(200, b"", [*endpoint.proof(arrival), STREAM], None)
    for number in range(start + 1, (last or endpoint.events) + 1):
        exchange.send(event(number))
        await endpoint.runtime.loop.sleep(endpoint.gap_s)
        if exchange.disconnected:
            return
    if last is None:
        exchange.finish()


def stream_until(last: int) -> Behaviour:
    """Abort in the middle of the event after ``last``."""

    async def behave(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
        await stream(endpoint, exchange, arrival, last)
        exchange.send(event(last + 1)[:7])
        exchange.abort()

    return behave


async def whole(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
    """Respond with a small body of known length."""
    exchange.reply(200, [*endpoint.proof(arrival), (b"X-Own", b"kept")], b"the body")


async def shed(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
    """Refuse without executing the request."""
    name = (arrival.header("X-Attempt-Id") or "").encode()
    identified = [(b"X-Attempt-Id", name), (b"X-Not-Executed", b"1")]
    exchange.reply(503, [*identified, *endpoint.headers], b"")


async def silent(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
    """Never respond."""
    await endpoint.runtime.loop.sleep(20.0)


async def drop(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
    """Close without a response."""
    exchange.abort()


def status(code: int) -> Behaviour:
    """Respond with a status that the endpoint itself decided on."""

    async def behave(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
        exchange.reply(code, endpoint.proof(arrival), b"own failure")

    return behave


def raw(make: Callable[[EndpointStandIn, Arrival], bytes], *, close: bool = True) -> Behaviour:
    """Respond with raw bytes."""

    async def behave(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
        exchange.server.send(exchange.sock, make(endpoint, arrival))
        if close:
            exchange.abort()
        else:
            exchange.headers_sent = True
            exchange.chunked = False
            exchange.finish()

    return behave


class RawEndpoint(Component):
    """Answers each connection's first bytes at once and reads the rest slowly, if at all."""

    def __init__(self, runtime: Runtime) -> None:
        super().__init__(channel="raw-endpoint")
        self.runtime = runtime
        self.received: list[bytes] = []
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen()
        self.sock.setblocking(False)
        self.numbers: dict[Any, int] = {}
        self.register(runtime)
        runtime.loop.poller.addReader(self, self.sock)

    @property
    def address(self) -> Address:
        host, port = self.sock.getsockname()
        return Address(f"{host}:{port}")

    @handler("_read")
    def _on_readable(self, sock: Any) -> None:
        if sock is self.sock:
            connection, _ = sock.accept()
            connection.setblocking(False)
            self.runtime.loop.poller.addReader(self, connection)
            return
        data = sock.recv(2048)
        if not data:
            self.runtime.loop.poller.discard(sock)
            sock.close()
        elif sock not in self.numbers:
            self.numbers[sock] = len(self.received)
            self.received.append(data)
            found = re.search(rb"(?i)x-attempt-id: (\S+)", data)
            lines = [b"HTTP/1.1 200 OK", b"X-Response-Signature: s", b"Content-Length: 2"]
            lines.append(b"X-Attempt-Id: " + (found[1] if found else b""))
            sock.send(b"\r\n".join(lines) + b"\r\n\r\nok")
            self.runtime.loop.poller.removeReader(sock)
        else:
            self.received[self.numbers[sock]] += data
