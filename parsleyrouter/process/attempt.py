"""Run one attempt of a call at one endpoint."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from parsleyrouter.connection.call_client import ATTEMPT_HEADER, CallExchange
from parsleyrouter.connection.http import HttpReply, Sent, TransportFailure
from parsleyrouter.connection.sse import EventSplitter, is_event_stream
from parsleyrouter.ids import Address, AttemptId
from parsleyrouter.process.call_port import Call, Preempted
from parsleyrouter.process.grant_port import CallResult, Grant
from parsleyrouter.process.loop import Task
from parsleyrouter.request.attempts import AttemptFailure, FailurePoint
from parsleyrouter.request.deadline import DEADLINE_HEADER, Deadline
from parsleyrouter.request.response_sink import ResponseSink
from parsleyrouter.request.resume import (
    cancelled_token,
    has_finish_reason,
    resume_body,
    resume_token,
)

if TYPE_CHECKING:
    from parsleyrouter.process.call_dispatcher import CallDispatcher

__all__ = ["REQUEST_HEADER", "Attempt"]

REQUEST_HEADER = "x-request-id"
MAX_READ_TIMEOUT_S = 300.0
STREAM_READ_TIMEOUT_S = 10.0
MIN_FIRST_BYTE_TIMEOUT_S = 0.25
CANCEL_TIMEOUT_S = 0.25
FINAL_RESPONSE_WAIT_S = 0.05
CANCEL_PATH = "/cancel"
CANCELLED_STATUS = 409
MAX_RESPONSE_BYTES = 64 * 1024 * 1024

_RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_DROPPED_HEADERS = frozenset(
    {"connection", "content-length", "date", "keep-alive", "server", "transfer-encoding"}
)

AttemptEnd = None | Preempted | AttemptFailure


class Attempt:
    """Send a call once and pass its response on; report how far a failed call provably got."""

    def __init__(
        self,
        dispatcher: "CallDispatcher",
        call: Call,
        attempt: AttemptId,
        response: ResponseSink,
        deadline: Deadline,
        resume_token: str,
    ) -> None:
        self.dispatcher = dispatcher
        self.call = call
        self.id = attempt
        self.response = response
        self.deadline = deadline
        self.resume_token = resume_token
        self.grant: Grant | None = None
        self.exchange: CallExchange | None = None
        self.revoked = False
        self.finish_reason_seen = False
        self.cancel_task: Task[None] | None = None
        self.result = CallResult(ok=False)

    def revoke(self) -> None:
        """Give the slot to online work, unless the call was sent and is not idempotent."""
        self.revoked = True
        if self.exchange is None or self.cancel_task is not None:
            return
        if self.call.settings.idempotent:
            self.cancel_task = self.dispatcher.loop.spawn(self._cancel_at_endpoint(), "cancel")

    def close(self) -> None:
        """Cancel an exchange that is still open."""
        if self.exchange is not None:
            self.exchange.cancel()

    async def run(self, grant: Grant, on_dispatch: Callable[[], None] | None) -> AttemptEnd:
        """Send the call and read its response; return ``None`` if the response was complete."""
        self.grant = grant
        if self.revoked:
            return Preempted(self.resume_token)
        if on_dispatch is not None:
            on_dispatch()
        started_s = self.dispatcher.loop.now()
        end = await self._send(new_connection=not self.call.settings.idempotent)
        if end is None:
            end = await self._read(started_s)
        if end is not None and self._needs_new_connection():
            self.close()
            end = await self._send(new_connection=True) or await self._read(started_s)
            end = end and replace(end, failed_at=_maybe_sent(end.failed_at))
        if self.cancel_task is not None and self._preempted(end):
            await self.cancel_task
            self.result = CallResult(ok=False)
            return Preempted(self.resume_token)
        if isinstance(end, AttemptFailure):
            in_time = self.response.response_started or not self.deadline.expired(
                self.dispatcher.loop.now()
            )
            self.result = CallResult(ok=False, endpoint_at_fault=in_time)
        return end

    def _preempted(self, end: AttemptFailure | None) -> bool:
        """Return whether a revoked attempt has no response; an engine ends it with a status."""
        assert self.exchange is not None
        return end is not None or (
            bool(self.call.model) and self.exchange.status == CANCELLED_STATUS
        )

    async def _cancel_at_endpoint(self) -> None:
        """Cancel the call, keep the engine's resume token and close the connection."""
        assert self.exchange is not None
        if self.call.model:
            reply = await self.dispatcher.runtime.http.request(
                self.exchange.stream.address,
                "POST",
                CANCEL_PATH,
                body=msgspec.json.encode({"id": self.id}),
                timeout_s=CANCEL_TIMEOUT_S,
                # The token names no call: the copy of an earlier response would resume another.
                new_connection=True,
            )
            token = cancelled_token(reply.body) if isinstance(reply, HttpReply) else None
            if token is None:
                await self.dispatcher.loop.sleep(FINAL_RESPONSE_WAIT_S)
            else:
                self.resume_token = token
        self.exchange.cancel()

    def _needs_new_connection(self) -> bool:
        """Return whether a pooled connection gave no response, or one that may be another's."""
        exchange = self.exchange
        if exchange is None or self.revoked or not self.call.settings.idempotent:
            return False
        if exchange.status:
            return exchange.reused and exchange.is_foreign
        return exchange.reused and exchange.closed_early

    async def _send(self, *, new_connection: bool) -> AttemptFailure | None:
        assert self.grant is not None
        call = self.call
        exchange = await self.dispatcher.http.begin(
            Address(self.grant.address),
            call.method,
            call.path,
            self._headers(),
            resume_body(call.body, self.resume_token) if self.resume_token else call.body,
            new_connection=new_connection,
        )
        if isinstance(exchange, TransportFailure):
            return self._transport_failure(exchange)
        assert isinstance(exchange, CallExchange)
        self.exchange = exchange
        if self.revoked:
            self.revoke()
        return None

    def _headers(self) -> dict[str, str]:
        remaining_s = self.deadline.remaining_s(self.dispatcher.loop.now())
        headers = {"content-type": "application/json"} | self.call.headers
        headers[REQUEST_HEADER] = self.call.request
        headers[ATTEMPT_HEADER] = self.id
        headers[DEADLINE_HEADER] = f"{remaining_s:.3f}"
        return headers

    async def _read(self, started_s: float) -> AttemptFailure | None:
        exchange = self.exchange
        assert exchange is not None
        failure = await exchange.wait_headers(self._first_byte_timeout_s())
        if failure is not None:
            return self._transport_failure(failure)
        rejection = self._check_headers(exchange)
        if rejection is not None:
            return rejection
        if is_event_stream(exchange.headers.get("content-type", "")):
            return await self._read_events(exchange, started_s)
        return await self._read_body(exchange, started_s)

    def _check_headers(self, exchange: CallExchange) -> AttemptFailure | None:
        status, headers = exchange.status, exchange.headers
        if exchange.is_foreign:
            self.dispatcher.metrics.mismatched.inc()
            message = "the response may belong to another attempt"
            return self._failure(FailurePoint.MAYBE_SENT, message)
        if self.call.settings.idempotent and status in _RETRYABLE_STATUSES:
            return self._failure(FailurePoint.ERROR_STATUS, f"response has status {status}")
        has_length = "content-length" in headers or "chunked" in headers.get(
            "transfer-encoding", ""
        )
        if not has_length and status not in _STATUSES_WITHOUT_BODY:
            return self._failure(FailurePoint.RESPONSE_TRUNCATED, "response has no length")
        return None

    async def _read_body(self, exchange: CallExchange, started_s: float) -> AttemptFailure | None:
        chunks: list[bytes] = []
        size = 0
        while True:
            chunk = await exchange.read(self._first_byte_timeout_s())
            if chunk is None:
                break
            if isinstance(chunk, TransportFailure):
                return self._failure(FailurePoint.RESPONSE_TRUNCATED, chunk.message)
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                return self._failure(
                    FailurePoint.RESPONSE_TRUNCATED, f"response exceeds {MAX_RESPONSE_BYTES} bytes"
                )
        self._record_first_byte(started_s)
        self.response.begin(exchange.status, _end_to_end_headers(exchange.headers))
        await self.response.send(b"".join(chunks))
        return None

    async def _read_events(self, exchange: CallExchange, started_s: float) -> AttemptFailure | None:
        splitter = EventSplitter()
        started = False
        while True:
            chunk = await exchange.read(
                STREAM_READ_TIMEOUT_S if started else self._first_byte_timeout_s()
            )
            if not isinstance(chunk, bytes):
                break
            events = splitter.feed(chunk)
            if splitter.too_long:
                return self._failure(
                    FailurePoint.RESPONSE_TRUNCATED, "event exceeds the maximum size"
                )
            if not events:
                continue
            if not started:
                started = True
                self._record_first_byte(started_s)
                self.response.begin(exchange.status, _end_to_end_headers(exchange.headers))
            self.resume_token = resume_token(events) or self.resume_token
            self.finish_reason_seen = self.finish_reason_seen or has_finish_reason(events)
            await self.response.send(events)
        if splitter.done:
            return None
        message = "stream ended without [DONE]" if chunk is None else chunk.message
        return self._failure(FailurePoint.RESPONSE_TRUNCATED, message)

    def _record_first_byte(self, started_s: float) -> None:
        ttft_s = self.dispatcher.loop.now() - started_s
        kind_class = self.call.settings.kind_class.value
        self.dispatcher.metrics.first_byte.labels(kind_class).observe(ttft_s)
        self.result = CallResult(ok=True, ttft_s=ttft_s, output_tokens=self.call.output_tokens)

    def _first_byte_timeout_s(self) -> float:
        """Return the read timeout that applies until the response has started.

        A stream starts early, so a shorter timeout leaves time to retry at another endpoint.
        """
        remaining_s = self.deadline.remaining_s(self.dispatcher.loop.now())
        if self.response.streamed and self.call.settings.idempotent:
            remaining_s = min(remaining_s, max(MIN_FIRST_BYTE_TIMEOUT_S, remaining_s / 2))
        return min(MAX_READ_TIMEOUT_S, remaining_s)

    def _transport_failure(self, failure: TransportFailure) -> AttemptFailure:
        failed_at = (
            FailurePoint.NOT_SENT if failure.sent is Sent.NOTHING else FailurePoint.MAYBE_SENT
        )
        return self._failure(failed_at, failure.message)

    def _failure(self, failed_at: FailurePoint, message: str) -> AttemptFailure:
        assert self.grant is not None
        resumable = bool(self.resume_token) and not self.finish_reason_seen
        return AttemptFailure(
            self.grant.endpoint, failed_at, message, self.response.response_started, resumable
        )


def _maybe_sent(failed_at: FailurePoint) -> FailurePoint:
    return FailurePoint.MAYBE_SENT if failed_at is FailurePoint.NOT_SENT else failed_at


def _end_to_end_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return {name: value for name, value in headers.items() if name not in _DROPPED_HEADERS}
