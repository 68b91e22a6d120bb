"""One attempt of a forwarded request at one endpoint."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from parsleyrouter.connection.endpoint_client import EndpointClient, EndpointExchange, RawHeaders
from parsleyrouter.connection.http import Sent, TransportFailure
from parsleyrouter.connection.sse import EventSplitter, is_event_stream, last_event_id
from parsleyrouter.ids import EndpointId
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.loop import Loop
from parsleyrouter.request.attempts import AttemptFailure, FailurePoint
from parsleyrouter.request.forwarded_request import ForwardedRequest, HeaderNames, end_to_end
from parsleyrouter.version.route_table import RouteKind

__all__ = ["AnswerSink", "ForwardContext", "ForwardAttempt", "ResponseTimeouts"]

MISDIRECTED_STATUS = 421
WHOLE_ANSWER_BYTES = 256 * 1024
"""Largest answer of a safe request that is held until it is whole, so that it can be retried."""

BATCH_READ_S = 0.1
"""Pause between reads of a batch item's events, so that a few come together: nobody waits for
them, and an engine makes one in some tens of milliseconds."""

REFUSAL_READ_S = 0.2
"""How long the body of an endpoint's refusal may take before its connection is closed."""


class AnswerSink(Protocol):
    """Takes an answer as it comes."""

    def begin(self, status: int, reason: bytes, headers: RawHeaders, length: int | None) -> None:
        """Take status and headers."""

    def send(self, data: bytes) -> None:
        """Take a piece of the body."""

    async def drain(self) -> None:
        """Wait until more may be sent."""


@dataclass(frozen=True)
class ResponseTimeouts:
    """How long an endpoint may send nothing, in seconds."""

    first_byte_s: float
    gap_s: float


@dataclass(frozen=True)
class ForwardContext:
    """What attempts share: connections, loads and the names of headers."""

    loop: Loop
    client: EndpointClient
    loads: EndpointLoads
    names: HeaderNames


