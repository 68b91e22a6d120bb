"""Requests to endpoints: raw headers are kept, responses are matched to requests by id."""

from collections.abc import Sequence
from typing import Any

import h11

from parsleyrouter.connection.http import TransportFailure
from parsleyrouter.connection.http_client import HttpClient
from parsleyrouter.connection.http_exchange import PAUSE_ABOVE_BYTES, HttpExchange
from parsleyrouter.ids import Address, RequestId

__all__ = ["EndpointClient", "EndpointExchange", "RawHeaders"]

RawHeaders = Sequence[tuple[bytes, bytes]]


class EndpointExchange(HttpExchange):
    """One request in flight at an endpoint.

    An endpoint may send a response twice or late, where the next one is expected; a response with
    an id other than ``request`` is skipped.
    """

    id_header = ""
    request = RequestId("")
    request_head: h11.Request | None = None
    raw_headers: RawHeaders = ()
    reason = b""
    skipping = False
    skipped = 0

    def send_request(
        self, method: str, target: str, headers: RawHeaders, body: bytes, *, request: RequestId
    ) -> None:
        """Send the whole request; ``headers`` must include ``Host`` and no ``Content-Length``."""
        self.request = request
        lines = [*headers]
        if body or method not in ("GET", "HEAD", "DELETE"):
            lines.append((b"Content-Length", b"%d" % len(body)))
        self.request_head = h11.Request(method=method, target=target, headers=lines)
        data = self.parser.send(self.request_head) or b""
        if body:
            data += self.parser.send(h11.Data(data=body)) or b""
        data += self.parser.send(h11.EndOfMessage()) or b""
        self.stream.send(data)

    @property
    def has_request_id(self) -> bool:
        """Whether the response carries the id of this request."""
        return self.headers.get(self.id_header) == self.request

    def _handle_events(self) -> None:
        while True:
            event: Any = self.parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.Response):
                self._handle_head(event)
            elif isinstance(event, h11.Data):
                if not self.skipping:
                    self.pieces.append(bytes(event.data))
                    self.pending_bytes += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self.skipping and self._continue_after_skipped():
                    continue
                self.ended = True
                self._cancel_wait_timer()
                self.client.release(self)
                break
            elif isinstance(event, h11.ConnectionClosed):
                self.fail("connection closed early")
                return
        if self.pending_bytes > PAUSE_ABOVE_BYTES and not self.ended:
            self.stream.pause()
        self._notify()

    def _handle_head(self, event: h11.Response) -> None:
        headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        if headers.get(self.id_header, self.request) != self.request:
            self.skipping = True
            return
        self.headers = headers
        self.raw_headers = event.headers.raw_items()
        self.reason = bytes(event.reason)
        self.status = event.status_code

    def _continue_after_skipped(self) -> bool:
        """Continue with the response after a skipped one; return whether the connection allows it.

        A new parser replays the sent request, so that it expects a response again.
        """
        self.skipping = False
        self.skipped += 1
        trailing = self.parser.trailing_data[0]
        if self.parser.their_state is not h11.DONE or self.request_head is None:
            self.fail("the connection ended after the response to another request")
            return False
        self.parser = h11.Connection(h11.CLIENT)
        self.parser.send(self.request_head)
        length = dict(self.request_head.headers).get(b"content-length", b"0")
        if int(length):
            self.parser.send(h11.Data(data=bytes(int(length))))
        self.parser.send(h11.EndOfMessage())
        if trailing:
            self.parser.receive_data(trailing)
        return True


class EndpointClient(HttpClient):
    """Open exchanges with endpoints; ``id_header`` names the header that carries request ids."""

    exchange_type = EndpointExchange
    id_header = ""

    async def start(
        self, address: Address, new_connection: bool = False
    ) -> EndpointExchange | TransportFailure:
        """Return an exchange on an idle or a new connection; nothing is sent yet."""
        exchange = await self.connect(address, new_connection)
        if isinstance(exchange, EndpointExchange):
            exchange.id_header = self.id_header
        assert isinstance(exchange, EndpointExchange | TransportFailure)
        return exchange
