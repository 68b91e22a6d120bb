"""Checks of how nodes follow what endpoints report in their answers."""

from collections.abc import Iterator

from soak.check_registry import check, runs_by_attempt
from soak.journal import Attempt, Run
from soak.world import World

__all__ = ["check_leaving", "check_limits"]

DRAIN_S = 2.0
"""Time after a node passed on that an endpoint leaves in which requests may still reach it."""

CONTACT_S = 3.0
"""Time after an endpoint first named a limit from which it holds."""

TOLD_S = 0.5
"""Time after a node passed on an answer with a limit from which its requests count."""

WINDOW_S = 4.0
LIMIT_FACTOR, LIMIT_SLACK = 1.5, 5
"""Multiple of the allowed requests, and requests beside it, that are no violation."""

Start = tuple[str, str, int]
"""A node, an endpoint and its start."""


def _sent_runs(world: World) -> Iterator[tuple[Attempt, Run]]:
    """Yield the runs of requests with the request, in order of their begin."""
    runs = runs_by_attempt(world.journal)
    attempts = world.journal.attempts
    found = [(one, run) for name, one in attempts.items() for run in runs.get(name, ())]
    return iter(sorted(found, key=lambda row: row[1].began_s))


def _key(attempt: Attempt, run: Run) -> Start:
    return attempt.node, run.endpoint, run.born


def _is_passed_on(attempt: Attempt, run: Run) -> bool:
    return attempt.proof == f"sig-{run.endpoint}"


def _interrupted(world: World, node: str, from_s: float, until_s: float) -> bool:
    """Return whether a node started or was frozen within a time."""
    chosen = next(one for one in world.nodes if one.name == node)
    return any(from_s <= at_s <= until_s for at_s in chosen.interruptions_s)


@check("an endpoint that says that it leaves gets nothing more")
def check_leaving(world: World) -> list[str]:
    """Check requests sent after their node passed on that the endpoint leaves."""
    found = []
    passed_s: dict[Start, float] = {}
    for one, run in _sent_runs(world):
        if run.leaving and _is_passed_on(one, run):
            key = _key(one, run)
            passed_s[key] = min(passed_s.get(key, one.ended_s), one.ended_s)
    for one, run in _sent_runs(world):
        since_s = passed_s.get(_key(one, run))
        late = since_s is not None and one.sent_s > since_s + DRAIN_S
        if late and not _interrupted(world, one.node, since_s or 0.0, run.began_s):
            found.append(f"{one.attempt} at {one.node} reached {run.endpoint} at {run.began_s:.2f}")
    return found


@check("the limits of endpoints")
def check_limits(world: World) -> list[str]:
    """Check the requests of all nodes that knew the limit, within each window."""
    found = []
    for limit in world.journal.limits:
        held = [
            (one, run)
            for one, run in _sent_runs(world)
            if run.endpoint == limit.endpoint and limit.from_s <= run.began_s <= limit.until_s
        ]
        told_s: dict[str, float] = {}
        times = []
        for one, run in held:
            since_s = told_s.get(one.node)
            known = since_s is not None and run.began_s > since_s + TOLD_S
            if known and run.began_s > held[0][1].began_s + CONTACT_S:
                node = next(node for node in world.nodes if node.name == one.node)
                if not _interrupted(world, one.node, since_s or 0.0, run.began_s) and (
                    node.in_touch_between(since_s or 0.0, run.began_s)
                ):
                    times.append(run.began_s)
            if _is_passed_on(one, run):
                told_s[one.node] = min(told_s.get(one.node, one.ended_s), one.ended_s)
        allowed = LIMIT_FACTOR * limit.per_s * WINDOW_S + LIMIT_SLACK
        most = max((sum(at <= one <= at + WINDOW_S for one in times) for at in times), default=0)
        if most > allowed:
            found.append(f"{limit.endpoint} got {most} requests, {allowed:g} allowed")
    return found
