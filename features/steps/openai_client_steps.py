"""Steps for a stock OpenAI client that runs in a thread next to the entry's event loop."""

from collections.abc import Callable
from typing import Any

import openai
from behave import then, when

from features.support.entry import KEY, ScriptedEndpoint, TestEntry, start_entry, truncate_stream
from features.support.loop import run_on_loop
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.answers import answer_text, prompt_text
from parsleyrouter.standins.engine import Engine
from parsleyrouter.standins.engine_batch import EngineSpec

MESSAGES: list[Any] = [{"role": "user", "content": "Which meetup suits me in Kumasi?"}]


def client_for(entry: TestEntry, key: str = KEY) -> openai.OpenAI:
    """Return a client for an entry."""
    return openai.OpenAI(base_url=f"http://{entry.address}/v1", api_key=key, max_retries=0)


def streamed_text(client: openai.OpenAI) -> str:
    """Return the text of a streamed chat response."""
    chunks = client.chat.completions.create(model="small", messages=MESSAGES, stream=True)
    return "".join(chunk.choices[0].delta.content or "" for chunk in chunks)


@when("openai: a client chats, streams, completes and lists models")
def use_client(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        engine = Engine(runtime, spec=EngineSpec(models=("small",), step_s=0.002))
        engine.register(runtime)
        entry = start_entry(runtime)
        entry.grants.endpoints = [_EngineEndpoint(await engine.address)]  # type: ignore[list-item]
        client = client_for(entry)

        def use() -> None:
            context.chat = client.chat.completions.create(model="small", messages=MESSAGES)
            context.streamed = streamed_text(client)
            context.completion = client.completions.create(model="small", prompt="hello")
            context.models = [model.id for model in client.models.list()]
            context.one_model = client.models.retrieve("small")

        await runtime.loop.run_blocking(use)
        context.whole = answer_text("small", prompt_text({"messages": MESSAGES}), 24)

    run_on_loop(main)


class _EngineEndpoint:
    name = "engine"

    def __init__(self, address: str) -> None:
        self.address = address


@then("openai: it gets complete responses with usage and the team's models")
def client_answers(context: Any) -> None:
    assert context.chat.choices[0].message.content == context.whole
    assert context.chat.usage.completion_tokens == 24
    assert context.streamed == context.whole
    assert context.completion.choices[0].text
    assert context.models == ["small"] and context.one_model.owned_by == "nkabom"


@when("openai: a client sends a wrong key, an unknown model, too much, and gets a cut stream")
def cause_errors(context: Any) -> None:
    context.errors = {}

    async def main(runtime: Runtime) -> None:
        limits = {"online_per_s": 1}
        entry = start_entry(runtime, ScriptedEndpoint(runtime, "e", truncate_stream), limits=limits)
        client = client_for(entry)

        def catch(name: str, call: Callable[[], Any]) -> None:
            try:
                call()
            except openai.OpenAIError as error:
                context.errors[name] = error

        def use() -> None:
            catch("key", lambda: client_for(entry, "sk-no").models.list())
            chat = client.chat.completions
            catch("model", lambda: chat.create(model="none", messages=MESSAGES))
            catch("kind", lambda: chat.create(model="small", messages=MESSAGES, extra_headers=KIND))
            catch("stream", lambda: streamed_text(client))
            catch("rate", lambda: streamed_text(client))

        await runtime.loop.run_blocking(use)

    run_on_loop(main)


KIND = {"X-Parsley-Kind": "nothing"}


@then("openai: it raises the matching errors, which say whether the request ran")
def client_errors(context: Any) -> None:
    errors = context.errors
    expected = {
        "key": (openai.AuthenticationError, "not_run"),
        "model": (openai.NotFoundError, "not_run"),
        "kind": (openai.BadRequestError, "not_run"),
        "stream": (openai.APIError, "ran"),
        "rate": (openai.RateLimitError, "not_run"),
    }
    for name, (kind, ran) in expected.items():
        assert isinstance(errors.get(name), kind), (name, errors.get(name))
        assert errors[name].body["ran"] == ran, (name, errors[name].body)
    assert int(errors["rate"].response.headers["retry-after"]) >= 1
