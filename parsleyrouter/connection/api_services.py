"""``POST /v1/services/<application>/<path>``: calls to plain services."""

from typing import TYPE_CHECKING

from parsleyrouter.connection.api_calls import (
    IDEMPOTENCY_HEADER,
    answer_call,
    authenticate_team,
    new_request_id,
)
from parsleyrouter.connection.http import HttpReply, refusal_reply
from parsleyrouter.connection.http_server import Exchange, Routes
from parsleyrouter.ids import TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.call_port import Call
from parsleyrouter.request.classification import KIND_HEADER, classify_application
from parsleyrouter.request.deadline import DEADLINE_HEADER, choose_deadline
from parsleyrouter.version.schema import TeamSettings

if TYPE_CHECKING:
    from parsleyrouter.process.entry_context import EntryContext

__all__ = ["add_service_routes"]

FORWARDED_HEADERS = ("content-type", "accept", IDEMPOTENCY_HEADER)


def add_service_routes(routes: Routes) -> None:
    """Register the route for plain services."""

    @routes.add("POST", "/v1/services/{application}/{path:rest}")
    async def call_service(context: "EntryContext", exchange: Exchange) -> HttpReply | None:
        authenticated = authenticate_team(context, exchange)
        if isinstance(authenticated, Refusal):
            return refusal_reply(authenticated)
        call = _build_call(exchange, *authenticated)
        if isinstance(call, Refusal):
            return refusal_reply(call)
        return await answer_call(context, exchange, call, streamed=False)


def _build_call(exchange: Exchange, team: TeamName, settings: TeamSettings) -> Call | Refusal:
    headers = exchange.request.headers
    forwarded = {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
    if not all(value.isascii() for value in forwarded.values()):
        names = ", ".join(FORWARDED_HEADERS)
        message = f"the headers {names} must be ASCII"
        return Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN)
    application = exchange.values["application"]
    path = exchange.values["path"]
    found = classify_application(settings, application, path, headers.get(KIND_HEADER))
    if isinstance(found, Refusal):
        return found
    deadline_s = choose_deadline(headers.get(DEADLINE_HEADER), found.settings.deadline_s)
    if isinstance(deadline_s, Refusal):
        return deadline_s
    return Call(
        request=new_request_id(),
        team=team,
        kind=found.kind,
        settings=found.settings,
        method="POST",
        path=f"/{path}",
        body=exchange.request.body,
        application=application,
        headers=forwarded,
        deadline_in_s=deadline_s,
    )
