"""One attempt of a call at one endpoint."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from parsleyrouter.connection.http import HttpReply, Sent, TransportFailure
from parsleyrouter.connection.http_client import HttpExchange
from parsleyrouter.connection.sse import EventSplitter, is_event_stream
from parsleyrouter.ids import Address, AttemptId
from parsleyrouter.process.call_port import Call, Preempted
from parsleyrouter.process.grant_port import CallResult, Grant
from parsleyrouter.process.loop import Task
from parsleyrouter.request.attempts import AttemptFailure, FailurePoint
from parsleyrouter.request.deadline import DEADLINE_HEADER, Deadline
from parsleyrouter.request.response_sink import Answer
from parsleyrouter.request.resume import finish_seen, resume_body, resume_token, token_of_cancel

if TYPE_CHECKING:
    from parsleyrouter.process.call_dispatcher import CallDispatcher

__all__ = ["ATTEMPT_HEADER", "REQUEST_HEADER", "Attempt"]

ATTEMPT_HEADER = "x-parsley-attempt"
REQUEST_HEADER = "x-request-id"
LONGEST_SILENCE_S = 300.0
STREAM_GAP_S = 10.0
LEAST_PATIENCE_S = 0.25
CANCEL_TIMEOUT_S = 0.25
LAST_ANSWER_S = 0.05
CANCEL_PATH = "/cancel"
CANCELLED_STATUS = 409
MOST_ANSWER_BYTES = 64 * 1024 * 1024

_TURNED_AWAY = frozenset({429, 502, 503, 504})
_BODILESS = frozenset({204, 304})
_DROPPED_HEADERS = frozenset(
    {"connection", "content-length", "date", "keep-alive", "server", "transfer-encoding"}
)

End = None | Preempted | AttemptFailure


class Attempt:
    """Send a call once and pass its answer on; the end says what provably happened."""

    def __init__(
        self,
        runner: "CallDispatcher",
        call: Call,
        attempt: AttemptId,
        answer: Answer,
        deadline: Deadline,
        resume_token: str,
    ) -> None:
        self.runner = runner
        self.call = call
        self.id = attempt
        self.answer = answer
        self.deadline = deadline
        self.resume_token = resume_token
        self.grant: Grant | None = None
        self.exchange: HttpExchange | None = None
        self.revoked = False
        self.finishing = False
        self.cancelling: Task[None] | None = None
        self.result = CallResult(ok=False)

    def revoke(self) -> None:
        """Give the slot to online work, unless the call may have run and must not run again."""
        self.revoked = True
        if self.exchange is None or self.cancelling is not None:
            return
        if self.call.settings.idempotent:
            self.cancelling = self.runner.loop.spawn(self._cancel_at_endpoint(), "cancel")

    def close(self) -> None:
        """Cancel at the endpoint what is still under way."""
        if self.exchange is not None:
            self.exchange.cancel()

    async def run(self, grant: Grant, on_dispatch: Callable[[], None] | None) -> End:
        """Send the call and read its answer; ``None`` when it was whole."""
        self.grant = grant
        if self.revoked:
            return Preempted(self.resume_token)
        if on_dispatch is not None:
            on_dispatch()
        started_s = self.runner.loop.now()
        end = await self._send(new_connection=not self.call.settings.idempotent)
        if end is None:
            end = await self._read(started_s)
        if end is not None and self._was_stale():
            end = await self._send(new_connection=True) or await self._read(started_s)
            end = end and replace(end, failed_at=_at_least_maybe(end.failed_at))
        if self.cancelling is not None and self._yields(end):
            await self.cancelling
            self.result = CallResult(ok=False)
            return Preempted(self.resume_token)
        if isinstance(end, AttemptFailure):
            in_time = self.answer.response_started or not self.deadline.expired(
                self.runner.loop.now()
            )
            self.result = CallResult(ok=False, endpoint_at_fault=in_time)
        return end

    def _yields(self, end: AttemptFailure | None) -> bool:
        """Tell whether a revoked attempt has no answer; an engine ends it by a status."""
        assert self.exchange is not None
        return end is not None or (
            bool(self.call.model) and self.exchange.status == CANCELLED_STATUS
        )

    async def _cancel_at_endpoint(self) -> None:
        """Cancel, keeping the engine's resume token, and close the connection."""
        assert self.exchange is not None
        if self.call.model:
            reply = await self.runner.http.request(
                self.exchange.stream.address,
                "POST",
                CANCEL_PATH,
                body=msgspec.json.encode({"id": self.id}),
                timeout_s=CANCEL_TIMEOUT_S,
            )
            token = token_of_cancel(reply.body) if isinstance(reply, HttpReply) else None
            if token is None:
                await self.runner.loop.sleep(LAST_ANSWER_S)
            else:
                self.resume_token = token
        self.exchange.cancel()

    def _was_stale(self) -> bool:
        """Tell whether a pooled connection was closed by the endpoint before its first byte."""
        exchange = self.exchange
        if exchange is None or self.revoked or not self.call.settings.idempotent:
            return False
        return exchange.reused and exchange.closed_early and not exchange.status

    async def _send(self, *, new_connection: bool) -> AttemptFailure | None:
        assert self.grant is not None
        call = self.call
        exchange = await self.runner.http.begin(
            Address(self.grant.address),
            call.method,
            call.path,
            self._headers(),
            resume_body(call.body, self.resume_token) if self.resume_token else call.body,
            new_connection=new_connection,
        )
        if isinstance(exchange, TransportFailure):
            return self._broken(exchange)
        self.exchange = exchange
        if self.revoked:
            self.revoke()
        return None

    def _headers(self) -> dict[str, str]:
        remaining_s = self.deadline.remaining_s(self.runner.loop.now())
        headers = {"content-type": "application/json"} | self.call.headers
        headers[REQUEST_HEADER] = self.call.request
        headers[ATTEMPT_HEADER] = self.id
        headers[DEADLINE_HEADER] = f"{remaining_s:.3f}"
        return headers

    async def _read(self, started_s: float) -> AttemptFailure | None:
        exchange = self.exchange
        assert exchange is not None
        failure = await exchange.wait_headers(self._patience_s())
        if failure is not None:
            return self._broken(failure)
        refused = self._check_headers(exchange.status, exchange.headers)
        if refused is not None:
            return refused
        if is_event_stream(exchange.headers.get("content-type", "")):
            return await self._read_events(exchange, started_s)
        return await self._read_whole(exchange, started_s)

    def _check_headers(self, status: int, headers: Mapping[str, str]) -> AttemptFailure | None:
        if headers.get(ATTEMPT_HEADER, self.id) != self.id:
            self.runner.metrics.crossed.inc()
            return self._failure(FailurePoint.MAYBE_SENT, "answered another attempt")
        if self.call.settings.idempotent and status in _TURNED_AWAY:
            return self._failure(FailurePoint.ERROR_STATUS, f"answered status {status}")
        framed = "content-length" in headers or "chunked" in headers.get("transfer-encoding", "")
        if not framed and status not in _BODILESS:
            return self._failure(FailurePoint.RESPONSE_TRUNCATED, "answered without a length")
        return None

    async def _read_whole(self, exchange: HttpExchange, started_s: float) -> AttemptFailure | None:
        pieces: list[bytes] = []
        size = 0
        while True:
            piece = await exchange.read(self._patience_s())
            if piece is None:
                break
            if isinstance(piece, TransportFailure):
                return self._failure(FailurePoint.RESPONSE_TRUNCATED, piece.message)
            pieces.append(piece)
            size += len(piece)
            if size > MOST_ANSWER_BYTES:
                return self._failure(
                    FailurePoint.RESPONSE_TRUNCATED, f"answer over {MOST_ANSWER_BYTES} bytes"
                )
        self._answered(started_s)
        self.answer.begin(exchange.status, _kept_headers(exchange.headers))
        await self.answer.send(b"".join(pieces))
        return None

    async def _read_events(self, exchange: HttpExchange, started_s: float) -> AttemptFailure | None:
        splitter = EventSplitter()
        begun = False
        while True:
            piece = await exchange.read(STREAM_GAP_S if begun else self._patience_s())
            if not isinstance(piece, bytes):
                break
            events = splitter.feed(piece)
            if splitter.too_long:
                return self._failure(FailurePoint.RESPONSE_TRUNCATED, "an event without an end")
            if not events:
                continue
            if not begun:
                begun = True
                self._answered(started_s)
                self.answer.begin(exchange.status, _kept_headers(exchange.headers))
            self.resume_token = resume_token(events) or self.resume_token
            self.finishing = self.finishing or finish_seen(events)
            await self.answer.send(events)
        if splitter.done:
            return None
        message = "stream ended without [DONE]" if piece is None else piece.message
        return self._failure(FailurePoint.RESPONSE_TRUNCATED, message)

    def _answered(self, started_s: float) -> None:
        ttft_s = self.runner.loop.now() - started_s
        kind_class = self.call.settings.kind_class.value
        self.runner.metrics.first_byte.labels(kind_class).observe(ttft_s)
        self.result = CallResult(ok=True, ttft_s=ttft_s, output_tokens=self.call.output_tokens)

    def _patience_s(self) -> float:
        """Return how long to wait for the next byte before the answer has begun.

        A stream begins early, so that a frozen endpoint can be given up in time for another.
        """
        remaining_s = self.deadline.remaining_s(self.runner.loop.now())
        if self.answer.streamed and self.call.settings.idempotent:
            remaining_s = min(remaining_s, max(LEAST_PATIENCE_S, remaining_s / 2))
        return min(LONGEST_SILENCE_S, remaining_s)

    def _broken(self, failure: TransportFailure) -> AttemptFailure:
        failed_at = (
            FailurePoint.NOT_SENT if failure.sent is Sent.NOTHING else FailurePoint.MAYBE_SENT
        )
        return self._failure(failed_at, failure.message)

    def _failure(self, failed_at: FailurePoint, message: str) -> AttemptFailure:
        assert self.grant is not None
        resumable = bool(self.resume_token) and not self.finishing
        return AttemptFailure(
            self.grant.endpoint, failed_at, message, self.answer.response_started, resumable
        )


def _at_least_maybe(failed_at: FailurePoint) -> FailurePoint:
    return FailurePoint.MAYBE_SENT if failed_at is FailurePoint.NOT_SENT else failed_at


def _kept_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return {name: value for name, value in headers.items() if name not in _DROPPED_HEADERS}
