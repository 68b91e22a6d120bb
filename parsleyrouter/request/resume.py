"""Resume an interrupted generation by the token that the engine sends with each event."""

import msgspec

__all__ = ["RESUME_FIELD", "has_finish_reason", "resume_body", "resume_token", "cancelled_token"]

RESUME_FIELD = "parsley_resume"

_TOKEN_PREFIXES = (b'"parsley_resume":"', b'"parsley_resume": "')
_FINISH_PREFIXES = (b'"finish_reason":"', b'"finish_reason": "')


def resume_token(events: bytes) -> str:
    """Return the last token in complete events, empty if there is none.

    Quotes in generated text are escaped, so the text cannot be mistaken for a token.
    """
    index, prefix = max((events.rfind(prefix), prefix) for prefix in _TOKEN_PREFIXES)
    if index < 0:
        return ""
    start = index + len(prefix)
    return events[start : events.index(b'"', start)].decode("ascii", "replace")


def has_finish_reason(events: bytes) -> bool:
    """Return whether complete events contain a finish reason, that is the end of a generation."""
    return any(prefix in events for prefix in _FINISH_PREFIXES)


def resume_body(body: bytes, token: str) -> bytes:
    """Return the request body that resumes at a token."""
    return msgspec.json.encode(msgspec.json.decode(body) | {RESUME_FIELD: token})


def cancelled_token(body: bytes) -> str | None:
    """Return the token in the reply to a cancellation, ``None`` if nothing was cancelled."""
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return None
    token = value.get(RESUME_FIELD) if isinstance(value, dict) else None
    return token if isinstance(token, str) else None
