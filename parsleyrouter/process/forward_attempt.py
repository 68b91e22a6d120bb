"""Run one attempt of a forwarded request at one endpoint."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from parsleyrouter.connection.endpoint_client import EndpointExchange
from parsleyrouter.connection.http import Sent, TransportFailure
from parsleyrouter.connection.sse import (
    EventSplitter,
    events_after,
    is_event_stream,
    last_event_id,
)
from parsleyrouter.ids import EndpointId
from parsleyrouter.process.answer_bounds import (
    MAX_BUFFERED_RESPONSE_BYTES,
    EventBound,
    is_cut_in_event,
    pause_reading,
    read_dropped_body,
)
from parsleyrouter.process.answer_heads import (
    MISDIRECTED_STATUS,
    body_length,
    content_type,
    proves_status,
    record_head,
    refuses_request,
)
from parsleyrouter.process.crash_monitor import RunningRequest
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.forward_context import ForwardContext, ForwardSink, ResponseTimeouts
from parsleyrouter.process.work_timer import WorkTimer
from parsleyrouter.request.attempts import AttemptFailure, FailurePoint
from parsleyrouter.request.forwarded_request import ForwardedRequest, end_to_end_headers
from parsleyrouter.version.route_table import RouteKind

__all__ = ["ForwardAttempt"]


@dataclass
class ForwardAttempt:
    """Send a request once and forward the response; report how far a failed one provably got."""

    context: ForwardContext
    request: ForwardedRequest
    registration: RegisteredEndpoint
    sink: ForwardSink
    timeouts: ResponseTimeouts
    headers_sent: bool = False
    """The caller already has status and headers, from this or an earlier attempt."""
    last_event: str = ""
    may_retry: bool = True
    batch: bool = False
    new_connection: bool = False
    """Whether to avoid connections that the endpoint may have closed meanwhile."""
    status: int = 0
    exchange: EndpointExchange | None = None
    cancelled: bool = False
    reserved: bool = False
    refusal_unfinished: bool = False
    on_first_byte: Callable[[], None] = field(default=lambda: None)
    running: RunningRequest = field(init=False)
    work: WorkTimer = field(init=False)

    def __post_init__(self) -> None:
        request = self.request
        self.work = WorkTimer(self.context, self.registration, request)
        self.running = RunningRequest(
            self.registration, request.traits, self.cancel, request.request, request.fingerprint
        )

    @property
    def endpoint(self) -> EndpointId:
        """Return the endpoint of this attempt."""
        return self.registration.endpoint

    def cancel(self) -> None:
        """Close the connection; the endpoint then cancels the request."""
        self.cancelled = True
        if self.exchange is not None:
            self.exchange.cancel()

    def reserve(self) -> None:
        """Count the request at its endpoint before it is sent; the next placement sees it."""
        if not self.reserved:
            self.reserved = True
            now = self.context.loop.now()
            self.context.loads.request_started(self.endpoint, batch=self.batch, now=now)

    async def run(self) -> AttemptFailure | None:
        """Send the request and read its response; return ``None`` if the response was complete."""
        self.reserve()
        started_s = self.context.loop.now()
        crashes = self.context.crashes
        crashes.start(self.running)
        cut = served = ended = abandoned = False
        try:
            failure = await self._run()
            ended = True
            served = failure is None and self.status < 300
            if self.exchange is not None:
                cut = self.exchange.closed_early and not self.cancelled
                unproven = failure is not None and failure.failed_at is FailurePoint.MAYBE_SENT
                abandoned = not cut and (unproven or not self.exchange.ended)
        finally:
            if not ended and self.exchange is not None:
                self.exchange.cancel()
            self.context.loads.request_ended(self.endpoint, batch=self.batch)
            crashes.end(self.running, cut=cut, served=served, abandoned=abandoned)
        ended_s = self.context.loop.now()
        if failure is None and self.status < 500:
            self.context.loads.record_success(
                self.endpoint, self.request.service, ended_s - started_s, ended_s
            )
        elif failure is None or self._is_failing(failure):
            self.context.loads.record_failure(self.endpoint, ended_s)
        return failure

    def _is_failing(self, failure: AttemptFailure) -> bool:
        """Return whether a failure is one of the endpoint."""
        refused = failure.failed_at is FailurePoint.REFUSED
        return not self.cancelled and (self.refusal_unfinished or not refused)

    async def _run(self) -> AttemptFailure | None:
        client, request = self.context.client, self.request.request
        exchange = await client.start(self.registration.address, self.new_connection, request)
        if isinstance(exchange, TransportFailure):
            return self._failure(FailurePoint.NOT_SENT, exchange.message)
        self.exchange = exchange
        if self.cancelled:
            exchange.cancel()
            return self._failure(FailurePoint.NOT_SENT, "cancelled before it was sent")
        self._send(exchange)
        self.running.sent = True
        failure = await exchange.wait_headers(self.timeouts.first_byte_s)
        if failure is not None:
            return self._transport_failure(failure)
        self.status = exchange.status
        self.running.began_s = self.context.loop.now()
        record_head(self.context, self.registration, exchange)
        rejection = await self._check_response(exchange)
        if rejection is not None:
            return rejection
        if self.request.route.kind is RouteKind.SAFE and not self.headers_sent:
            return await self._read_buffered(exchange)
        if self.request.route.resumable and is_event_stream(content_type(exchange)):
            return await self._forward_events(exchange)
        self._begin(exchange, body_length(exchange))
        return await self._forward_rest(exchange)

    def _send(self, exchange: EndpointExchange) -> None:
        request = self.request
        remaining_s = request.deadline_s - self.context.loop.now()
        headers = request.headers_for_endpoint(
            self.context.names, self.endpoint, remaining_s, self.last_event
        )
        self.work.start()
        exchange.send_request(
            request.method, request.target, headers, request.body, request=request.request
        )

    async def _check_response(self, exchange: EndpointExchange) -> AttemptFailure | None:
        """Return why a response is not forwarded, ``None`` if it is."""
        names, headers, status = self.context.names, exchange.headers, exchange.status
        if names.not_executed in headers or status == MISDIRECTED_STATUS:
            if not refuses_request(self.context, self.endpoint, exchange):
                self.context.client.discard(exchange)
                message = "the refusal may be that of an earlier request on the connection"
                return self._failure(FailurePoint.MAYBE_SENT, message)
            self.refusal_unfinished = not await read_dropped_body(exchange)
            return self._failure(FailurePoint.REFUSED, f"refused with status {status}")
        if not proves_status(names, self.request.route, exchange):
            self.context.client.discard(exchange)
            return self._failure(
                FailurePoint.MAYBE_SENT, f"response does not prove what status {status} says"
            )
        if status >= 500 and self.may_retry and self.request.route.repeatable:
            await read_dropped_body(exchange)
            return self._failure(FailurePoint.ERROR_STATUS, f"failed with status {status}")
        if self.headers_sent and (status != 200 or not is_event_stream(content_type(exchange))):
            self.context.client.discard(exchange)
            message = f"not resumed, answered with status {status} and {content_type(exchange)!r}"
            return self._failure(FailurePoint.RESPONSE_TRUNCATED, message)
        return None

    async def _read_buffered(self, exchange: EndpointExchange) -> AttemptFailure | None:
        """Buffer a small response until it is complete; stream a large one.

        A response that may be retried takes at most half of the remaining time.
        """
        chunks: list[bytes] = []
        size = 0
        now = self.context.loop.now()
        until_s = now + (self.request.deadline_s - now) / (2 if self.may_retry else 1)
        while size <= MAX_BUFFERED_RESPONSE_BYTES:
            chunk = await self._read(exchange, until_s=until_s)
            if isinstance(chunk, TransportFailure):
                return self._failure(FailurePoint.MAYBE_SENT, chunk.message)
            if chunk is None:
                self.work.record_response(self.status, size)
                self._begin(exchange, size)
                self.sink.send(b"".join(chunks))
                return None
            chunks.append(chunk)
            size += len(chunk)
        self._begin(exchange, body_length(exchange))
        self.sink.send(b"".join(chunks))
        return await self._forward_rest(exchange)

    async def _forward_rest(self, exchange: EndpointExchange) -> AttemptFailure | None:
        splitter = EventSplitter() if is_event_stream(content_type(exchange)) else None
        bound = EventBound(exchange)
        while True:
            chunk = await self._read(exchange)
            if chunk is None:
                return self._broken_event() if is_cut_in_event(exchange, splitter) else None
            if isinstance(chunk, TransportFailure):
                return self._failure(FailurePoint.RESPONSE_TRUNCATED, chunk.message)
            whole = self.work.read_events(splitter, chunk)
            if splitter is not None and not bound.allows(bool(whole)):
                return self._too_long_event(exchange)
            self.sink.send(chunk)
            await self.sink.drain()
            self.work.reader_ready()

    def _broken_event(self) -> AttemptFailure:
        return self._failure(FailurePoint.RESPONSE_TRUNCATED, "the response ended within an event")

    async def _forward_events(self, exchange: EndpointExchange) -> AttemptFailure | None:
        """Forward complete events only, so that another endpoint can resume after the last one."""
        splitter = EventSplitter()
        resumed = self.headers_sent
        self._begin(exchange, None)
        event_s, bound = self.context.loop.now(), EventBound(exchange)
        while True:
            chunk = await self._read(exchange, self.context.loop.now() - event_s)
            if chunk is None:
                if is_cut_in_event(exchange, splitter) or (resumed and splitter.rest):
                    return self._broken_event()
                self.sink.send(splitter.rest)
                return None
            if isinstance(chunk, TransportFailure):
                return self._failure(FailurePoint.RESPONSE_TRUNCATED, chunk.message)
            whole = self.work.read_events(splitter, chunk)
            events = events_after(whole, self.last_event) if resumed and whole else whole
            if events is None:
                self.context.client.discard(exchange)
                return self._failure(FailurePoint.RESPONSE_TRUNCATED, "an event does not come next")
            if not bound.allows(bool(whole)):
                return self._too_long_event(exchange)
            if events:
                event_s = self.context.loop.now()
                self.last_event = last_event_id(events) or self.last_event
                self.sink.send(events)
                await self.sink.drain()
                self.work.reader_ready()
            if self.batch and not exchange.ended:
                await pause_reading(exchange, self.context.loop)

    def _too_long_event(self, exchange: EndpointExchange) -> AttemptFailure:
        message = "an event exceeds the maximum size"
        exchange.fail_invalid(message)
        return self._failure(FailurePoint.RESPONSE_TRUNCATED, message)

    async def _read(
        self, exchange: EndpointExchange, waited_s: float = 0.0, until_s: float = math.inf
    ) -> bytes | None | TransportFailure:
        """Read more of the body until the gap timeout, ``until_s`` or the request's deadline.

        ``waited_s`` is the time since the last event: bytes that complete none do not extend it.
        """
        left_s = min(self.request.deadline_s, until_s) - self.context.loop.now()
        gap_s = self.timeouts.gap_s - waited_s
        if left_s <= 0:
            exchange.fail("the response did not end in time")
        elif gap_s <= 0:
            exchange.fail(f"no event within {self.timeouts.gap_s:g} s")
        return await exchange.read(max(0.0, min(gap_s, left_s)))

    def _begin(self, exchange: EndpointExchange, length: int | None) -> None:
        if self.headers_sent:
            return
        self.headers_sent = True
        headers = end_to_end_headers(exchange.raw_headers, exchange.headers.get("connection", ""))
        self.on_first_byte()
        self.sink.begin(exchange.status, exchange.reason, headers, length)

    def _transport_failure(self, failure: TransportFailure) -> AttemptFailure:
        is_sent = failure.sent is not Sent.NOTHING
        failed_at = FailurePoint.MAYBE_SENT if is_sent else FailurePoint.NOT_SENT
        return self._failure(failed_at, failure.message)

    def _failure(self, failed_at: FailurePoint, message: str) -> AttemptFailure:
        resumable = self.request.route.resumable
        return AttemptFailure(self.endpoint, failed_at, message, self.headers_sent, resumable)
