"""OpenAI-compatible routes of the stand-in engine."""

import secrets
import time
from typing import TYPE_CHECKING, Any

import msgspec

from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange, Routes
from parsleyrouter.standins.answers import (
    answer_text,
    answer_token,
    prompt_text,
    prompt_tokens,
)
from parsleyrouter.standins.engine_batch import Generation
from parsleyrouter.standins.stand_in import close_unanswered, error_reply, leave_unanswered

if TYPE_CHECKING:
    from parsleyrouter.standins.engine import Engine

__all__ = ["ATTEMPT_HEADER", "RESUME_FIELD", "routes"]

ATTEMPT_HEADER = "x-parsley-attempt"
RESUME_FIELD = "parsley_resume"
MAX_TOKENS = 4096

routes = Routes()


class _Completion:
    """One request to complete a prompt, as chat or as text."""

    def __init__(self, engine: "Engine", exchange: Exchange, chat: bool) -> None:
        self.engine = engine
        self.exchange = exchange
        self.chat = chat
        self.body: dict[str, Any] = exchange.request.json()
        self.attempt = exchange.request.headers.get(ATTEMPT_HEADER, "")
        self.id = self.attempt or f"generation-{secrets.token_hex(6)}"
        self.created = int(time.time())
        self.model = str(self.body.get("model", ""))
        self.prompt = prompt_text(self.body)

    def generation(self) -> Generation:
        """Return the requested generation; a resume token sets the position where it starts."""
        count = self.body.get("max_completion_tokens") or self.body.get("max_tokens")
        count = min(MAX_TOKENS, max(1, int(count or self.engine.spec.answer_tokens)))
        resume_of, _, position = str(self.body.get(RESUME_FIELD, "")).rpartition(":")
        emitted = min(int(position or 0), count - 1)
        return Generation(
            self.id, self.model, self.prompt, count, emitted=emitted, resume_of=resume_of
        )

    def key(self) -> str:
        """Return the key under which the caller counts executions."""
        metadata = self.body.get("metadata") or {}
        headers = self.exchange.request.headers
        return str(metadata.get("key") or headers.get("idempotency-key") or "")

    def headers(self) -> dict[str, str]:
        """Return response headers with the id of the attempt."""
        if not self.attempt:
            return {}
        if self.engine.faults.cross_answers > 0:
            self.engine.faults.cross_answers -= 1
            return {ATTEMPT_HEADER: f"{self.attempt}-other"}
        return {ATTEMPT_HEADER: self.attempt}

    def full_body(self, generation: Generation) -> dict[str, Any]:
        """Return the body of a complete response."""
        text = answer_text(generation.model, generation.prompt, generation.count)
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._finish_reason()}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.chat else "text_completion"
        return self._frame(kind, [choice]) | {"usage": self.usage(generation)}

    def token_event(self, generation: Generation) -> bytes:
        """Return the event of the token emitted last."""
        index = generation.emitted - 1
        text = answer_token(generation.model, generation.prompt, index, generation.count)
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        if self.chat:
            choice["delta"] = (
                {"role": "assistant", "content": text} if index == 0 else {"content": text}
            )
        else:
            choice["text"] = text
        if generation.done:
            choice["finish_reason"] = self._finish_reason()
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        resume = {RESUME_FIELD: resume_token(generation)}
        return _event(self._frame(kind, [choice]) | resume)

    def final_events(self, generation: Generation) -> bytes:
        """Return the events after the last token."""
        options = self.body.get("stream_options") or {}
        if not options.get("include_usage"):
            return b"data: [DONE]\n\n"
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        usage = self._frame(kind, []) | {"usage": self.usage(generation)}
        return _event(usage) + b"data: [DONE]\n\n"

    def usage(self, generation: Generation) -> dict[str, Any]:
        """Return the token counts."""
        prompt = prompt_tokens(generation.prompt)
        return {
            "prompt_tokens": prompt,
            "completion_tokens": generation.count,
            "total_tokens": prompt + generation.count,
            "prompt_tokens_details": {"cached_tokens": generation.cached_tokens},
        }

    def _finish_reason(self) -> str:
        limited = "max_tokens" in self.body or "max_completion_tokens" in self.body
        return "length" if limited else "stop"

    def _frame(self, kind: str, choices: list[dict[str, Any]]) -> dict[str, Any]:
        frame = {"id": self.id, "object": kind, "created": self.created, "model": self.model}
        return frame | {"choices": choices}


