"""Steps for replies whose connection is reset while they are read."""

import socket
from typing import Any

from behave import given, then, when

from features.support.loop import run_on_loop
from parsleyrouter.connection.endpoint_client import EndpointClient, EndpointExchange
from parsleyrouter.connection.http import TransportFailure
from parsleyrouter.connection.stream import Connector
from parsleyrouter.ids import Address, RequestId
from parsleyrouter.process.runtime import Runtime

HALF = b"data: one\n\n"
REQUEST_BYTES = 8 * 1024 * 1024
"""More than the buffers of both sockets hold."""

READ_TIMEOUT_S = 2.0


class EarlyServer:
    """A server on a blocking socket: between its calls, the client's loop does not run."""

    def __init__(self, with_length: bool) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(1)
        host, port = self.listener.getsockname()
        self.address = Address(f"{host}:{port}")
        self.length = b"Content-Length: %d\r\n" % (2 * len(HALF)) if with_length else b""
        self.sock: Any = None

    def send(self, body: bytes, *, head: bool = True) -> None:
        if head:
            body = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n" + self.length + b"\r\n" + body
        self.sock.sendall(body)

    def close(self) -> None:
        """Close with unread data, which resets the connection."""
        self.sock.close()
        self.listener.close()


class EarlyPlay:
    """One request to the server; ``pieces`` and ``failure`` are what the client got."""

    def __init__(self, server: EarlyServer) -> None:
        self.server = server
        self.pieces: list[bytes] = []
        self.failure: TransportFailure | None = None
        self.exchange: Any = None
        self.client: Any = None

    async def begin(self, runtime: Runtime, request_bytes: int = REQUEST_BYTES) -> None:
        connector = Connector(runtime.loop).register(runtime)
        self.client = EndpointClient(runtime.loop, connector)
        self.client.id_header = "x-attempt-id"
        self.exchange = await self.client.start(self.server.address)
        assert isinstance(self.exchange, EndpointExchange)
        headers = [(b"Host", b"h"), (b"X-Attempt-Id", b"r1")]
        body = b"x" * request_bytes
        self.exchange.send_request("POST", "/", headers, body, request=RequestId("r1"))
        self.server.sock, _ = self.server.listener.accept()
        await runtime.loop.sleep(0.05)
        assert self.exchange.stream.outgoing or request_bytes < REQUEST_BYTES

    async def read(self) -> None:
        while True:
            piece = await self.exchange.read(READ_TIMEOUT_S)
            if isinstance(piece, TransportFailure):
                self.failure = piece
                return
            if piece is None:
                return
            self.pieces.append(piece)


@given("a server that answers before it has read a long request, {length} a length")
def step_server(context: Any, length: str) -> None:
    context.play = EarlyPlay(EarlyServer(length == "with"))


@when("it resets the connection after half of its reply, while {when_reset}")
def step_reset(context: Any, when_reset: str) -> None:
    play: EarlyPlay = context.play

    async def scenario(runtime: Runtime) -> None:
        waits = when_reset == "the client waits for data"
        # Without unread data the server would close in an orderly way.
        await play.begin(runtime, 200_000 if waits else REQUEST_BYTES)
        if when_reset == "the client does not read":
            play.exchange.stream.pause()
        play.server.send(HALF)
        if waits:
            assert await play.exchange.wait_headers(READ_TIMEOUT_S) is None
        play.server.close()
        await runtime.loop.sleep(0.05)
        play.exchange.stream.resume()
        await play.read()

    run_on_loop(scenario)


@then("the client gets that half and then a failure")
def step_half(context: Any) -> None:
    assert b"".join(context.play.pieces) == HALF, context.play.pieces
    assert context.play.failure is not None
    assert "reset" in context.play.failure.message, context.play.failure.message


@when("it ends its reply and keeps the other direction open")
def step_orderly(context: Any) -> None:
    async def scenario(runtime: Runtime) -> None:
        await context.play.begin(runtime)
        context.play.server.send(HALF + HALF)
        context.play.server.sock.shutdown(socket.SHUT_WR)
        await context.play.read()
        context.play.server.close()

    run_on_loop(scenario)


@when("it resets the connection after its whole reply, while the request is being sent")
def step_whole(context: Any) -> None:
    async def scenario(runtime: Runtime) -> None:
        await context.play.begin(runtime)
        context.play.server.send(HALF + HALF)
        context.play.server.close()
        await context.play.read()

    run_on_loop(scenario)


@then("the client gets a complete reply")
def step_complete(context: Any) -> None:
    assert context.play.failure is None, context.play.failure
    assert b"".join(context.play.pieces) == HALF + HALF


@then("the client gets a complete reply and does not use the connection again")
def step_complete_closed(context: Any) -> None:
    step_complete(context)
    assert context.play.exchange.stream.closed
    assert not any(context.play.client.idle.values())


@when("the connection of an ended exchange is discarded after another request has taken it")
def step_discard(context: Any) -> None:
    server = EarlyServer(with_length=True)
    play = EarlyPlay(server)

    async def scenario(runtime: Runtime) -> None:
        await play.begin(runtime, request_bytes=100)
        server.send(HALF + HALF)
        await play.read()
        other = await play.client.start(server.address)
        assert other.stream is play.exchange.stream
        play.client.discard(play.exchange)
        context.open = not other.stream.closed

    run_on_loop(scenario)


@then("that connection stays open")
def step_open(context: Any) -> None:
    assert context.open
