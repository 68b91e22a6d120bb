"""Refusals that callers receive."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

__all__ = ["ExecutionStatus", "Refusal", "RefusalKind"]


class ExecutionStatus(Enum):
    """Whether a refused request was executed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class RefusalKind(Enum):
    """Reason for a refusal; the value is the ``kind`` of the JSON error."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    TOO_MANY = "too_many"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    STOPPING = "stopping"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    STORAGE_UNAVAILABLE = "storage_unavailable"
    ENDPOINT_FAILED = "endpoint_failed"
    CANCELLED = "cancelled"
    QUARANTINED = "quarantined"
    """A part of the request has crashed endpoints."""
    INTERNAL = "internal"


_STATUS = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.UNAUTHENTICATED: 401,
    RefusalKind.FORBIDDEN: 403,
    RefusalKind.NOT_FOUND: 404,
    RefusalKind.CONFLICT: 409,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.TOO_MANY: 429,
    RefusalKind.OVERLOADED: 503,
    RefusalKind.DEADLINE: 504,
    RefusalKind.STOPPING: 503,
    RefusalKind.PLATFORM_UNAVAILABLE: 503,
    RefusalKind.STORAGE_UNAVAILABLE: 503,
    RefusalKind.ENDPOINT_FAILED: 502,
    RefusalKind.CANCELLED: 409,
    RefusalKind.QUARANTINED: 503,
    RefusalKind.INTERNAL: 500,
}


@dataclass(frozen=True)
class Refusal:
    """A request without a complete response; the message says what the caller can do."""

    kind: RefusalKind
    message: str
    ran: ExecutionStatus
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return _STATUS[self.kind]

    def body(self) -> dict[str, Any]:
        """Return the JSON error body in the format of the OpenAI API."""
        error: dict[str, Any] = {
            "kind": self.kind.value,
            "type": self.kind.value,
            "code": self.kind.value,
            "message": self.message,
            "ran": self.ran.value,
        }
        if self.retry_after_s is not None:
            error["retry_after_s"] = self.retry_after_s
        return {"error": error}
