"""Answers of the stand-in engine, a function of model and prompt that tests can recompute."""

from collections.abc import Mapping, Sequence
from typing import Any

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

__all__ = ["answer_text", "answer_token", "prompt_text", "prompt_tokens"]

BYTES_PER_TOKEN = 4
WORDS = ("amber", "slate", "harbor", "meadow", "copper", "violet", "cedar", "stone")


def prompt_text(body: Mapping[str, Any]) -> str:
    """Return the prompt of a chat or completion request as one text."""
    if "messages" not in body:
        prompt = body.get("prompt", "")
        return prompt if isinstance(prompt, str) else "\n".join(map(str, prompt))
    messages: Sequence[Mapping[str, Any]] = body["messages"]
    return "\n".join(f"{one.get('role', '')}: {_content(one)}" for one in messages)


def prompt_tokens(prompt: str) -> int:
    """Return the number of tokens that the stand-in counts for a prompt."""
    return max(1, len(prompt.encode()) // BYTES_PER_TOKEN)


def answer_token(model: str, prompt: str, index: int, count: int) -> str:
    """Return one token of an answer of ``count`` tokens.

    The first token contains the hash of model and prompt and the last one the count, so that
    tests detect swapped and truncated answers.
    """
    if index == 0:
        return f"answer-{xxh3_64_hexdigest(f'{model}|{prompt}'.encode())}"
    if index == count - 1:
        return f" end-{count}"
    return " " + WORDS[xxh3_64_intdigest(prompt.encode(), seed=index) % len(WORDS)]


def answer_text(model: str, prompt: str, count: int) -> str:
    """Return the whole answer of ``count`` tokens."""
    return "".join(answer_token(model, prompt, index, count) for index in range(count))


def _content(message: Mapping[str, Any]) -> str:
    content = message.get("content") or ""
    if isinstance(content, str):
        return content
    return " ".join(part.get("text", "") for part in content)
