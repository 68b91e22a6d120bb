"""HTTP routes for operators: settings, audit trail, status and jobs."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import Any, Protocol

from parsleyrouter.connection.http import HttpReply, json_reply, refusal_reply
from parsleyrouter.connection.http_server import Exchange, Routes
from parsleyrouter.connection.key_value import KeyValueFailure
from parsleyrouter.decoding import JSON_ERRORS
from parsleyrouter.ids import Revision, TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.agent import Agent
from parsleyrouter.process.fleet_view import NodeInfo
from parsleyrouter.process.job_port import Jobs, JobStatus
from parsleyrouter.process.operators import Operator, Operators
from parsleyrouter.process.settings_editor import (
    UNSET,
    Accepted,
    Author,
    ChangeFailure,
    ChangeFailureKind,
    SettingsEditor,
)
from parsleyrouter.thrift_gen.fleet.ttypes import NodeStatus
from parsleyrouter.version.paths import InvalidPath, SettingsPath, closest_match, get_at, parse_path
from parsleyrouter.version.records import InvalidRecord
from parsleyrouter.version.schema import OperatorRole

__all__ = ["SettingsApi", "add_settings_routes"]

MAX_HISTORY_LIMIT = 200
MAX_JOBS_LIMIT = 1000

_REFUSAL_KINDS = {
    ChangeFailureKind.INVALID: (RefusalKind.BAD_REQUEST, ExecutionStatus.NOT_RUN),
    ChangeFailureKind.NOT_SET: (RefusalKind.NOT_FOUND, ExecutionStatus.NOT_RUN),
    ChangeFailureKind.CONFLICT: (RefusalKind.CONFLICT, ExecutionStatus.NOT_RUN),
    ChangeFailureKind.UNAVAILABLE: (RefusalKind.PLATFORM_UNAVAILABLE, ExecutionStatus.NOT_RUN),
    ChangeFailureKind.UNKNOWN: (RefusalKind.PLATFORM_UNAVAILABLE, ExecutionStatus.UNKNOWN),
}


class JobsContext(Protocol):
    """Handler context with access to the jobs of teams."""

    jobs: Jobs


@dataclass
class SettingsApi:
    """Dependencies of the operator routes."""

    settings_editor: SettingsEditor
    agent: Agent
    operators: Operators


def add_settings_routes(routes: Routes, api: SettingsApi) -> None:
    """Register ``/v1/settings/<path>``, ``/v1/audit/<path>``, ``/v1/status`` and ``/v1/jobs``.

    ``/v1/jobs`` needs a context with ``jobs``, which the entry process has.
    """
    _add_operator_route(routes, api, "GET", "/v1/settings/{path:rest}", OperatorRole.READ, _read)
    _add_operator_route(routes, api, "PUT", "/v1/settings/{path:rest}", OperatorRole.WRITE, _put)
    _add_operator_route(
        routes, api, "DELETE", "/v1/settings/{path:rest}", OperatorRole.WRITE, _unset
    )
    _add_operator_route(routes, api, "GET", "/v1/audit/{path:rest}", OperatorRole.READ, _audit)
    _add_operator_route(routes, api, "GET", "/v1/status", OperatorRole.READ, _status)
    _add_jobs_route(routes, api)


OperatorHandler = Callable[[SettingsApi, Operator, Exchange], Awaitable[HttpReply]]


def _add_jobs_route(routes: Routes, api: SettingsApi) -> None:
    @routes.add("GET", "/v1/jobs")
    async def answer(context: JobsContext, exchange: Exchange) -> HttpReply:
        operator = api.operators.find(exchange.request.headers, OperatorRole.READ)
        if isinstance(operator, Refusal):
            return refusal_reply(operator)
        query = exchange.request.query
        limit = query.get("limit", "100")
        if not limit.isdecimal() or not 1 <= int(limit) <= MAX_JOBS_LIMIT:
            return _refuse(RefusalKind.BAD_REQUEST, f"limit must be 1 to {MAX_JOBS_LIMIT}")
        team = TeamName(query.get("team", ""))
        if team not in api.agent.settings().teams:
            hint = closest_match(team, api.agent.settings().teams)
            return _refuse(RefusalKind.NOT_FOUND, f"no team {team!r}: did you mean {hint!r}?")
        found = await context.jobs.list(team, query.get("after", ""), int(limit))
        if isinstance(found, Refusal):
            return refusal_reply(found)
        return json_reply({"team": team, "jobs": [_job_body(status) for status in found]})


def _job_body(status: JobStatus) -> dict[str, Any]:
    return {**asdict(status), "state": status.state.value}


def _add_operator_route(
    routes: Routes,
    api: SettingsApi,
    method: str,
    path: str,
    role: OperatorRole,
    action: OperatorHandler,
) -> None:
    @routes.add(method, path)
    async def answer(_: Any, exchange: Exchange) -> HttpReply:
        operator = api.operators.find(exchange.request.headers, role)
        if isinstance(operator, Refusal):
            return refusal_reply(operator)
        try:
            return await action(api, operator, exchange)
        except InvalidPath as error:
            return _refuse(RefusalKind.BAD_REQUEST, str(error))
        except InvalidRecord as error:
            return _refuse(RefusalKind.INTERNAL, str(error))


async def _read(api: SettingsApi, operator: Operator, exchange: Exchange) -> HttpReply:
    path = parse_path(exchange.values["path"])
    current = await api.settings_editor.get(path.subtree)
    if isinstance(current, KeyValueFailure):
        return _refuse(RefusalKind.PLATFORM_UNAVAILABLE, f"{current.message}; try again later")
    try:
        value = get_at(current.value, path.segments)
    except KeyError:
        value = None
    body = {
        "path": str(path),
        "value": value,
        "set": value is not None,
        "version": current.version,
        "revision": current.revision,
    }
    return json_reply(body)


async def _put(api: SettingsApi, operator: Operator, exchange: Exchange) -> HttpReply:
    try:
        new = exchange.request.json()
    except JSON_ERRORS as error:
        return _refuse(RefusalKind.BAD_REQUEST, f"the body is not JSON: {error}")
    return await _change(api, operator, exchange, new)


async def _unset(api: SettingsApi, operator: Operator, exchange: Exchange) -> HttpReply:
    return await _change(api, operator, exchange, UNSET)


async def _change(api: SettingsApi, operator: Operator, exchange: Exchange, new: Any) -> HttpReply:
    path = parse_path(exchange.values["path"])
    query = exchange.request.query
    expected = query.get("version")
    if expected is not None and not expected.isdecimal():
        return _refuse(RefusalKind.BAD_REQUEST, "version must be the number that was read")
    author = Author(operator.name, exchange.request.remote, time.time())
    outcome = await api.settings_editor.change(
        path,
        new,
        author,
        expected_version=None if expected is None else int(expected),
        dry_run=query.get("dry_run") == "true",
    )
    return _change_reply(outcome)


def _change_reply(outcome: Accepted | ChangeFailure) -> HttpReply:
    if isinstance(outcome, Accepted):
        return json_reply({"revision": outcome.revision, "change": outcome.change})
    kind, ran = _REFUSAL_KINDS[outcome.kind]
    body = Refusal(kind, outcome.message, ran).body()
    body["error"]["faults"] = [asdict(fault) for fault in outcome.faults]
    body["error"]["other"] = outcome.other
    return json_reply(body, status=Refusal(kind, "", ran).status)


async def _audit(api: SettingsApi, operator: Operator, exchange: Exchange) -> HttpReply:
    path = parse_path(exchange.values["path"])
    limit = exchange.request.query.get("limit", "50")
    if not limit.isdecimal() or not 1 <= int(limit) <= MAX_HISTORY_LIMIT:
        return _refuse(RefusalKind.BAD_REQUEST, f"limit must be 1 to {MAX_HISTORY_LIMIT}")
    changes = await api.settings_editor.history(path.subtree, int(limit))
    if isinstance(changes, KeyValueFailure):
        return _refuse(RefusalKind.PLATFORM_UNAVAILABLE, f"{changes.message}; try again later")
    matching = [change for change in changes if _paths_overlap(path, parse_path(change.path))]
    return json_reply({"path": str(path), "changes": matching})


def _paths_overlap(requested: SettingsPath, changed: SettingsPath) -> bool:
    shared = min(len(requested.segments), len(changed.segments))
    return requested.segments[:shared] == changed.segments[:shared]


async def _status(api: SettingsApi, operator: Operator, exchange: Exchange) -> HttpReply:
    settings = api.agent.settings()
    requested = exchange.request.query.get("revision", str(settings.revision))
    if not requested.isdecimal():
        return _refuse(RefusalKind.BAD_REQUEST, "revision must be a number")
    revision = Revision(int(requested))
    answers = await api.agent.query_all(revision)
    teams = {
        name: {"models": len(team.models), "kinds": len(team.kinds), "keys": len(team.keys)}
        for name, team in settings.teams.items()
    }
    body = {
        "node": api.agent.self_node().node,
        "revision": settings.revision,
        "proved_current": settings.proved_current,
        "asked_revision": revision,
        "nodes": [_node_body(info, answers.get(info.node)) for info in api.agent.nodes()],
        "teams": teams,
    }
    return json_reply(body)


def _node_body(info: NodeInfo, status: NodeStatus | None) -> dict[str, Any]:
    return {
        "node": info.node,
        "domain": info.domain,
        "state": info.state.value,
        "load": info.load,
        "answers": status is not None,
        "in_force": status is not None and status.in_force,
        "proved_current": status is not None and status.proved_current,
        "services": {service.value: address for service, address in info.addresses.items()},
    }


def _refuse(kind: RefusalKind, message: str) -> HttpReply:
    return refusal_reply(Refusal(kind, message, ExecutionStatus.NOT_RUN))
