"""Shared by the online routes: authentication, team limits, the call itself and its log line."""

import logging
import secrets
from typing import TYPE_CHECKING

from parsleyrouter.connection.http import HttpReply, refusal_reply
from parsleyrouter.connection.http_server import Exchange, ReplyStream
from parsleyrouter.connection.sse import error_event
from parsleyrouter.ids import RequestId, TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.call_port import Call, Preempted, Reply
from parsleyrouter.version.schema import TeamSettings

if TYPE_CHECKING:
    from parsleyrouter.process.entry_context import EntryContext

__all__ = ["IDEMPOTENCY_HEADER", "answer_call", "authenticate_team", "new_request_id"]

IDEMPOTENCY_HEADER = "idempotency-key"
REQUEST_HEADER = "x-request-id"

log = logging.getLogger(__name__)


def new_request_id() -> RequestId:
    """Return a new unique request id."""
    return RequestId(secrets.token_hex(8))


def authenticate_team(
    context: "EntryContext", exchange: Exchange
) -> tuple[TeamName, TeamSettings] | Refusal:
    """Return the caller's team and its settings, or why the caller is refused."""
    team = context.authentication.team(exchange.request.headers)
    if isinstance(team, Refusal):
        return team
    return team, context.view.settings().teams[team]


async def answer_call(
    context: "EntryContext", exchange: Exchange, call: Call, *, streamed: bool
) -> HttpReply | None:
    """Run a call within the team's limits and send the response.

    A call without an idempotency claim is cancelled when the caller disconnects.
    """
    loop = context.runtime.loop
    limits = context.view.settings().teams[call.team].limits
    permit = context.limits.acquire(call.team, limits, loop.now())
    if isinstance(permit, Refusal):
        return _refusal_reply(call, permit)
    started_s = loop.now()
    status = 499
    try:
        if streamed and not _claim_key(exchange, call):
            reply = await _stream(context, exchange, call)
        else:
            reply = await _run(context, exchange, call)
        status = reply.status if reply is not None else 200
        return reply
    finally:
        context.limits.release(permit)
        _log_call(call, status, loop.now() - started_s)


def _claim_key(exchange: Exchange, call: Call) -> str:
    """Return the idempotency key under which a call must be claimed, empty if none.

    A stream with such a key is sent only once it is complete.
    """
    if call.settings.idempotent:
        return ""
    return exchange.request.headers.get(IDEMPOTENCY_HEADER, "")


async def _run(context: "EntryContext", exchange: Exchange, call: Call) -> HttpReply:
    key = _claim_key(exchange, call)
    if key:
        if context.claims is None:
            message = "no Idempotency-Key can be kept here: try another entry"
            refusal = Refusal(RefusalKind.PLATFORM_UNAVAILABLE, message, ExecutionStatus.NOT_RUN)
            return _refusal_reply(call, refusal)
        outcome = await context.claims.run_once(call, key, context.calls)
    else:
        task = context.runtime.loop.spawn(context.calls.run(call), "call")
        exchange.on_caller_disconnect(task.cancel)
        outcome = await task
    return _call_reply(call, outcome)


async def _stream(context: "EntryContext", exchange: Exchange, call: Call) -> HttpReply | None:
    sink = _HttpSink(exchange, call.request)
    task = context.runtime.loop.spawn(context.calls.stream(call, sink), "stream")
    exchange.on_caller_disconnect(task.cancel)
    refusal = await task
    if sink.stream is None:
        return _refusal_reply(call, refusal or _NO_RESPONSE)
    if refusal is None:
        sink.stream.finish()
    else:
        sink.stream.send(error_event(refusal))
        sink.stream.abort()
    return None


class _HttpSink:
    """Forward a streamed response to the caller."""

    def __init__(self, exchange: Exchange, request: RequestId) -> None:
        self.exchange = exchange
        self.request = request
        self.stream: ReplyStream | None = None

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        self.stream = self.exchange.open_stream(status, headers | {REQUEST_HEADER: self.request})

    async def send(self, data: bytes) -> None:
        """Send a piece and wait until the send buffer has room."""
        assert self.stream is not None
        self.stream.send(data)
        await self.stream.drain()


def _call_reply(call: Call, outcome: Reply | Refusal | Preempted) -> HttpReply:
    if isinstance(outcome, Refusal):
        return _refusal_reply(call, outcome)
    if isinstance(outcome, Preempted):
        return _refusal_reply(call, _SLOT_REVOKED)
    return HttpReply(outcome.status, outcome.headers | {REQUEST_HEADER: call.request}, outcome.body)


def _refusal_reply(call: Call, refusal: Refusal) -> HttpReply:
    reply = refusal_reply(refusal)
    headers = dict(reply.headers) | {REQUEST_HEADER: call.request}
    return HttpReply(reply.status, headers, reply.body)


def _log_call(call: Call, status: int, took_s: float) -> None:
    log.info(
        "call ended",
        extra={
            "request": call.request,
            "team": call.team,
            "kind": call.kind,
            "model": call.model,
            "application": call.application,
            "status": status,
            "took_s": round(took_s, 4),
        },
    )


_NO_RESPONSE = Refusal(
    RefusalKind.ENDPOINT_FAILED, "no answer came: try again", ExecutionStatus.UNKNOWN
)
_SLOT_REVOKED = Refusal(
    RefusalKind.OVERLOADED, "the slot was taken: try again", ExecutionStatus.UNKNOWN, 1.0
)
