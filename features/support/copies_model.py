"""A model of endpoints that write responses again at any time, below the client's connections."""

import re
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from parsleyrouter.connection.endpoint_client import EndpointClient, EndpointExchange
from parsleyrouter.connection.turn_shares import TurnShares
from parsleyrouter.ids import Address, RequestId

ADDRESS = Address("127.0.0.1:1")
ID_HEADER = "x-attempt-id"
IDS = ("a", "A", "a b", "b", "")


def drive(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that does not have to wait and return its value."""
    try:
        coroutine.send(None)
    except StopIteration as ended:
        return ended.value
    raise AssertionError("the coroutine waits")


class StillLoop:
    """A loop whose time stands still, so that nothing is put off to a later turn."""

    def now(self) -> float:
        """Return the time."""
        return 0.0


@dataclass
class Sending:
    """One request on one connection."""

    number: int
    request: RequestId
    exchange: EndpointExchange
    stream: "ModelStream"


@dataclass
class ModelStream:
    """One connection; ``unread`` is what the endpoint has written and the client not received."""

    address: Address = ADDRESS
    outgoing: tuple[bytes, ...] = ()
    broken: bool = False
    closed: bool = False
    ended_orderly: bool = True
    paused: bool = False
    bytes_sent: int = 0
    on_data: Callable[[bytes], None] = lambda data: None
    on_close: Callable[[], None] = lambda: None
    carried: list[str] = field(default_factory=list)
    owed: list[tuple[int, str]] = field(default_factory=list)
    """Number and id of the requests that the endpoint has not answered."""
    written: list[tuple[int, str, int]] = field(default_factory=list)
    unread: bytearray = field(default_factory=bytearray)
    ends: bool = False

    def send(self, data: bytes) -> None:
        """Take a request."""
        self.bytes_sent += len(data)
        found = re.search(rb"x-attempt-id: ?([^\r]*)\r\nx-sending: (\d+)", data)
        assert found, data
        name, number = found[1].decode(), int(found[2])
        self.carried.append(name)
        self.owed.append((number, name))

    def pause(self) -> None:
        """Deliver nothing until ``resume``."""
        self.paused = True

    def resume(self) -> None:
        """Deliver again."""
        self.paused = False

    def close(self) -> None:
        """Close at once."""
        self.closed = True


FORMS = (
    (503, b"x-not-executed: 1\r\ncontent-length: 0\r\n\r\n"),
    (503, b"x-not-executed: 1\r\ncontent-length: 2\r\n\r\nno"),
    (429, b"x-not-executed: 1\r\ncontent-length: 0\r\n\r\n"),
    (421, b"content-length: 0\r\n\r\n"),
    (408, b"content-length: 0\r\n\r\n"),
    (500, b"content-length: 5\r\n\r\nerror"),
    (200, b"content-length: 2\r\n\r\nok"),
    (200, b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    (200, b"connection: close\r\ncontent-length: 2\r\n\r\nok"),
    (204, b"\r\n"),
)


def response(number: int, name: str | None, form: int) -> bytes:
    """Return a response to a sending, as an endpoint writes it, without an id if that is none."""
    status, rest = FORMS[form % len(FORMS)]
    line = f"x-attempt-id: {name}\r\n" if name is not None else ""
    return f"HTTP/1.1 {status} Any\r\n{line}x-sending: {number}\r\n".encode() + rest


class CopiesModel:
    """Sendings, responses and copies in any order; ``check`` tells whether a copy is believed."""

    def __init__(self) -> None:
        loop: Any = StillLoop()
        connector: Any = self
        self.shares = TurnShares(loop)
        self.client = EndpointClient(loop, connector)
        self.client.id_header = ID_HEADER
        self.streams: list[ModelStream] = []
        self.sendings: list[Sending] = []

    async def open(self, address: Address, timeout_s: float) -> ModelStream:
        """Open a connection at once."""
        self.streams.append(ModelStream())
        return self.streams[-1]

    def play(self, steps: list[tuple[str, int, int]]) -> None:
        """Play steps; each names an action and two numbers that it may use."""
        for action, first, second in steps:
            getattr(self, action)(first, second)
            self.check()

    def send(self, first: int, second: int) -> None:
        """Send a request under an id that may have been used before."""
        name, number = RequestId(IDS[first % len(IDS)]), len(self.sendings)
        exchange = drive(self.client.start(ADDRESS, request=name))
        headers = [(b"host", b"h"), (b"x-attempt-id", name.encode())]
        headers.append((b"x-sending", b"%d" % number))
        exchange.send_request("GET", "/", headers, b"", request=name)
        self.sendings.append(Sending(number, name, exchange, exchange.stream))

    def respond(self, first: int, second: int) -> None:
        """Write the response that an endpoint owes."""
        found = [one for one in self.streams if one.owed and not one.ends]
        if found:
            stream = found[first % len(found)]
            number, name = stream.owed.pop(0)
            stream.written.append((number, name, second))
            stream.unread += response(number, name, second)

    def copy(self, first: int, second: int) -> None:
        """Write an earlier response of a connection once more, perhaps without its id."""
        found = [one for one in self.streams if one.written and not one.ends]
        if found:
            stream = found[first % len(found)]
            number, name, form = stream.written[second // 4 % len(stream.written)]
            stream.unread += response(number, None if second % 4 == 0 else name, form)

    def deliver(self, first: int, second: int) -> None:
        """Pass on a piece of what a connection holds, or all of it, and then its end."""
        found = [one for one in self.streams if not one.closed and (one.unread or one.ends)]
        if found:
            stream = found[first % len(found)]
            size = len(stream.unread) if second % 3 else second % 40
            data = bytes(stream.unread[:size])
            del stream.unread[:size]
            if data:
                stream.on_data(data)
            if stream.ends and not stream.unread and not stream.closed:
                stream.close()
                stream.on_close()

    def end(self, first: int, second: int) -> None:
        """Let the endpoint close a connection."""
        if self.streams:
            self.streams[first % len(self.streams)].ends = True

    def give_up(self, first: int, second: int) -> None:
        """End a sending because its caller has gone."""
        if self.sendings:
            self.sendings[first % len(self.sendings)].exchange.cancel()

    def check(self) -> None:
        """Raise unless all that is believed is the response to that sending."""
        for one in self.sendings:
            exchange = one.exchange
            if exchange.status and exchange.answers_request:
                assert exchange.headers["x-sending"] == str(one.number), (one, exchange.headers)
        for stream in self.streams:
            names = [name for name in stream.carried if name]
            assert len(names) == len(set(names)), stream.carried

    @property
    def believed(self) -> int:
        """Return the number of sendings whose response is believed."""
        found = [one.exchange for one in self.sendings if one.exchange.status]
        return sum(exchange.answers_request for exchange in found)
