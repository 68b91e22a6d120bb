"""An entry in the test process, with endpoints whose behaviour a test scripts."""

import itertools
import json
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from parsleyrouter.connection.authentication import Authentication, hash_key
from parsleyrouter.connection.call_client import ATTEMPT_HEADER
from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange, HttpServer, Routes
from parsleyrouter.connection.public_http_server import PublicHttpServer
from parsleyrouter.ids import Address, DomainName, EndpointId, GrantId, JobId, NodeId, TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.call_dispatcher import CallDispatcher
from parsleyrouter.process.entry import EntryContext, entry_routes
from parsleyrouter.process.entry_locator import EntryLocator
from parsleyrouter.process.fleet_view import NodeInfo, Service, StaticFleetView
from parsleyrouter.process.grant_port import CallResult, Grant, GrantRequest
from parsleyrouter.process.idempotency_claims import IdempotencyClaims
from parsleyrouter.process.job_port import JobSpec, JobState, JobStatus, ResultPage
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.team_limiter import TeamLimiter
from parsleyrouter.standins.memory_key_value import MemoryKeyValue
from parsleyrouter.version.schema import TeamSettings
from parsleyrouter.version.snapshot import SettingsSnapshot

KEY = "sk-accra"
OTHER_KEY = "sk-rennes"

Behaviour = Callable[["ScriptedEndpoint", Exchange], Awaitable[HttpReply | None]]


def team_settings(key: str, **fields: Any) -> TeamSettings:
    """Return a team with one model and one application."""
    values: dict[str, Any] = {
        "keys": {"app": {"sha256": hash_key(key)}},
        "models": {"small": {}},
        "applications": {"cards": {"no_repeat": ["send"]}},
    }
    return TeamSettings.model_validate(values | fields)


class ScriptedEndpoint:
    """Respond to each request with the next behaviour of a script; repeat the last one."""

    def __init__(self, runtime: Runtime, name: str, *script: Behaviour) -> None:
        self.name = name
        self.script = list(script)
        self.seen: list[Exchange] = []
        self.executions: Counter[str] = Counter()
        self.gone = 0
        self.runtime = runtime
        routes = Routes()
        routes.add("POST", "/{path:rest}")(self._answer)
        self.server = HttpServer(runtime.loop, Address("127.0.0.1:0"), routes, None, channel=name)
        self.server.register(runtime)

    @property
    def address(self) -> str:
        """Return the listen address."""
        return self.server.bound_address()

    async def _answer(self, _: Any, exchange: Exchange) -> HttpReply | None:
        self.seen.append(exchange)
        behaviour = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        return await behaviour(self, exchange)


class FixedGrants:
    """Grant the first endpoint that is not excluded; record requests and open grants."""

    def __init__(self, *endpoints: ScriptedEndpoint) -> None:
        self.endpoints = list(endpoints)
        self.open: dict[GrantId, Callable[[], None] | None] = {}
        self.requests: list[GrantRequest] = []
        self.results: list[CallResult] = []
        self.numbers = itertools.count()

    async def acquire(
        self, request: GrantRequest, on_revoke: Callable[[], None] | None = None
    ) -> Grant | Refusal:
        """Grant at once."""
        self.requests.append(request)
        for endpoint in self.endpoints:
            if EndpointId(endpoint.name) not in request.exclude:
                grant = GrantId(str(next(self.numbers)))
                self.open[grant] = on_revoke
                return Grant(grant, request.attempt, EndpointId(endpoint.name), endpoint.address)
        return Refusal(
            RefusalKind.OVERLOADED, "no endpoint left: try later", ExecutionStatus.NOT_RUN
        )

    def release(self, grant: Grant, result: CallResult) -> None:
        """Release a slot; fails if it is released twice."""
        del self.open[grant.grant]
        self.results.append(result)


class InMemoryJobs:
    """Accept every job and store its body."""

    def __init__(self) -> None:
        self.bodies: dict[JobId, bytes] = {}
        self.largest_piece = 0
        self.statuses: dict[tuple[TeamName, JobId], JobStatus] = {}

    async def submit(self, spec: JobSpec, body: AsyncIterator[bytes]) -> JobStatus | Refusal:
        """Read the whole body."""
        data = bytearray()
        async for piece in body:
            self.largest_piece = max(self.largest_piece, len(piece))
            data += piece
        job = JobId(f"job-{spec.team}-{spec.idempotency_key}")
        self.bodies[job] = bytes(data)
        items = data.count(b"\n")
        status = JobStatus(job, JobState.RUNNING, items, 0, 0, 0.0, spec.deadline_in_s)
        self.statuses[spec.team, job] = status
        return status

    async def status(self, team: TeamName, job: JobId) -> JobStatus | Refusal:
        """Return a team's own job."""
        found = self.statuses.get((team, job))
        return found or Refusal(RefusalKind.NOT_FOUND, "no such job", ExecutionStatus.NOT_RUN)

    async def list(self, team: TeamName, after: str, limit: int) -> tuple[JobStatus, ...] | Refusal:
        """Return a team's own jobs."""
        return tuple(s for (owner, job), s in sorted(self.statuses.items()) if owner == team)

    async def cancel(self, team: TeamName, job: JobId) -> JobStatus | Refusal:
        """Return the job."""
        return await self.status(team, job)

    async def results(
        self, team: TeamName, job: JobId, offset: int, limit_bytes: int
    ) -> ResultPage | Refusal:
        """Return the items as if they were results."""
        found = await self.status(team, job)
        if isinstance(found, Refusal):
            return found
        lines = self.bodies[job].splitlines(keepends=True)
        return ResultPage(b"".join(lines[offset:]), len(lines), complete=True)


