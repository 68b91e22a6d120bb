"""Continue a generation where it broke off, by the token that the engine gives with each event."""

import msgspec

__all__ = ["RESUME_FIELD", "finish_seen", "resume_body", "resume_token", "token_of_cancel"]

RESUME_FIELD = "parsley_resume"

_MARKS = (b'"parsley_resume":"', b'"parsley_resume": "')
_FINISH_MARKS = (b'"finish_reason":"', b'"finish_reason": "')


def resume_token(events: bytes) -> str:
    """Return the last token in whole events, empty when there is none.

    Quotes inside an answer's text are escaped, so the text cannot be taken for a token.
    """
    place, mark = max((events.rfind(mark), mark) for mark in _MARKS)
    if place < 0:
        return ""
    start = place + len(mark)
    return events[start : events.index(b'"', start)].decode("ascii", "replace")


def finish_seen(events: bytes) -> bool:
    """Tell whether the last token of an answer is among whole events."""
    return any(mark in events for mark in _FINISH_MARKS)


def resume_body(body: bytes, token: str) -> bytes:
    """Return the request that continues at a token."""
    return msgspec.json.encode(msgspec.json.decode(body) | {RESUME_FIELD: token})


def token_of_cancel(body: bytes) -> str | None:
    """Return the token in the reply to a cancel, ``None`` when nothing was cancelled."""
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return None
    token = value.get(RESUME_FIELD) if isinstance(value, dict) else None
    return token if isinstance(token, str) else None
