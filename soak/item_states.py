"""What callers, endpoints and the logs of the nodes tell of each item."""

import math
from collections.abc import Iterable, Iterator
from typing import Any

from parsleyrouter.customers import SUFFIX_SEPARATOR
from soak.check_registry import runs_by_attempt
from soak.journal import JobTrace, Journal, Run, RunEnd
from soak.nodes import Node
from soak.spans import Span, union
from soak.world import SLOTS, World

__all__ = ["idle_spans", "jobs_of_items", "owner_nodes", "state_of", "unavailable_spans"]

NOT_HAD_S = 1.0
"""A run that its sender ends within this time does not count as one."""

MAX_USE = 0.5
"""Share of the slots in use from which endpoints have no room."""

HELD = "item held back"


def jobs_of_items(journal: Journal) -> dict[str, JobTrace]:
    """Return the job of each item."""
    return {item: job for job in journal.jobs.values() for item in job.items}


def owner_nodes(world: World) -> dict[str, list[Node]]:
    """Return the nodes that ever ran each job; all nodes if none is known to."""
    owners: dict[str, list[Node]] = {job: [] for job in world.journal.jobs}
    for node in world.nodes:
        rows = [row for row in node.rows() if row.get("message") == "job runs here"]
        run = {row["job"].partition(SUFFIX_SEPARATOR)[0] for row in rows}
        for job in run & owners.keys():
            owners[job].append(node)
    return {job: found or list(world.nodes) for job, found in owners.items()}


def is_had(run: Run) -> bool:
    """Tell whether an endpoint had the item."""
    return run.end is not RunEnd.LEFT or run.ended_s - run.began_s >= NOT_HAD_S


def idle_spans(job: JobTrace, item: str, runs: Iterable[Run]) -> Iterator[tuple[Run | None, Span]]:
    """Yield the times in which no endpoint had an open item, with the last run before each.

    They end with the last read that did not find the item.
    """
    last: Run | None = None
    since_s, open_until_s = job.accepted_s, job.missing_s.get(item, 0.0)
    for run in sorted(filter(is_had, runs), key=lambda one: one.began_s):
        yield last, (since_s, min(run.began_s, open_until_s))
        if run.end is None:
            return
        if run.ended_s > since_s:
            last, since_s = run, run.ended_s
    yield last, (since_s, open_until_s)


def unavailable_spans(journal: Journal) -> list[Span]:
    """Return when the endpoints of the items had no room."""
    runs = [run for run in journal.runs if run.service == "engines"]
    changes = [(run.began_s, 1, 0) for run in runs]
    changes += [(run.ended_s, -1, 0) for run in runs if run.end]
    changes += [(one.from_s, 0, -SLOTS) for one in journal.absences]
    changes += [(one.until_s, 0, SLOTS) for one in journal.absences]
    busy, room = 0, journal.item_slots
    full: list[Span] = []
    from_s: float | None = None
    for at_s, begun, freed in sorted(changes):
        busy, room = busy + begun, room + freed
        if busy >= MAX_USE * room:
            from_s = at_s if from_s is None else from_s
        elif from_s is not None:
            full.append((from_s, at_s))
            from_s = None
    if from_s is not None:
        full.append((from_s, math.inf))
    return union(full)


def state_of(world: World, item: str) -> str:
    """Return what is known of an item: its runs, the nodes of its job and the last line on it."""
    job = jobs_of_items(world.journal)[item]
    runs = runs_by_attempt(world.journal).get(item, [])
    known = [f"accepted at {job.accepted_s:.2f}, {len(runs)} runs"]
    if runs:
        last = max(runs, key=lambda one: one.began_s)
        ended = f"{last.end.value} at {last.ended_s:.2f}" if last.end else "at work"
        known.append(f"the last at {last.endpoint} from {last.began_s:.2f}, {ended}")
    spans = world.journal.deadly
    deadly = [spans[part] for part in job.parts.get(item, ()) if part in spans]
    known += [f"{one.part} was deadly until {one.until_s:.2f}" for one in deadly]
    for node in world.nodes:
        known += _told_by(node, item)
    return ", ".join(known)


def _told_by(node: Node, item: str) -> list[str]:
    """Return whether a node holds or held an item, and its last line on it."""
    lines = [row for row in node.rows() if _names(row, item)]
    if not lines:
        return []
    held = [row for row in lines if row["message"] == HELD]
    if held and held[-1] is lines[-1]:
        return [f"{node.name} holds it since {held[0]['time']}: {_brief(lines[-1])}"]
    past = [f"{node.name} held it until {held[-1]['time']}"] if held else []
    return [*past, f"{node.name}, not held: {_brief(lines[-1])}"]


def _names(row: dict[str, Any], item: str) -> bool:
    return row.get("request") == item or item in row.get("items", ())


def _brief(row: dict[str, Any]) -> str:
    reason = row.get("reason") or ""
    return f"{row['message']} at {row['time']}" + (f" ({reason})" if reason else "")
