"""Tell what happened to one request or job from the log lines of many processes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

__all__ = ["LogLine", "Story", "read_lines", "tell"]

ID_FIELDS = ("request", "job")
CONTEXT_MESSAGES = frozenset(
    {
        "dependency lost",
        "dependency regained",
        "endpoint changed",
        "history lost, listing anew",
        "lease lost",
        "log lines dropped",
        "routes in force",
        "started",
        "stop ends",
        "planned stop begins",
    }
)
"""Messages that change what a process believes."""

CONTEXT_S = 3.0
"""How long before its first line such a message may bear on a request."""

STANDARD_FIELDS = frozenset({"time", "level", "logger", "message", "program", "node"})


@dataclass(frozen=True)
class LogLine:
    """One line with the source that wrote it; ``at_s`` counts from an origin of the source."""

    source: str
    at_s: float
    fields: dict[str, Any]

    @property
    def message(self) -> str:
        """Return what happened."""
        return str(self.fields.get("message", ""))

    def mentions(self, name: str) -> bool:
        """Tell whether the line is about a request, job or item."""
        values = [self.fields.get(key) for key in ID_FIELDS]
        items = self.fields.get("items")
        return name in values or (isinstance(items, list) and name in items)

    def told(self) -> str:
        """Return the line for a reader."""
        other_fields = {k: v for k, v in self.fields.items() if k not in STANDARD_FIELDS}
        rendered = " ".join(f"{key}={json.dumps(value)}" for key, value in other_fields.items())
        return f"{self.at_s:.3f} {self.source}: {self.message} {rendered}".rstrip()


@dataclass
class Story:
    """The lines about a request and what its processes came to believe around it."""

    lines: list[LogLine] = field(default_factory=list)
    context: list[LogLine] = field(default_factory=list)

    def told(self) -> list[str]:
        """Return all lines in order; those of the request are marked."""
        line_ids = {id(line) for line in self.lines}
        all_lines = sorted(self.lines + self.context, key=lambda line: line.at_s)
        return [("* " if id(line) in line_ids else "  ") + line.told() for line in all_lines]


def read_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Return the log lines in a text; what stands before a line's JSON names time and source."""
    for text in lines:
        before, brace, rest = text.partition("{")
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if not isinstance(fields, dict):
            continue
        prefix_words = before.split()
        try:
            at_s = float(prefix_words[0]) if prefix_words else _seconds(str(fields.get("time", "")))
        except ValueError:
            at_s = 0.0
        yield LogLine(prefix_words[1] if len(prefix_words) > 1 else source, at_s, fields)


def tell(lines: Iterable[LogLine], name: str) -> Story:
    """Return the story of a request, job or item."""
    all_lines = list(lines)
    story = Story([line for line in all_lines if line.mentions(name)])
    if not story.lines:
        return story
    started_s = min(line.at_s - float(line.fields.get("took_s", 0.0)) for line in story.lines)
    ended_s = max(line.at_s for line in story.lines)
    sources = {line.source for line in story.lines}
    endpoints = {str(line.fields.get("endpoint")) for line in story.lines}
    for line in story.lines:
        endpoints.update(line.fields.get("endpoints") or ())
    for line in all_lines:
        in_window = started_s - CONTEXT_S <= line.at_s <= ended_s and line.source in sources
        other_endpoint = "endpoint" in line.fields and line.fields["endpoint"] not in endpoints
        if (
            in_window
            and line.message in CONTEXT_MESSAGES
            and not other_endpoint
            and not line.mentions(name)
        ):
            story.context.append(line)
    return story


def _seconds(text: str) -> float:
    """Return the second of the day of a log time."""
    clock = text.partition(" ")[2].replace(",", ".")
    hours, minutes, seconds = clock.split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
