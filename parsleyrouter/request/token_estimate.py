"""Estimate the tokens of a language-model request without a tokenizer."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["TokenEstimate", "estimate_tokens"]

BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
PREFIX_BYTES = 1024


@dataclass(frozen=True)
class TokenEstimate:
    """Expected tokens of prompt and output; equal prompt beginnings share ``prefix_key``."""

    prompt_tokens: int
    output_tokens: int
    prefix_key: str


def estimate_tokens(body: Mapping[str, Any]) -> TokenEstimate:
    """Estimate from the prompt's length and the caller's output limit."""
    text = _prompt_text(body)
    data = text.encode("utf-8", "replace")
    model = str(body.get("model", ""))
    prefix = hashlib.sha256(model.encode("utf-8", "replace") + b"\0" + data[:PREFIX_BYTES])
    return TokenEstimate(
        prompt_tokens=max(1, len(data) // BYTES_PER_TOKEN),
        output_tokens=_output_limit(body),
        prefix_key=prefix.hexdigest()[:16],
    )


def _output_limit(body: Mapping[str, Any]) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = body.get(name)
        if isinstance(value, int) and value > 0:
            return min(value, 1_000_000)
    return DEFAULT_OUTPUT_TOKENS


def _prompt_text(body: Mapping[str, Any]) -> str:
    messages = body.get("messages")
    if isinstance(messages, list):
        return "\n".join(_message_text(message) for message in messages)
    return _content_text(body.get("prompt"))


def _message_text(message: Any) -> str:
    if not isinstance(message, dict):
        return ""
    return f"{message.get('role', '')}:{_content_text(message.get('content'))}"


def _content_text(content: Any) -> str:
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(_content_text(part) for part in content)
    if isinstance(content, dict):
        return _content_text(content.get("text"))
    return ""
