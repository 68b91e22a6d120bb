"""Checks of the guarantees, on what callers and endpoints observed."""

from collections import Counter
from math import inf

from soak.answer_checks import check_leaving, check_limits
from soak.check_registry import CHECKS, check
from soak.check_registry import runs_by_attempt as _runs
from soak.connection_checks import check_connections
from soak.customer_checks import (
    check_accepted_keys,
    check_customer_limits,
    check_needless_refusals,
    check_removed_keys,
    check_told_customers,
)
from soak.endpoints import BRIEF_EVENTS, EVENTS, expected_body, item_output
from soak.item_checks import check_idle, check_open
from soak.item_states import owner_nodes
from soak.journal import REFUSALS, Attempt, Kind, Run
from soak.nodes import GRACE_S, Node
from soak.request_checks import check_beside_deadly_requests, check_deadly_requests, is_deadly
from soak.served_shares import CONTACT_S, is_in_touch, is_served_less
from soak.slow_endpoints import check_slow_endpoints
from soak.world import World

__all__ = [
    "CHECKS",
    "check_accepted_keys",
    "check_beside_deadly_requests",
    "check_connections",
    "check_customer_limits",
    "check_deadly_requests",
    "check_idle",
    "check_leaving",
    "check_limits",
    "check_needless_refusals",
    "check_open",
    "check_removed_keys",
    "check_slow_endpoints",
    "check_told_customers",
    "problems",
]

MAX_RUNS = {
    Kind.STREAM: 1,
    Kind.RESUMABLE: 2,
    Kind.SAFE: 3,
    Kind.MOVED: 3,
    Kind.OPEN: 3,
    Kind.BRIEF: 1,
}
ROUTE_APPLY_S = 2.0
"""Time in which new routes must be applied."""

CRASHES_KNOWN = 5
"""Crashes by one part after which it must be known."""

MAX_LATER_RUNS = 3


def problems(world: World) -> list[str]:
    """Return all violations, each prefixed with its guarantee."""
    return [f"{name}: {found}" for name, one in CHECKS.items() for found in one(world)]


def _is_streamed(world: World, attempt: Attempt) -> bool:
    if attempt.kind is not Kind.MOVED:
        return attempt.kind not in (Kind.SAFE, Kind.OPEN)
    return not attempt.body.startswith(b"card of")


@check("responses are complete and the caller's own")
def check_bodies(world: World) -> list[str]:
    """Check body and signature of successful responses."""
    found = []
    for one in world.journal.attempts.values():
        if one.status != 200:
            continue
        events = BRIEF_EVENTS if one.kind is Kind.BRIEF else EVENTS
        expected = expected_body(one.attempt, _is_streamed(world, one), events)
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
        f"{name} ({one.kind.value}) ran {len(runs[name])} times"
        for name, one in world.journal.attempts.items()
        if len(runs.get(name, ())) > MAX_RUNS[one.kind]
    ]


@check("a refusal that says not run is true")
def check_refusals(world: World) -> list[str]:
    """Check that refused requests that must not run twice have not run."""
    runs = _runs(world.journal)
    return [
        f"{name} at {one.node} got {one.status} and ran"
        for name, one in world.journal.attempts.items()
        if one.status in REFUSALS and not one.kind.repeatable and name in runs
    ]


