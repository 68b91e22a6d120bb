"""One item of a batch job: its line as submitted and its line as a result."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from parsleyrouter.decoding import JSON_ERRORS, MAX_COUNT
from parsleyrouter.ids import ItemIndex, ModelName
from parsleyrouter.version.schema import TeamSettings

__all__ = [
    "BatchItem",
    "InvalidItem",
    "ItemOutcome",
    "ItemResult",
    "index_of_line",
    "may_repeat",
    "read_item",
    "result_line",
]

MODEL_URLS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/v1/services/"
CUSTOM_ID_CHARACTERS = 256


class InvalidItem(ValueError):
    """Invalid line of an item; the message gives the reason."""


class ItemOutcome(Enum):
    """How an item ended; an ``unknown`` item may have run and is never run again."""

    OK = "ok"
    ERROR = "error"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class BatchItem:
    """One validated item; ``path`` is the path of the request to its endpoint."""

    custom_id: str
    path: str
    body: bytes
    model: ModelName = ModelName("")
    application: str = ""
    output_tokens: int = 0


@dataclass(frozen=True)
class ItemResult:
    """The result of an item."""

    outcome: ItemOutcome
    status: int = 0
    body: bytes = b""
    error: str = ""


class _Line(msgspec.Struct, forbid_unknown_fields=True):
    custom_id: str
    url: str
    body: msgspec.Raw
    method: str = "POST"


class _ModelBody(msgspec.Struct):
    model: str
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


class _IndexOnly(msgspec.Struct):
    index: int


_line_decoder = msgspec.json.Decoder(_Line)
_body_decoder = msgspec.json.Decoder(_ModelBody)
_index_decoder = msgspec.json.Decoder(_IndexOnly)


def read_item(line: bytes) -> BatchItem:
    """Read one JSON line; raise ``InvalidItem`` with the reason."""
    try:
        parsed = _line_decoder.decode(line)
    except JSON_ERRORS as error:
        raise InvalidItem(f"{error}") from error
    if not 0 < len(parsed.custom_id) <= CUSTOM_ID_CHARACTERS:
        raise InvalidItem(f"custom_id must have 1 to {CUSTOM_ID_CHARACTERS} characters")
    if parsed.method != "POST":
        raise InvalidItem("method must be POST")
    body = bytes(parsed.body)
    if not body.startswith(b"{"):
        raise InvalidItem("body must be a JSON object")
    if parsed.url in MODEL_URLS:
        return _model_item(parsed, body)
    return _service_item(parsed, body)


def _model_item(parsed: _Line, body: bytes) -> BatchItem:
    try:
        fields = _body_decoder.decode(body)
    except JSON_ERRORS as error:
        raise InvalidItem(f"body: {error}") from error
    tokens = min(fields.max_completion_tokens or fields.max_tokens or 0, MAX_COUNT)
    return BatchItem(
        parsed.custom_id, parsed.url, body, model=ModelName(fields.model), output_tokens=tokens
    )


def _service_item(parsed: _Line, body: bytes) -> BatchItem:
    application, slash, path = parsed.url.removeprefix(SERVICE_PREFIX).partition("/")
    if not parsed.url.startswith(SERVICE_PREFIX) or not application or not slash:
        known = ", ".join((*MODEL_URLS, SERVICE_PREFIX + "<application>/<path>"))
        raise InvalidItem(f"url must be one of {known}")
    return BatchItem(parsed.custom_id, f"/{path}", body, application=application)


def may_repeat(item: BatchItem, team: TeamSettings, kind_idempotent: bool) -> bool:
    """Return whether an item may be run more than once."""
    if not item.application:
        return kind_idempotent
    application = team.applications.get(item.application)
    if application is None:
        return False
    path = item.path.lstrip("/")
    unrepeatable = any(path.startswith(prefix.lstrip("/")) for prefix in application.no_repeat)
    return kind_idempotent and not unrepeatable


def result_line(index: ItemIndex, custom_id: str, result: ItemResult) -> bytes:
    """Return the JSON line of a result, with its newline."""
    response: Any = None
    if result.status:
        response = {"status_code": result.status, "body": _as_json(result.body)}
    error = {"message": result.error} if result.error else None
    fields = {
        "custom_id": custom_id,
        "index": index,
        "outcome": result.outcome.value,
        "response": response,
        "error": error,
    }
    return msgspec.json.encode(fields) + b"\n"


def index_of_line(line: bytes) -> ItemIndex:
    """Return the item index of a result line."""
    return ItemIndex(_index_decoder.decode(line).index)


def _as_json(body: bytes) -> Any:
    try:
        msgspec.json.decode(body)
    except JSON_ERRORS:
        return body.decode(errors="replace")
    return msgspec.Raw(body.replace(b"\n", b" ").replace(b"\r", b" "))