def resume_token(generation: Generation) -> str:
    """Return the token that resumes a generation after the tokens emitted so far."""
    return f"{generation.id}:{generation.emitted}"


def _event(body: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


async def _complete(engine: "Engine", exchange: Exchange, chat: bool) -> HttpReply | None:
    if engine.faults.down:
        close_unanswered(exchange)
        return None
    if engine.faults.refuse:
        return error_reply(503, "engine refuses work: try another")
    try:
        completion = _Completion(engine, exchange, chat)
        generation = completion.generation()
    except (msgspec.DecodeError, AttributeError, TypeError, ValueError) as error:
        return error_reply(400, f"cannot read the request: {error}")
    if completion.model not in engine.admin_state.models:
        loaded = sorted(engine.admin_state.models)
        return error_reply(404, f"model {completion.model!r} is not loaded; there are {loaded}")
    if completion.body.get("stream"):
        return await _stream(engine, exchange, completion, generation)
    state = await engine.begin(generation, completion.attempt, completion.key(), exchange)
    if state != "finished":
        return error_reply(409, f"{state}: {resume_token(generation)}")
    return _with_headers(json_reply(completion.full_body(generation)), completion.headers())


async def _stream(
    engine: "Engine", exchange: Exchange, completion: _Completion, generation: Generation
) -> HttpReply | None:
    headers = {"content-type": "text/event-stream", "cache-control": "no-cache"}
    stream = exchange.open_stream(200, headers | completion.headers())
    generation.on_token = lambda current: stream.send(completion.token_event(current))
    state = await engine.begin(generation, completion.attempt, completion.key(), exchange)
    if state == "finished":
        stream.send(completion.final_events(generation))
        stream.finish()
    return None


def _with_headers(reply: HttpReply, headers: dict[str, str]) -> HttpReply:
    return HttpReply(reply.status, {**reply.headers, **headers}, reply.body)


@routes.add("POST", "/v1/chat/completions")
async def chat(engine: "Engine", exchange: Exchange) -> HttpReply | None:
    """Complete a chat."""
    return await _complete(engine, exchange, chat=True)


@routes.add("POST", "/v1/completions")
async def complete(engine: "Engine", exchange: Exchange) -> HttpReply | None:
    """Complete a text."""
    return await _complete(engine, exchange, chat=False)


@routes.add("GET", "/v1/models")
async def models(engine: "Engine", exchange: Exchange) -> HttpReply:
    """List the models loaded."""
    listed = [
        {"id": name, "object": "model", "created": 0, "owned_by": "stand-in"}
        for name in sorted(engine.admin_state.models)
    ]
    return json_reply({"object": "list", "data": listed})


@routes.add("POST", "/cancel")
async def cancel(engine: "Engine", exchange: Exchange) -> HttpReply:
    """Stop the generation of an attempt and return the token that resumes it."""
    generation = engine.cancel(str(exchange.request.json().get("id", "")))
    if generation is None:
        return json_reply({"cancelled": False})
    return json_reply({"cancelled": True, RESUME_FIELD: resume_token(generation)})


@routes.add("GET", "/metrics")
async def metrics(engine: "Engine", exchange: Exchange) -> HttpReply | None:
    """Report the load in the Prometheus format, with a lag."""
    if engine.faults.down or engine.faults.load_silent or engine.faults.frozen:
        leave_unanswered(exchange)
        return None
    running, waiting = engine.load()
    cache = engine.batch.cache
    used = len(cache.blocks) / max(1, cache.limit_blocks)
    lines = [
        "# TYPE vllm:num_requests_running gauge",
        f"vllm:num_requests_running {running}",
        "# TYPE vllm:num_requests_waiting gauge",
        f"vllm:num_requests_waiting {waiting}",
        "# TYPE vllm:gpu_cache_usage_perc gauge",
        f"vllm:gpu_cache_usage_perc {used:.4f}",
        "",
    ]
    return HttpReply(200, {"content-type": "text/plain; version=0.0.4"}, "\n".join(lines).encode())


@routes.add("GET", "/events")
async def events(engine: "Engine", exchange: Exchange) -> HttpReply:
    """Return the visible cache events after ``?after=NUMBER``."""
    after = int(exchange.request.query.get("after", "0"))
    return json_reply({"events": engine.cache_events.visible(engine.loop.now(), after)})