@check("endpoints run only what clients sent, unchanged, and where routes lead")
def check_runs(world: World) -> list[str]:
    """Check origin, body and service of every run."""
    items = {item for job in world.journal.jobs.values() for item in job.items}
    found = []
    for run in world.journal.runs:
        attempt = world.journal.attempts.get(run.key)
        if attempt is None and run.attempt not in items:
            found.append(f"{run.attempt} was sent by no client")
        content = attempt.content if attempt else None
        if run.body != (content.body if content else f"body {run.attempt}".encode()):
            found.append(f"{run.attempt} ran with another body")
        service = {Kind.SAFE: "cards", Kind.OPEN: "cards", Kind.MOVED: run.service}.get(
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
        changed = any(one.sent_s <= at_s <= one.ended_s for at_s in world.version_times_s)
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


def _crash_times(world: World) -> dict[str, list[float]]:
    """Return the times of the crashes by each part, in order."""
    times: dict[str, list[float]] = {}
    for crash in sorted(world.journal.crashes, key=lambda one: one.at_s):
        if crash.part:
            times.setdefault(crash.part, []).append(crash.at_s)
    return times


def _sent_in_touch(world: World, run: Run, owners: dict[str, list[Node]]) -> bool:
    """Tell whether the node that sent a run was in touch; for items, all that owned its job."""
    attempt = world.journal.attempts.get(run.key)
    if attempt is not None:
        return is_in_touch(world, attempt, run.began_s)
    job = next(job for job in world.journal.jobs.values() if run.attempt in job.items)
    return all(
        node.in_touch_between(run.began_s - CONTACT_S, run.began_s) for node in owners[job.job]
    )


@check("a part that crashes endpoints is sent no more")
def check_deadly_parts(world: World) -> list[str]:
    """Check how many requests ran with a deadly part after nodes in touch knew of five crashes."""
    found = []
    owners = owner_nodes(world)
    for part, times in _crash_times(world).items():
        if len(times) < CRASHES_KNOWN:
            continue
        known_s = times[CRASHES_KNOWN - 1] + CONTACT_S
        until_s = world.journal.deadly[part].until_s if part in world.journal.deadly else inf
        later = [
            run
            for run in world.journal.runs
            if part in run.parts
            and known_s < run.began_s <= until_s
            and _sent_in_touch(world, run, owners)
        ]
        if len(later) > MAX_LATER_RUNS:
            found.append(f"{part} ran {len(later)} times later; {len(times)} crashes")
    return found


@check("requests that share the first part of one that crashes endpoints are served")
def check_sound_requests(world: World) -> list[str]:
    """Check that their first sendings begin at least half as often as others."""
    found = []
    crashes = _crash_times(world)
    attempts = list(world.journal.attempts.values())
    deadly = [one for one in attempts if crashes.keys() & set(one.parts)]
    first = [one for one in attempts if one.parts and one.sending == 1 and one.credential is None]
    sound = [
        one for one in first if not crashes.keys() & set(one.parts) and not is_deadly(world, one)
    ]
    affected = {one.parts[0] for one in deadly}
    for part, times in crashes.items():
        held = [one for one in deadly if part in one.parts]
        from_s = times[:CRASHES_KNOWN][-1] + 2 * CONTACT_S
        until_s = max((one.sent_s for one in held), default=0.0)
        window = [
            one
            for one in sound
            if from_s <= one.sent_s <= until_s and is_in_touch(world, one, one.sent_s)
        ]
        firsts = {one.parts[0] for one in held}
        own = [one.status == 200 for one in window if one.parts[0] in firsts]
        others = [one.status == 200 for one in window if one.parts[0] not in affected]
        if is_served_less(own, others):
            found.append(
                f"with {part}: {sum(own)} of {len(own)} begin, "
                f"of the others {sum(others)} of {len(others)}"
            )
    return found


@check("a graceful shutdown interrupts no request")
def check_stops(world: World) -> list[str]:
    """Check that requests which ran around a stop of their undisturbed node were answered.

    A request that an endpoint broke off by a crash does not count.
    """
    found = []
    nodes = {node.name: node for node in world.nodes}
    runs = _runs(world.journal)
    for name, one in world.journal.attempts.items():
        node = nodes[one.node]
        stopping = any(
            one.ended_s >= at_s and one.sent_s <= at_s + GRACE_S for at_s in node.stops_s
        )
        cut = name in runs and not one.complete and one.status in (0, 200)
        if cut and any(_crashed(world, run, one.ended_s) for run in runs[name]):
            continue
        if stopping and cut and node.undisturbed_between(one.sent_s, one.ended_s):
            found.append(f"{name} at {one.node} was sent at {one.sent_s:.2f} and cut")
    return found


def _crashed(world: World, run: Run, until_s: float) -> bool:
    """Return whether the endpoint of a run crashed between its start and a time."""
    return any(
        crash.endpoint == run.endpoint and run.began_s <= crash.at_s <= until_s
        for crash in world.journal.crashes
    )


@check("processes end only when told to")
def check_process_ends(world: World) -> list[str]:
    """Return process ends that no signal explains."""
    return world.journal.ends
