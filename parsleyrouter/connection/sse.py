"""Split a byte stream into server-sent events and detect its end."""

import re

import msgspec

from parsleyrouter.outcome import Refusal

__all__ = [
    "DONE_EVENT",
    "EVENT_STREAM_TYPE",
    "EventSplitter",
    "error_event",
    "event_data",
    "events_after",
    "is_event_stream",
    "last_event_id",
]

EVENT_STREAM_TYPE = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 4 * 1024 * 1024

_EVENT_ID = re.compile(rb"^id:(.*)$", re.MULTILINE)
_EVENT = re.compile(rb".*?\r?\n\r?\n", re.DOTALL)
_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_DONE_FORMS = (b"data: [DONE]", b"data:[DONE]")


class EventSplitter:
    """Return complete events only and buffer the incomplete rest."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.done = False
        self.too_long = False

    @property
    def rest(self) -> bytes:
        """Return the incomplete rest."""
        return bytes(self.buffer)

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, concatenated."""
        searched = max(0, len(self.buffer) - len(b"\r\n\r\n") + 1)
        self.buffer += data
        end = _end_of_last_event(self.buffer, searched)
        whole = bytes(self.buffer[:end])
        del self.buffer[:end]
        self.too_long = len(self.buffer) > MAX_EVENT_BYTES
        if whole and whole.rstrip().endswith(_DONE_FORMS):
            self.done = True
        return whole


def is_event_stream(content_type: str) -> bool:
    """Return whether a reply is a stream of events."""
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE


def error_event(refusal: Refusal) -> bytes:
    """Return the event that ends a broken stream, in the shape that OpenAI clients read."""
    return b"data: " + msgspec.json.encode(refusal.body()) + b"\n\n"


def _end_of_last_event(data: bytearray, start: int) -> int:
    """Return the index after the last blank line from ``start`` on, 0 when there is none."""
    end = data.rfind(b"\n\n", start)
    other = data.rfind(b"\r\n\r\n", start)
    if other > end:
        return other + 4
    return end + 2 if end >= 0 else 0


def last_event_id(events: bytes) -> str:
    """Return the id of the last event that has one, an empty text when none has."""
    found = _EVENT_ID.findall(events)
    return found[-1].decode("latin-1").strip() if found else ""


def events_after(events: bytes, last: str) -> bytes | None:
    """Return the complete events that follow the one with the id ``last``.

    Earlier ones are left out. ``None`` if the events do not go on after it: one is missing, or one
    has no number. Without a numeric ``last`` all events are returned.
    """
    if not last.isdigit():
        return events
    number, following = int(last), []
    for event in _EVENT.findall(events):
        if all(line.startswith(b":") for line in event.split(b"\n") if line.strip()):
            following.append(event)
            continue
        found = last_event_id(event)
        if not found.isdigit() or int(found) > number + 1:
            return None
        if int(found) == number + 1:
            number += 1
            following.append(event)
    return b"".join(following)


def event_data(events: bytes) -> list[str]:
    """Return the data of each complete event; several data lines are joined by newlines."""
    data = []
    for block in _BLANK_LINE.split(events):
        lines = [
            line[5:].removeprefix(b" ") for line in block.splitlines() if line.startswith(b"data:")
        ]
        if lines:
            data.append(b"\n".join(lines).decode("utf-8", "replace"))
    return data
