"""Checks that the items of accepted jobs are worked on, by the state of each item."""

from collections.abc import Iterator

from soak.check_registry import check, runs_by_attempt
from soak.item_states import idle_spans, owner_nodes, state_of, unavailable_spans
from soak.journal import JobTrace, Journal, Run, RunEnd
from soak.nodes import GRACE_S, UNDISTURBED_S, Node
from soak.spans import Span, covered_s, largest_gap, union
from soak.world import World

__all__ = ["CLEARED_S", "IDLE_S", "RETRY_S", "check_idle", "check_open"]

IDLE_S = 5.0
"""Time for which an open item may be at no endpoint while endpoints have room (rule LOST)."""

RETRY_S = 20.0
"""The same after a run that failed at its endpoint (rule LOST)."""

CLEARED_S = 40.0
"""Time after the last crash by a part that is not deadly, or not any more, in which all nodes and
the store must have cleared it, without the time of disturbances of the item's node."""


@check("no item is left lying at the end")
def check_open(world: World) -> list[str]:
    """Check that each item of an accepted job is listed."""
    found = []
    for job in world.journal.jobs.values():
        listed = {item for item, _, _ in job.results.values()}
        if job.accepted_s and not job.refused_for_good:
            found += [f"{one}: {state_of(world, one)}" for one in job.items if one not in listed]
    return found


@check("an item that no endpoint has is given to one in time")
def check_idle(world: World) -> list[str]:
    """Check how long items were at no endpoint while endpoints had room and nothing disturbed."""
    found = []
    runs = runs_by_attempt(world.journal)
    full = unavailable_spans(world.journal)
    owners = owner_nodes(world)
    for job in world.journal.jobs.values():
        if not job.accepted_s or job.refused_for_good:
            continue
        disturbed = union(one for node in owners[job.job] for one in _disturbed_spans(node))
        for item in job.items:
            excused = [*full, *disturbed, *_held_spans(world.journal, job, item, disturbed)]
            for last, idle in idle_spans(job, item, runs.get(item, ())):
                from_s, until_s = largest_gap(idle, [*excused, *_retry_spans(last)])
                if until_s - from_s > IDLE_S:
                    text = f"{item}: from {from_s:.2f} to {until_s:.2f}"
                    found.append(f"{text}; {state_of(world, item)}")
    return found


def _disturbed_spans(node: Node) -> Iterator[Span]:
    """Yield when a node was disturbed or had been shortly before."""
    for from_s, until_s in node.disturbances:
        yield from_s, until_s + UNDISTURBED_S
    for at_s in node.interruptions_s:
        yield at_s, at_s + UNDISTURBED_S
    for at_s in node.stops_s:
        yield at_s, at_s + GRACE_S


def _retry_spans(last: Run | None) -> Iterator[Span]:
    """Yield the time in which an item need not be run again after a failure."""
    if last is not None and last.end in (RunEnd.FAILED, RunEnd.CRASHED):
        yield last.ended_s, last.ended_s + RETRY_S - IDLE_S


def _held_spans(
    journal: Journal, job: JobTrace, item: str, disturbed: list[Span]
) -> Iterator[Span]:
    """Yield when an item may be held for its parts: while one is deadly, and until it is cleared.

    The parts of other requests that ran at an endpoint as a part crashed it may be accused too; a
    request that crashes endpoints by itself accuses no item.
    """
    shared = set(job.parts.get(item, ())[:-1])
    for part in shared & journal.deadly.keys():
        span = journal.deadly[part]
        yield span.from_s, span.until_s
        if any(crash.part == part for crash in journal.crashes):
            yield _clearing_span(span.until_s, disturbed)
    for at_s in _accusations(journal, shared) if shared else ():
        yield _clearing_span(at_s, disturbed)


def _accusations(journal: Journal, shared: set[str]) -> Iterator[float]:
    """Yield the crashes by parts of endpoints that ran a request with one of the parts."""
    for crash in journal.crashes:
        if crash.request:
            continue
        for run in journal.runs:
            here = run.endpoint == crash.endpoint and run.began_s <= crash.at_s
            running = here and (run.end is None or run.ended_s >= crash.at_s)
            if running and shared.intersection(run.parts[:-1]):
                yield crash.at_s
                break


def _clearing_span(from_s: float, disturbed: list[Span]) -> Span:
    until_s = from_s + CLEARED_S
    until_s += covered_s((from_s, until_s), disturbed)
    return from_s, until_s - IDLE_S
