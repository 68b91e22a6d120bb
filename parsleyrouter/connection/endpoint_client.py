"""Requests to endpoints: raw headers are kept, responses are matched to requests by id."""

import logging
import math
from collections.abc import Sequence

import h11
from prometheus_client import CollectorRegistry

from parsleyrouter.connection.connection_history import ConnectionHistory
from parsleyrouter.connection.endpoint_metrics import EndpointMetrics
from parsleyrouter.connection.http import TransportFailure
from parsleyrouter.connection.http_client import NO_ID, HttpClient
from parsleyrouter.connection.http_exchange import HttpExchange, new_parser
from parsleyrouter.connection.stream import CONNECT_TIMEOUT_S, Connector, Stream
from parsleyrouter.ids import Address, EndpointId, RequestId
from parsleyrouter.process.loop import Loop

__all__ = ["EndpointClient", "EndpointExchange", "RawHeaders"]

RawHeaders = Sequence[tuple[bytes, bytes]]

LOG_INTERVAL_S = 60.0
"""Time after a log line about an endpoint in which no other one of its kind follows."""

REFUSING_STATUSES = frozenset({408, 421, 429, 503})

log = logging.getLogger(__name__)


class EndpointExchange(HttpExchange):
    """One request in flight at an endpoint.

    An endpoint may send a response twice or late, where the next one is expected; a response with
    an id other than ``request`` is skipped, and no connection carries an id twice.
    """

    id_header = ""
    request = RequestId("")
    request_head: h11.Request | None = None
    raw_headers: RawHeaders = ()
    response_ids: frozenset[str] = frozenset()
    """Ids that the response carries; more than one prove nothing."""
    reason = b""
    skipping = False
    skipped = 0

    def __init__(self, client: HttpClient, stream: Stream) -> None:
        super().__init__(client, stream)
        self.history = ConnectionHistory(client.loop.now())

    def take_over(self, old: HttpExchange) -> None:
        """Go on with the connection of an earlier exchange and with its history."""
        super().take_over(old)
        assert isinstance(old, EndpointExchange)
        self.history = old.history

    def send_request(
        self, method: str, target: str, headers: RawHeaders, body: bytes, *, request: RequestId
    ) -> None:
        """Send the whole request; ``headers`` must include ``Host`` and no ``Content-Length``."""
        self.request = request
        self.history.note_request(request)
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
    def endpoint_client(self) -> "EndpointClient":
        """Return the client, which counts and logs what its endpoints send."""
        assert isinstance(self.client, EndpointClient)
        return self.client

    @property
    def has_request_id(self) -> bool:
        """Whether the response carries the id of this request, so that it is no other's."""
        return bool(self.request) and self.response_ids == {self.request}

    @property
    def answers_request(self) -> bool:
        """Whether the response is provably that to this request.

        It has the id of the request, which the connection carries once, or it is the first one on
        the connection.
        """
        return self.has_request_id or not self.reused

    def fail_invalid(self, message: str) -> None:
        """End the exchange and log that the endpoint has sent bytes that are no answer."""
        if not self.ended and self.failure is None:
            self.endpoint_client.log_invalid(self, message)
        super().fail_invalid(message)

    def _handle_head(self, event: h11.Response) -> None:
        headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        id_name = self.id_header.encode()
        ids = frozenset(value.decode("latin-1") for name, value in event.headers if name == id_name)
        if ids and self.request not in ids:
            self.skipping = True
            response_to = RequestId(headers[self.id_header])
            self.endpoint_client.note_skipped(self, response_to, event.status_code)
            self._count_early_head(event)
            return
        self.headers, self.response_ids = headers, ids
        self.raw_headers = event.headers.raw_items()
        self.reason = bytes(event.reason)
        self.status = event.status_code

    def _handle_body(self, data: bytes) -> None:
        if not self.skipping:
            super()._handle_body(data)

    def _handle_end(self) -> bool:
        return self._continue_after_skipped() if self.skipping else super()._handle_end()

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
        self.parser = new_parser()
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

    def __init__(
        self,
        loop: Loop,
        connector: Connector,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        metrics: EndpointMetrics | None = None,
    ) -> None:
        super().__init__(loop, connector, connect_timeout_s)
        self.metrics = metrics or EndpointMetrics(CollectorRegistry())
        self.logged_s: dict[Address, float] = {}

    def may_carry(self, idle: HttpExchange, request: RequestId) -> bool:
        """Return whether a connection may carry a request; none carries an id twice."""
        return isinstance(idle, EndpointExchange) and idle.history.may_carry(request)

    async def start(
        self, address: Address, new_connection: bool = False, request: RequestId = NO_ID
    ) -> EndpointExchange | TransportFailure:
        """Return an exchange on an idle or a new connection; nothing is sent yet."""
        exchange = await self.connect(address, new_connection, request)
        if isinstance(exchange, EndpointExchange):
            exchange.id_header = self.id_header
        assert isinstance(exchange, EndpointExchange | TransportFailure)
        return exchange

    def note_skipped(self, exchange: EndpointExchange, name: RequestId, status: int) -> None:
        """Count and log a response with the id of another request."""
        kind = _kind_of(status)
        self.metrics.skipped.labels(kind).inc()
        fields = exchange.history.log_fields(self.loop.now())
        fields |= {"request": exchange.request, "address": exchange.stream.address}
        fields |= {"status": status, "kind": kind, "response_to": name}
        log.info("response skipped", extra=fields)
        exchange.history.skipped.append(name)

    def note_refusal(
        self, exchange: EndpointExchange, endpoint: EndpointId, *, proven: bool
    ) -> None:
        """Count and log a refusal, and what its connection had carried before."""
        self.metrics.refusals.labels(str(proven).lower()).inc()
        fields = exchange.history.log_fields(self.loop.now())
        fields |= {"request": exchange.request, "address": exchange.stream.address}
        fields |= {"endpoint": endpoint, "status": exchange.status, "proven": proven}
        level = logging.INFO if proven else logging.WARNING
        log.log(level, "refused by endpoint", extra=fields)
        exchange.history.refused.append(exchange.request)

    def log_invalid(self, exchange: EndpointExchange, reason: str) -> None:
        """Log that an endpoint sent bytes that are no answer, once in a while."""
        now, address = self.loop.now(), exchange.stream.address
        if now < self.logged_s.get(address, -math.inf) + LOG_INTERVAL_S:
            return
        recent = {one: at for one, at in self.logged_s.items() if now < at + LOG_INTERVAL_S}
        self.logged_s = recent | {address: now}
        fields = {"address": address, "request": exchange.request, "reason": reason}
        log.warning("endpoint sends no valid answer", extra=fields)


def _kind_of(status: int) -> str:
    """Return the kind of a response as the metric of skipped ones names it."""
    if status in REFUSING_STATUSES:
        return "refusal"
    return "answer" if status < 400 else "error"