@dataclass
class ForwardAttempt:
    """Send a request once and pass the answer on; the end says what provably happened."""

    context: ForwardContext
    request: ForwardedRequest
    entry: RegisteredEndpoint
    sink: AnswerSink
    patience: ResponseTimeouts
    headers_sent: bool = False
    """An earlier attempt has shown its status and headers."""
    last_event: str = ""
    may_retry: bool = True
    batch: bool = False
    status: int = 0
    exchange: EndpointExchange | None = None
    cancelled: bool = False
    reserved: bool = False
    on_first: Callable[[], None] = field(default=lambda: None)

    @property
    def endpoint(self) -> EndpointId:
        """Return the endpoint tried."""
        return self.entry.endpoint

    def cancel(self) -> None:
        """Close the connection, so that the endpoint drops the request."""
        self.cancelled = True
        if self.exchange is not None:
            self.exchange.cancel()

    def reserve(self) -> None:
        """Count the request at its endpoint before it is sent, for the next choice to see."""
        if not self.reserved:
            self.reserved = True
            now = self.context.loop.now()
            self.context.loads.request_started(self.endpoint, batch=self.batch, now=now)

    async def run(self) -> AttemptFailure | None:
        """Send and read; ``None`` when the answer was whole."""
        self.reserve()
        now = self.context.loop.now()
        try:
            failure = await self._run()
        finally:
            self.context.loads.request_ended(self.endpoint, batch=self.batch)
        ended = self.context.loop.now()
        if failure is None and self.status < 500:
            self.context.loads.record_success(
                self.endpoint, self.request.service, ended - now, ended
            )
        elif failure is None or (
            not self.cancelled and failure.failed_at is not FailurePoint.REFUSED
        ):
            self.context.loads.record_failure(self.endpoint, ended)
        return failure

    async def _run(self) -> AttemptFailure | None:
        exchange = await self.context.client.start(self.entry.address)
        if isinstance(exchange, TransportFailure):
            return self._failure(FailurePoint.NOT_SENT, exchange.message)
        self.exchange = exchange
        if self.cancelled:
            exchange.cancel()
            return self._failure(FailurePoint.NOT_SENT, "cancelled before it was sent")
        self._send(exchange)
        failure = await exchange.wait_headers(self.patience.first_byte_s)
        if failure is not None:
            return self._broken(failure)
        self.context.loads.record_activity(self.endpoint, self.context.loop.now())
        self.status = exchange.status
        self._take_report(exchange)
        refused = await self._check(exchange)
        if refused is not None:
            return refused
        if self.request.route.kind is RouteKind.SAFE and not self.headers_sent:
            return await self._read_whole(exchange)
        if self.request.route.resumable and is_event_stream(_content_type(exchange)):
            return await self._pass_events(exchange)
        return await self._pass_bytes(exchange)

    def _take_report(self, exchange: EndpointExchange) -> None:
        """Learn how many requests the endpoint says that it has."""
        counts = exchange.headers.get(self.context.names.load, "").split(",")
        if len(counts) == 3 and counts[0].isdigit() and counts[1].isdigit():
            present = int(counts[0]) + int(counts[1])
            self.context.loads.record_report(self.endpoint, present, self.context.loop.now())

    def _send(self, exchange: EndpointExchange) -> None:
        request = self.request
        left_s = request.deadline_s - self.context.loop.now()
        headers = request.sent_headers(self.context.names, self.endpoint, left_s, self.last_event)
        exchange.send_request(
            request.method, request.target, headers, request.body, request=request.request
        )

    async def _check(self, exchange: EndpointExchange) -> AttemptFailure | None:
        """Return why an answer is not passed on."""
        names, headers, status = self.context.names, exchange.headers, exchange.status
        if names.not_executed in headers or status == MISDIRECTED_STATUS:
            await exchange.read_all(REFUSAL_READ_S)
            return self._failure(FailurePoint.REFUSED, f"refused with status {status}")
        whole = exchange.has_request_id and names.signature in headers
        if status < 300 and (not whole or "content-encoding" in headers):
            exchange.cancel()
            return self._failure(FailurePoint.MAYBE_SENT, "sent an answer that is not its own")
        if status >= 500 and self.may_retry and self.request.route.repeatable:
            await exchange.read_all(REFUSAL_READ_S)
            return self._failure(FailurePoint.ERROR_STATUS, f"failed with status {status}")
        if self.headers_sent and status != 200:
            exchange.cancel()
            return self._failure(FailurePoint.RESPONSE_TRUNCATED, f"resumed with status {status}")
        return None

    async def _read_whole(self, exchange: EndpointExchange) -> AttemptFailure | None:
        """Hold a small answer until it is whole; a large one is passed on as it comes."""
        pieces: list[bytes] = []
        size = 0
        while size <= WHOLE_ANSWER_BYTES:
            piece = await exchange.read(self.patience.gap_s)
            if isinstance(piece, TransportFailure):
                return self._failure(FailurePoint.MAYBE_SENT, piece.message)
            if piece is None:
                self._begin(exchange, size)
                self.sink.send(b"".join(pieces))
                return None
            pieces.append(piece)
            size += len(piece)
        self._begin(exchange, _length(exchange))
        for piece in pieces:
            self.sink.send(piece)
        return await self._pass_rest(exchange)

    async def _pass_bytes(self, exchange: EndpointExchange) -> AttemptFailure | None:
        self._begin(exchange, _length(exchange))
        return await self._pass_rest(exchange)

    async def _pass_rest(self, exchange: EndpointExchange) -> AttemptFailure | None:
        while True:
            piece = await exchange.read(self.patience.gap_s)
            if piece is None:
                return None
            if isinstance(piece, TransportFailure):
                return self._failure(FailurePoint.RESPONSE_TRUNCATED, piece.message)
            self.context.loads.record_activity(self.endpoint, self.context.loop.now())
            self.sink.send(piece)
            await self.sink.drain()

    async def _pass_events(self, exchange: EndpointExchange) -> AttemptFailure | None:
        """Pass whole events on, so that another endpoint can go on behind the last one."""
        splitter = EventSplitter()
        self._begin(exchange, None)
        while True:
            piece = await exchange.read(self.patience.gap_s)
            if piece is None:
                self.sink.send(splitter.rest)
                return None
            if isinstance(piece, TransportFailure):
                return self._failure(FailurePoint.RESPONSE_TRUNCATED, piece.message)
            self.context.loads.record_activity(self.endpoint, self.context.loop.now())
            events = splitter.feed(piece)
            if splitter.too_long:
                exchange.cancel()
                return self._failure(FailurePoint.RESPONSE_TRUNCATED, "an event without an end")
            if events:
                self.last_event = last_event_id(events) or self.last_event
                self.sink.send(events)
                await self.sink.drain()
            if self.batch and not exchange.ended:
                exchange.stream.pause()
                await self.context.loop.sleep(BATCH_READ_S)
                exchange.stream.resume()

    def _begin(self, exchange: EndpointExchange, length: int | None) -> None:
        if self.headers_sent:
            return
        self.headers_sent = True
        connection = exchange.headers.get("connection", "")
        headers = end_to_end(exchange.raw_headers, connection)
        self.on_first()
        self.sink.begin(exchange.status, exchange.reason, headers, length)

    def _broken(self, failure: TransportFailure) -> AttemptFailure:
        failed_at = (
            FailurePoint.NOT_SENT if failure.sent is Sent.NOTHING else FailurePoint.MAYBE_SENT
        )
        return self._failure(failed_at, failure.message)

    def _failure(self, failed_at: FailurePoint, message: str) -> AttemptFailure:
        resumable = self.request.route.resumable
        return AttemptFailure(self.endpoint, failed_at, message, self.headers_sent, resumable)


def _content_type(exchange: EndpointExchange) -> str:
    return exchange.headers.get("content-type", "")


def _length(exchange: EndpointExchange) -> int | None:
    if "transfer-encoding" in exchange.headers:
        return None
    length = exchange.headers.get("content-length")
    return int(length) if length is not None else None