@dataclass
class TestEntry:
    """An entry with its test doubles."""

    runtime: Runtime
    grants: FixedGrants
    view: StaticFleetView
    context: EntryContext
    server: PublicHttpServer
    jobs: InMemoryJobs
    key_value: MemoryKeyValue
    teams: dict[TeamName, TeamSettings] = field(default_factory=dict)

    @property
    def address(self) -> Address:
        """Return the entry's listen address."""
        return self.server.bound_address()

    async def post(
        self, path: str, body: Any, *, key: str = KEY, timeout_s: float = 20.0, **headers: str
    ) -> Any:
        """Send a request as the team of ``key``; ``_`` in header names stands for ``-``."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return await self.runtime.http.request(
            self.address,
            "POST",
            path,
            headers={"authorization": f"Bearer {key}"} | named,
            body=data,
            timeout_s=timeout_s,
        )

    async def get(self, path: str, *, key: str = KEY, method: str = "GET") -> Any:
        """Send a request without a body."""
        headers = {"authorization": f"Bearer {key}"}
        return await self.runtime.http.request(self.address, method, path, headers=headers)


def start_entry(
    runtime: Runtime,
    *endpoints: ScriptedEndpoint,
    key_value: MemoryKeyValue | None = None,
    name: str = "entry-1",
    **fields: Any,
) -> TestEntry:
    """Start an entry that serves two teams; ``fields`` override the first one's settings."""
    teams = {
        TeamName("nkabom"): team_settings(KEY, **fields),
        TeamName("ardoise"): team_settings(OTHER_KEY, models={"shade": {}}),
    }
    me = NodeInfo(NodeId(name), DomainName("tema"))
    view = StaticFleetView(me, snapshot=SettingsSnapshot(teams=teams))
    grants = FixedGrants(*endpoints)
    store = key_value or MemoryKeyValue(runtime.loop)
    jobs = InMemoryJobs()
    context = EntryContext(
        runtime=runtime,
        view=view,
        calls=CallDispatcher(runtime, grants, view),
        jobs=jobs,
        authentication=Authentication(view),
        limits=TeamLimiter(),
        locator=EntryLocator(runtime.loop, view),
        claims=IdempotencyClaims(runtime.loop, store, me.node),
    )
    server = PublicHttpServer(
        runtime.loop, Address("127.0.0.1:0"), entry_routes(), context, channel=name
    )
    server.register(runtime)
    addresses = {Service.ENTRY: server.bound_address()}
    view.me = NodeInfo(me.node, me.domain, addresses)
    return TestEntry(runtime, grants, view, context, server, jobs, store, teams)


CHAT = {"model": "small", "messages": [{"role": "user", "content": "Akwaaba"}]}
STREAM = CHAT | {"stream": True}
CHAT_PATH = "/v1/chat/completions"
EVENTS = {"content-type": "text/event-stream"}


def chunk(text: str, **fields: Any) -> bytes:
    """Return one event of a streamed chat response."""
    choice = {"index": 0, "delta": {"role": "assistant", "content": text}, "finish_reason": None}
    base = {"id": "c", "object": "chat.completion.chunk", "created": 1, "model": "small"}
    return b"data: " + json.dumps(base | {"choices": [choice]} | fields).encode() + b"\n\n"


async def respond_ok(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply | None:
    """Respond completely, as the attempt, streamed if requested, and count the execution."""
    body = exchange.request.body
    named = {ATTEMPT_HEADER: exchange.request.headers.get(ATTEMPT_HEADER, "")}
    endpoint.executions[body.decode("utf-8", "replace")] += 1
    if b'"stream": true' not in body:
        reply = json_reply({"endpoint": endpoint.name, "sent": body.decode("utf-8", "replace")})
        return HttpReply(200, {**reply.headers, **named}, reply.body)
    stream = exchange.open_stream(200, EVENTS | named)
    for text in ("one ", "two ", "three"):
        stream.send(chunk(text))
    stream.send(b"data: [DONE]\n\n")
    stream.finish()
    return None


async def respond_503(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply | None:
    """Reject a call with 503."""
    return json_reply({"error": "full"}, status=503)


async def close_without_response(
    endpoint: ScriptedEndpoint, exchange: Exchange
) -> HttpReply | None:
    """Run a call and close before its first byte."""
    endpoint.executions[exchange.request.body.decode("utf-8", "replace")] += 1
    exchange.res.close = True
    exchange.server.end(exchange.res)
    exchange.stream = _Ended()
    return None


async def truncate_stream(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply | None:
    """Start a stream and close it after two events and a half."""
    stream = exchange.open_stream(200, EVENTS)
    stream.send(chunk("one "))
    stream.send(chunk("two "))
    stream.send(chunk("three")[:20])
    await endpoint.runtime.loop.sleep(0.05)
    stream.abort()
    return None


async def never_respond(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply | None:
    """Never respond; count the callers that disconnect."""
    gone = endpoint.runtime.loop.promise()
    exchange.on_caller_disconnect(lambda: gone.resolve(None))
    await gone
    endpoint.gone += 1
    return None


class _Ended:
    finished = True
