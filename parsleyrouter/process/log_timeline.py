"""Build a timeline of one request or job from the log lines of many processes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from parsleyrouter.customers import SUFFIX_SEPARATOR

__all__ = ["LogLine", "Timeline", "read_lines", "build_timeline"]

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
"""Messages that report a change in what a process knows of the system."""

QUARANTINE_MESSAGES = frozenset(
    {
        "prompt parts quarantined",
        "quarantine ended",
        "quarantine trial claimed",
        "quarantine trial ended",
        "quarantine trial unused",
        "quarantine tried",
    }
)
"""Messages of any process that count as context of a request that the same parts have held."""

CONTEXT_S = 3.0
"""How long before the first line of a request such a message counts as context."""

STANDARD_FIELDS = frozenset({"time", "level", "logger", "message", "program", "node"})


@dataclass(frozen=True)
class LogLine:
    """One line and its source; ``at_s`` counts from an origin that each source chooses."""

    source: str
    at_s: float
    fields: dict[str, Any]
    position: int = 0
    """Position in its source: times are rounded, so several lines may have the same one."""

    @property
    def message(self) -> str:
        """Return the message of the line."""
        return str(self.fields.get("message", ""))

    def mentions(self, name: str) -> bool:
        """Return whether the line is about a request, job or item.

        A job of a customer is found by the id that its client sent.
        """
        values = [self.fields.get(key) for key in ID_FIELDS]
        values += [str(value).partition(SUFFIX_SEPARATOR)[0] for value in values if value]
        items = self.fields.get("items")
        return name in values or (isinstance(items, list) and name in items)

    def groups(self) -> set[frozenset[str]]:
        """Return the groups of prompt parts that the line names, one or a list of them."""
        parts = self.fields.get("parts")
        if not isinstance(parts, list) or not parts:
            return set()
        listed = parts if isinstance(parts[0], list) else [parts]
        return {frozenset(map(str, one)) for one in listed}

    def render(self) -> str:
        """Return the line as text."""
        other_fields = {k: v for k, v in self.fields.items() if k not in STANDARD_FIELDS}
        rendered = " ".join(f"{key}={json.dumps(value)}" for key, value in other_fields.items())
        return f"{self.at_s:.3f} {self.source}: {self.message} {rendered}".rstrip()


@dataclass
class Timeline:
    """The lines about a request, and context lines of the processes involved."""

    lines: list[LogLine] = field(default_factory=list)
    context: list[LogLine] = field(default_factory=list)

    def render(self) -> list[str]:
        """Return all lines as text in order of time; those of the request are marked with ``*``."""
        line_ids = {id(line) for line in self.lines}
        all_lines = sorted(self.lines + self.context, key=lambda line: (line.at_s, line.position))
        return [("* " if id(line) in line_ids else "  ") + line.render() for line in all_lines]


def read_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines; a prefix before the JSON of a line gives its time and source."""
    for position, text in enumerate(lines):
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
        named = prefix_words[1] if len(prefix_words) > 1 else source
        yield LogLine(named, at_s, fields, position)


def build_timeline(lines: Iterable[LogLine], name: str) -> Timeline:
    """Return the timeline of a request, job or item."""
    all_lines = list(lines)
    timeline = Timeline([line for line in all_lines if line.mentions(name)])
    if not timeline.lines:
        return timeline
    started_s = min(line.at_s - float(line.fields.get("took_s", 0.0)) for line in timeline.lines)
    ended_s = max(line.at_s for line in timeline.lines)
    sources = {line.source for line in timeline.lines}
    endpoints = {str(line.fields.get("endpoint")) for line in timeline.lines}
    for line in timeline.lines:
        endpoints.update(line.fields.get("endpoints") or ())
    groups = set().union(*(line.groups() for line in timeline.lines))
    for line in all_lines:
        if line.message in QUARANTINE_MESSAGES:
            if line.at_s <= ended_s and groups & line.groups():
                timeline.context.append(line)
            continue
        in_window = started_s - CONTEXT_S <= line.at_s <= ended_s and line.source in sources
        other_endpoint = "endpoint" in line.fields and line.fields["endpoint"] not in endpoints
        if (
            in_window
            and line.message in CONTEXT_MESSAGES
            and not other_endpoint
            and not line.mentions(name)
        ):
            timeline.context.append(line)
    return timeline


def _seconds(text: str) -> float:
    """Return the time of day of a log timestamp, in seconds."""
    clock = text.partition(" ")[2].replace(",", ".")
    hours, minutes, seconds = clock.split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
