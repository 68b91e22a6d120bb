"""Tell what happened to one request or job from the log lines of many processes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

__all__ = ["LogLine", "Timeline", "read_lines", "build_timeline"]

NAMING = ("request", "job")
CONTEXT = frozenset(
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

OWN_FIELDS = frozenset({"time", "level", "logger", "message", "program", "node"})


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

    def names(self, name: str) -> bool:
        """Tell whether the line is about a request, job or item."""
        values = [self.fields.get(key) for key in NAMING]
        items = self.fields.get("items")
        return name in values or (isinstance(items, list) and name in items)

    def render(self) -> str:
        """Return the line for a reader."""
        more = {k: v for k, v in self.fields.items() if k not in OWN_FIELDS}
        shown = " ".join(f"{key}={json.dumps(value)}" for key, value in more.items())
        return f"{self.at_s:.3f} {self.source}: {self.message} {shown}".rstrip()


@dataclass
class Timeline:
    """The lines about a request and what its processes came to believe around it."""

    lines: list[LogLine] = field(default_factory=list)
    context: list[LogLine] = field(default_factory=list)

    def render(self) -> list[str]:
        """Return all lines in order; those of the request are marked."""
        about = {id(line) for line in self.lines}
        every = sorted(self.lines + self.context, key=lambda line: line.at_s)
        return [("* " if id(line) in about else "  ") + line.render() for line in every]


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
        words = before.split()
        try:
            at_s = float(words[0]) if words else _seconds(str(fields.get("time", "")))
        except ValueError:
            at_s = 0.0
        yield LogLine(words[1] if len(words) > 1 else source, at_s, fields)


def build_timeline(lines: Iterable[LogLine], name: str) -> Timeline:
    """Return the story of a request, job or item."""
    every = list(lines)
    timeline = Timeline([line for line in every if line.names(name)])
    if not timeline.lines:
        return timeline
    began_s = min(line.at_s - float(line.fields.get("took_s", 0.0)) for line in timeline.lines)
    ended_s = max(line.at_s for line in timeline.lines)
    sources = {line.source for line in timeline.lines}
    endpoints = {str(line.fields.get("endpoint")) for line in timeline.lines}
    for line in timeline.lines:
        endpoints.update(line.fields.get("endpoints") or ())
    for line in every:
        near = began_s - CONTEXT_S <= line.at_s <= ended_s and line.source in sources
        other = "endpoint" in line.fields and line.fields["endpoint"] not in endpoints
        if near and line.message in CONTEXT and not other and not line.names(name):
            timeline.context.append(line)
    return timeline


def _seconds(text: str) -> float:
    """Return the second of the day of a log time."""
    clock = text.partition(" ")[2].replace(",", ".")
    hours, minutes, seconds = clock.split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
