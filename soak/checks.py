"""Checks of the guarantees, on what callers and endpoints observed."""

from collections import Counter
from collections.abc import Callable

from soak.endpoints import expected_body, item_output
from soak.journal import Attempt, Journal, Kind, Run
from soak.world import World

__all__ = ["CHECKS", "problems"]

MAX_RUNS = {Kind.STREAM: 1, Kind.RESUMABLE: 2, Kind.SAFE: 3, Kind.MOVED: 3}
ROUTE_APPLY_S = 2.0
"""Time in which new routes must be applied."""

REFUSALS = (408, 421, 429, 503)
Check = Callable[[World], list[str]]
CHECKS: dict[str, Check] = {}


def check(name: str) -> Callable[[Check], Check]:
    """Register a check under the guarantee that it verifies."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def problems(world: World) -> list[str]:
    """Return all violations, each prefixed with its guarantee."""
    return [f"{name}: {found}" for name, one in CHECKS.items() for found in one(world)]


def _runs(journal: Journal) -> dict[str, list[Run]]:
    runs: dict[str, list[Run]] = {}
    for run in journal.runs:
        runs.setdefault(run.attempt, []).append(run)
    return runs


def _is_streamed(world: World, attempt: Attempt) -> bool:
    if attempt.kind is not Kind.MOVED:
        return attempt.kind is not Kind.SAFE
    return not attempt.body.startswith(b"card of")


@check("responses are complete and the caller's own")
def check_bodies(world: World) -> list[str]:
    """Check body and signature of successful responses."""
    found = []
    for one in world.journal.attempts.values():
        if one.status != 200:
            continue
        expected = expected_body(one.attempt, _is_streamed(world, one))
        if not expected.startswith(one.body) or (one.complete and one.body != expected):
            found.append(f"{one.attempt} at {one.node}: {one.body[-60:]!r}")
        if not one.proof.startswith("sig-"):
            found.append(f"{one.attempt} at {one.node}: no signature")
    return found


@check("what must not run twice runs once, and nothing runs more often than its route allows")
def check_run_counts(world: World) -> list[str]:
    """Check how often each request ran."""
    runs = _runs(world.journal)
    return [
        f"{one.attempt} ({one.kind.value}) ran {len(runs[name])} times"
        for name, one in world.journal.attempts.items()
        if len(runs.get(name, ())) > MAX_RUNS[one.kind]
    ]


@check("a refusal that says not run is true")
def check_refusals(world: World) -> list[str]:
    """Check that refused requests that must not run twice have not run."""
    runs = _runs(world.journal)
    return [
        f"{one.attempt} at {one.node} got {one.status} and ran"
        for name, one in world.journal.attempts.items()
        if one.status in REFUSALS and not one.kind.repeatable and name in runs
    ]


@check("endpoints run only what clients sent, unchanged, and where routes lead")
def check_runs(world: World) -> list[str]:
    """Check origin, body and service of every run."""
    items = {item for job in world.journal.jobs.values() for item in job.items}
    found = []
    for run in world.journal.runs:
        attempt = world.journal.attempts.get(run.attempt)
        if attempt is None and run.attempt not in items:
            found.append(f"{run.attempt} was sent by no client")
        if run.body != f"body {run.attempt}".encode():
            found.append(f"{run.attempt} ran with another body")
        service = {Kind.SAFE: "cards", Kind.MOVED: run.service}.get(
            attempt.kind if attempt else Kind.STREAM, "engines"
        )
        if run.service != service:
            found.append(f"{run.attempt} ran at {run.endpoint}")
    return found


@check("routes in force")
def check_routes(world: World) -> list[str]:
    """Check the moving route at undisturbed nodes, and that versions rise within each start."""
    found = []
    nodes = {node.name: node for node in world.nodes}
    runs = _runs(world.journal)
    for name, one in world.journal.attempts.items():
        settled = one.sent_s > one.version_s + ROUTE_APPLY_S
        if (
            one.kind is not Kind.MOVED
            or not settled
            or not nodes[one.node].undisturbed_since(one.sent_s)
        ):
            continue
        service = ("cards", "engines")[one.version % 2]
        changed = one.version != world.version and one.ended_s > world.version_s
        if not changed and any(run.service != service for run in runs.get(name, ())):
            found.append(f"{name} at {one.node} ran on routes older than version {one.version}")
    for node in world.nodes:
        versions = node.versions()
        for before, after in zip(versions, versions[1:], strict=False):
            if 0 < after <= before:
                found.append(f"{node.name} went from version {before} to {after}")
    return found


@check("batch jobs")
def check_jobs(world: World) -> list[str]:
    """Check that results of each accepted job are complete, unique and at fixed positions."""
    found = []
    runs = _runs(world.journal)
    for job in world.journal.jobs.values():
        found += [f"{job.job}: {problem}" for problem in job.problems]
        if job.refused_for_good:
            found += [f"{job.job} was refused and ran" for item in job.items if item in runs]
            continue
        listed = Counter(item for item, _, _ in job.results.values())
        if job.accepted_s and listed != Counter(job.items):
            found.append(f"{job.job} (statuses {job.answers}) lists {dict(listed)}")
        for position, (item, state, output) in job.results.items():
            if item not in job.items:
                found.append(f"{job.job}: position {position} names {item}")
            elif state == "completed" and output != item_output(item):
                found.append(f"{job.job}: {item} has another output: {output[-80:]!r}")
            elif state != "completed" and not _may_fail(world, item):
                found.append(f"{job.job}: {item} failed early")
    return found


def _may_fail(world: World, item: str) -> bool:
    """Tell whether an item had all 3 attempts that its route allows."""
    return sum(run.attempt == item for run in world.journal.runs) >= 3


@check("processes end only when told to")
def check_process_ends(world: World) -> list[str]:
    """Return process ends that no signal explains."""
    return world.journal.ends
