"""The promises, checked on what callers and endpoints saw."""

from collections import Counter
from collections.abc import Callable

from soak.endpoints import expected_body, item_output
from soak.journal import Attempt, Journal, Kind, Run
from soak.world import World

__all__ = ["CHECKS", "problems"]

MOST_RUNS = {Kind.STREAM: 1, Kind.RESUMABLE: 2, Kind.SAFE: 3, Kind.MOVED: 3}
APPLY_S = 2.0
"""Time in which new routes must be in force."""

REFUSALS = (408, 421, 429, 503)
Check = Callable[[World], list[str]]
CHECKS: dict[str, Check] = {}


def check(name: str) -> Callable[[Check], Check]:
    """Register a check under the promise that it holds."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def problems(world: World) -> list[str]:
    """Return everything that breaks a promise."""
    return [f"{name}: {found}" for name, one in CHECKS.items() for found in one(world)]


def _runs(journal: Journal) -> dict[str, list[Run]]:
    runs: dict[str, list[Run]] = {}
    for run in journal.runs:
        runs.setdefault(run.attempt, []).append(run)
    return runs


def _streams(world: World, attempt: Attempt) -> bool:
    if attempt.kind is not Kind.MOVED:
        return attempt.kind is not Kind.SAFE
    return not attempt.body.startswith(b"card of")


@check("answers are whole and the caller's own")
def whole(world: World) -> list[str]:
    """Check successes."""
    found = []
    for one in world.journal.attempts.values():
        if one.status != 200:
            continue
        expected = expected_body(one.attempt, _streams(world, one))
        if not expected.startswith(one.body) or (one.complete and one.body != expected):
            found.append(f"{one.attempt} at {one.node}: {one.body[-60:]!r}")
        if not one.proof.startswith("sig-"):
            found.append(f"{one.attempt} at {one.node}: no signature")
    return found


@check("what must not run twice runs once, and nothing runs more often than its route allows")
def once(world: World) -> list[str]:
    """Check the number of runs."""
    runs = _runs(world.journal)
    return [
        f"{one.attempt} ({one.kind.value}) ran {len(runs[name])} times"
        for name, one in world.journal.attempts.items()
        if len(runs.get(name, ())) > MOST_RUNS[one.kind]
    ]


@check("a refusal that says not run is true")
def refused(world: World) -> list[str]:
    """Check refusals of requests that must not run twice."""
    runs = _runs(world.journal)
    return [
        f"{one.attempt} at {one.node} got {one.status} and ran"
        for name, one in world.journal.attempts.items()
        if one.status in REFUSALS and not one.kind.repeatable and name in runs
    ]


@check("endpoints run only what clients sent, unchanged, and where routes lead")
def asked(world: World) -> list[str]:
    """Check what ran."""
    items = {item for job in world.journal.jobs.values() for item in job.items}
    found = []
    for run in world.journal.runs:
        attempt = world.journal.attempts.get(run.attempt)
        if attempt is None and run.attempt not in items:
            found.append(f"{run.attempt} was sent by nobody")
        if run.body != f"body {run.attempt}".encode():
            found.append(f"{run.attempt} ran with another body")
        service = {Kind.SAFE: "cards", Kind.MOVED: run.service}.get(
            attempt.kind if attempt else Kind.STREAM, "engines"
        )
        if run.service != service:
            found.append(f"{run.attempt} ran at {run.endpoint}")
    return found


@check("routes in force")
def routes_in_force(world: World) -> list[str]:
    """Check the route that moves, at nodes that nothing harmed; and that no start goes back."""
    found = []
    nodes = {node.name: node for node in world.nodes}
    runs = _runs(world.journal)
    for name, one in world.journal.attempts.items():
        late = one.sent_s > one.version_s + APPLY_S
        if one.kind is not Kind.MOVED or not late or not nodes[one.node].calm_since(one.sent_s):
            continue
        service = ("cards", "engines")[one.version % 2]
        changed = one.version != world.version and one.ended_s > world.version_s
        if not changed and any(run.service != service for run in runs.get(name, ())):
            found.append(f"{name} at {one.node} ran as before version {one.version}")
    for node in world.nodes:
        versions = node.versions()
        for before, after in zip(versions, versions[1:], strict=False):
            if 0 < after <= before:
                found.append(f"{node.name} went from version {before} to {after}")
    return found


@check("batch jobs")
def jobs(world: World) -> list[str]:
    """Check that each accepted job is listed whole, once and in place."""
    found = []
    runs = _runs(world.journal)
    for job in world.journal.jobs.values():
        found += [f"{job.job}: {problem}" for problem in job.problems]
        if job.refused_for_good:
            found += [f"{job.job} was refused and ran" for item in job.items if item in runs]
            continue
        listed = Counter(item for item, _, _ in job.results.values())
        if job.accepted_s and listed != Counter(job.items):
            found.append(f"{job.job} (answers {job.answers}) lists {dict(listed)}")
        for position, (item, state, output) in job.results.items():
            if item not in job.items:
                found.append(f"{job.job}: position {position} names {item}")
            elif state == "completed" and output != item_output(item):
                found.append(f"{job.job}: {item} has another output: {output[-80:]!r}")
            elif state != "completed" and not _may_be_given_up(world, item):
                found.append(f"{job.job}: {item} was given up")
    return found


def _may_be_given_up(world: World, item: str) -> bool:
    """Tell whether an item may have failed as often as its route allows."""
    return sum(run.attempt == item for run in world.journal.runs) >= 3


@check("processes end only when told to")
def ends(world: World) -> list[str]:
    """Check the ends of processes."""
    return world.journal.ends
