"""``/v1/batches``: submit, watch, read and cancel batch jobs."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TYPE_CHECKING, Any

from parsleyrouter.connection.api_calls import IDEMPOTENCY_HEADER
from parsleyrouter.connection.http import HttpReply, json_reply, refusal_reply
from parsleyrouter.connection.http_server import Exchange, Routes
from parsleyrouter.connection.upload import UploadAborted
from parsleyrouter.ids import JobId, TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.job_port import JobSpec, JobStatus
from parsleyrouter.request.classification import KIND_HEADER, classify_batch
from parsleyrouter.request.deadline import DEADLINE_HEADER, choose_deadline
from parsleyrouter.version.schema import TeamSettings

if TYPE_CHECKING:
    from parsleyrouter.process.entry_context import EntryContext

__all__ = ["add_batch_routes"]

JSON_LINES_TYPE = "application/jsonl"
MAX_KEY_CHARS = 255
DEFAULT_LIST_LIMIT = 100
MAX_LIST_LIMIT = 1000
RESULTS_PAGE_BYTES = 1024 * 1024
BODY_SLICE_BYTES = 64 * 1024


TeamHandler = Callable[["EntryContext", Exchange, TeamName], Awaitable[HttpReply]]


def _add_team_route(routes: Routes, method: str, path: str) -> Callable[[TeamHandler], TeamHandler]:
    """Register a handler that runs only for an authenticated team."""

    def register(function: TeamHandler) -> TeamHandler:
        @routes.add(method, path)
        async def answer(context: "EntryContext", exchange: Exchange) -> HttpReply:
            team = context.authentication.team(exchange.request.headers)
            if isinstance(team, Refusal):
                return refusal_reply(team)
            return await function(context, exchange, team)

        return function

    return register


def add_batch_routes(routes: Routes) -> None:
    """Register the batch job routes."""

    @_add_team_route(routes, "POST", "/v1/batches")
    async def submit(context: "EntryContext", exchange: Exchange, team: TeamName) -> HttpReply:
        spec = _parse_job_spec(exchange, team, context.view.settings().teams[team])
        if isinstance(spec, Refusal):
            return refusal_reply(spec)
        try:
            outcome = await context.jobs.submit(spec, read_body(exchange))
        except UploadAborted as error:
            outcome = _bad_request(f"the job was not accepted: {error}")
        return _status_reply(outcome, 202)

    @_add_team_route(routes, "GET", "/v1/batches")
    async def list_jobs(context: "EntryContext", exchange: Exchange, team: TeamName) -> HttpReply:
        query = exchange.request.query
        limit = _parse_int(query.get("limit"), DEFAULT_LIST_LIMIT, 1, MAX_LIST_LIMIT, "limit")
        if isinstance(limit, Refusal):
            return refusal_reply(limit)
        found = await context.jobs.list(team, query.get("after", ""), limit)
        if isinstance(found, Refusal):
            return refusal_reply(found)
        data = [_job_body(status) for status in found]
        more = len(data) == limit
        return json_reply({"object": "list", "data": data, "has_more": more})

    @_add_team_route(routes, "GET", "/v1/batches/{job}")
    async def status(context: "EntryContext", exchange: Exchange, team: TeamName) -> HttpReply:
        outcome = await context.jobs.status(team, JobId(exchange.values["job"]))
        return _status_reply(outcome, 200)

    @_add_team_route(routes, "DELETE", "/v1/batches/{job}")
    async def cancel(context: "EntryContext", exchange: Exchange, team: TeamName) -> HttpReply:
        outcome = await context.jobs.cancel(team, JobId(exchange.values["job"]))
        return _status_reply(outcome, 200)

    @_add_team_route(routes, "GET", "/v1/batches/{job}/results")
    async def results(context: "EntryContext", exchange: Exchange, team: TeamName) -> HttpReply:
        return await _results(context, exchange, team)


async def read_body(exchange: Exchange) -> AsyncIterator[bytes]:
    """Yield a request's body in pieces; raise ``UploadAborted`` when the rest will not arrive."""
    if exchange.upload is not None:
        async for piece in exchange.upload:
            yield piece
    body = exchange.request.body
    for start in range(0, len(body), BODY_SLICE_BYTES):
        yield body[start : start + BODY_SLICE_BYTES]


async def _results(context: "EntryContext", exchange: Exchange, team: TeamName) -> HttpReply:
    offset = _parse_int(exchange.request.query.get("offset"), 0, 0, 2**31, "offset")
    if isinstance(offset, Refusal):
        return refusal_reply(offset)
    job = JobId(exchange.values["job"])
    page = await context.jobs.results(team, job, offset, RESULTS_PAGE_BYTES)
    if isinstance(page, Refusal):
        return refusal_reply(page)
    headers = {
        "content-type": JSON_LINES_TYPE,
        "x-parsley-next-offset": str(page.next_offset),
        "x-parsley-complete": "true" if page.complete else "false",
    }
    return HttpReply(200, headers, page.lines)


def _parse_job_spec(
    exchange: Exchange, team: TeamName, settings: TeamSettings
) -> JobSpec | Refusal:
    headers = exchange.request.headers
    key = headers.get(IDEMPOTENCY_HEADER, "")
    if not 0 < len(key) <= MAX_KEY_CHARS or not key.isascii():
        allowed = f"1 to {MAX_KEY_CHARS} ASCII letters, the same in every resend of the job"
        return _bad_request(f"Idempotency-Key: got {key[:40]!r}; allowed: {allowed}")
    found = classify_batch(settings, headers.get(KIND_HEADER))
    if isinstance(found, Refusal):
        return found
    deadline_s = choose_deadline(headers.get(DEADLINE_HEADER), found.settings.deadline_s)
    if isinstance(deadline_s, Refusal):
        return deadline_s
    return JobSpec(team, key, found.kind, deadline_s)


def _status_reply(outcome: JobStatus | Refusal, status: int) -> HttpReply:
    if isinstance(outcome, Refusal):
        return refusal_reply(outcome)
    return json_reply(_job_body(outcome), status=status)


def _job_body(status: JobStatus) -> dict[str, Any]:
    return {
        "id": status.job,
        "object": "batch",
        "state": status.state.value,
        "items": status.items,
        "done": status.done,
        "failed": status.failed,
        "created_s": status.created_s,
        "deadline_s": status.deadline_s,
        "late": status.late,
        "bytes_stored": status.bytes_stored,
    }


def _parse_int(text: str | None, default: int, low: int, high: int, name: str) -> int | Refusal:
    if text is None:
        return default
    if text.isascii() and text.isdigit() and len(text) < 12 and low <= int(text) <= high:
        return int(text)
    return _bad_request(f"{name}: got {text[:40]!r}; allowed: a whole number from {low} to {high}")


def _bad_request(message: str) -> Refusal:
    return Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN)
