"""HTTP message types shared by clients and servers."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from parsleyrouter.outcome import Refusal

__all__ = [
    "FINAL_STATUSES",
    "HttpReply",
    "HttpRequest",
    "Sent",
    "TransportFailure",
    "json_reply",
    "refusal_reply",
]

JSON_TYPE = "application/json"

FINAL_STATUSES = range(200, 600)
"""Statuses of a reply that ends its request."""


@dataclass(frozen=True)
class HttpRequest:
    """One complete request; header names are lower case."""

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    remote: str = ""

    def json(self) -> Any:
        """Decode the body; raise ``msgspec.DecodeError`` when it is not JSON."""
        return msgspec.json.decode(self.body)


@dataclass(frozen=True)
class HttpReply:
    """One complete reply; header names are lower case."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    def json(self) -> Any:
        """Decode the body; raise ``msgspec.DecodeError`` when it is not JSON."""
        return msgspec.json.decode(self.body)


class Sent(Enum):
    """How much of a request the server may have received."""

    NOTHING = "nothing"
    MAYBE = "maybe"


@dataclass(frozen=True)
class TransportFailure:
    """An exchange that ended without a complete reply."""

    message: str
    sent: Sent


def json_reply(value: Any, status: int = 200) -> HttpReply:
    """Return a reply with a JSON body."""
    return HttpReply(status, {"content-type": JSON_TYPE}, msgspec.json.encode(value))


def refusal_reply(refusal: Refusal) -> HttpReply:
    """Return the reply that reports a refusal to the caller."""
    headers = {"content-type": JSON_TYPE}
    if refusal.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(refusal.retry_after_s)))
    return HttpReply(refusal.status, headers, msgspec.json.encode(refusal.body()))
