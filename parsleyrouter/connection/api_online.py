"""OpenAI-compatible routes: chat completions, completions and models."""

from typing import TYPE_CHECKING, Any

import msgspec

from parsleyrouter.connection.api_calls import answer_call, authenticate_team, new_request_id
from parsleyrouter.connection.http import HttpReply, json_reply, refusal_reply
from parsleyrouter.connection.http_server import Exchange, Routes
from parsleyrouter.ids import ModelName, TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.call_port import Call
from parsleyrouter.request.classification import KIND_HEADER, classify_model, model_refusal
from parsleyrouter.request.deadline import DEADLINE_HEADER, choose_deadline
from parsleyrouter.request.resume import RESUME_FIELD
from parsleyrouter.request.token_estimate import estimate_tokens
from parsleyrouter.version.schema import TeamSettings

if TYPE_CHECKING:
    from parsleyrouter.process.entry_context import EntryContext

__all__ = ["add_online_routes"]

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"


def add_online_routes(routes: Routes) -> None:
    """Register the OpenAI-compatible routes."""

    @routes.add("POST", CHAT_PATH)
    async def chat(context: "EntryContext", exchange: Exchange) -> HttpReply | None:
        return await _complete(context, exchange, CHAT_PATH, "messages")

    @routes.add("POST", COMPLETIONS_PATH)
    async def completions(context: "EntryContext", exchange: Exchange) -> HttpReply | None:
        return await _complete(context, exchange, COMPLETIONS_PATH, "prompt")

    @routes.add("GET", "/v1/models")
    async def models(context: "EntryContext", exchange: Exchange) -> HttpReply:
        authenticated = authenticate_team(context, exchange)
        if isinstance(authenticated, Refusal):
            return refusal_reply(authenticated)
        data = [_model_body(name, authenticated[0]) for name in sorted(authenticated[1].models)]
        return json_reply({"object": "list", "data": data})

    @routes.add("GET", "/v1/models/{model:rest}")
    async def model(context: "EntryContext", exchange: Exchange) -> HttpReply:
        authenticated = authenticate_team(context, exchange)
        if isinstance(authenticated, Refusal):
            return refusal_reply(authenticated)
        name = exchange.values["model"]
        refused = model_refusal(authenticated[1], name)
        return (
            refusal_reply(refused) if refused else json_reply(_model_body(name, authenticated[0]))
        )


async def _complete(
    context: "EntryContext", exchange: Exchange, path: str, required_field: str
) -> HttpReply | None:
    authenticated = authenticate_team(context, exchange)
    if isinstance(authenticated, Refusal):
        return refusal_reply(authenticated)
    body = _decode(exchange.request.body, required_field)
    if isinstance(body, Refusal):
        return refusal_reply(body)
    call = _build_call(exchange, path, body, *authenticated)
    if isinstance(call, Refusal):
        return refusal_reply(call)
    return await answer_call(context, exchange, call, streamed=body.get("stream") is True)


def _decode(data: bytes, required_field: str) -> dict[str, Any] | Refusal:
    try:
        body = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _bad_request(f"the body is not JSON in UTF-8: {error}")
    if not isinstance(body, dict):
        return _bad_request("the body must be a JSON object")
    if not isinstance(body.get("model"), str):
        return _bad_request("'model' must name a model; GET /v1/models lists them")
    if RESUME_FIELD in body:
        return _bad_request(f"{RESUME_FIELD!r} is not for callers: leave it out")
    if body.get(required_field) is None:
        return _bad_request(f"{required_field!r} is missing")
    return body


def _build_call(
    exchange: Exchange, path: str, body: dict[str, Any], team: TeamName, settings: TeamSettings
) -> Call | Refusal:
    headers = exchange.request.headers
    model = ModelName(body["model"])
    found = classify_model(settings, path, model, headers.get(KIND_HEADER))
    if isinstance(found, Refusal):
        return found
    deadline_s = choose_deadline(headers.get(DEADLINE_HEADER), found.settings.deadline_s)
    if isinstance(deadline_s, Refusal):
        return deadline_s
    estimate = estimate_tokens(body)
    return Call(
        request=new_request_id(),
        team=team,
        kind=found.kind,
        settings=found.settings,
        method="POST",
        path=path,
        body=exchange.request.body,
        model=model,
        deadline_in_s=deadline_s,
        prompt_tokens=estimate.prompt_tokens,
        output_tokens=estimate.output_tokens,
        prefix_key=estimate.prefix_key,
    )


def _model_body(name: str, team: TeamName) -> dict[str, Any]:
    return {"id": name, "object": "model", "created": 0, "owned_by": team}


def _bad_request(message: str) -> Refusal:
    return Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN)
