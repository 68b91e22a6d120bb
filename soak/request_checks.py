"""Checks of requests that crash endpoints, and of sound requests beside them."""

import math
from collections.abc import Iterable

from soak.check_registry import check
from soak.journal import Attempt, DeadlyRequest, Journal, Kind
from soak.nodes import GRACE_S, Node
from soak.served_shares import CONTACT_S, is_in_touch, is_served_less
from soak.spans import Span, union
from soak.world import CRASH_DOWN_S, REQUEST_DOWN_S, World, moved_service

__all__ = ["check_beside_deadly_requests", "check_deadly_requests", "is_deadly"]

CRASHES_KNOWN = 3
"""Crashes by one request after which it must be known."""

PART_CRASHES_KNOWN = 5
"""Crashes by one part after which it must be known."""

MAX_LATER_RUNS = 3
SERVICES = {Kind.STREAM: "engines", Kind.RESUMABLE: "engines", Kind.SAFE: "cards"}


def is_deadly(world: World, attempt: Attempt) -> bool:
    """Return whether a request crashed endpoints at any time."""
    content = attempt.content
    return content is not None and content.key in world.journal.deadly_requests


def _crash_times(journal: Journal, request: str) -> list[float]:
    return sorted(one.at_s for one in journal.crashes if one.request == request)


@check("a request that crashes endpoints is sent no more")
def check_deadly_requests(world: World) -> list[str]:
    """Check how often a request ran after nodes in touch knew of three crashes by it."""
    found = []
    journal = world.journal
    for request, deadly in journal.deadly_requests.items():
        times = _crash_times(journal, request)
        if len(times) < CRASHES_KNOWN:
            continue
        known_s = times[CRASHES_KNOWN - 1] + CONTACT_S
        later = [
            run
            for run in journal.runs
            if run.content == request
            and run.key in journal.attempts
            and known_s < run.began_s <= deadly.until_s
            and _is_in_touch(world, journal.attempts[run.key], run.began_s)
        ]
        if len(later) > MAX_LATER_RUNS:
            found.append(
                f"{request} ran {len(later)} times later, last at {later[-1].began_s:.2f}; "
                f"{len(times)} crashes, known at {known_s:.2f}"
            )
    return found


@check("sound requests beside one that crashes endpoints are served")
def check_beside_deadly_requests(world: World) -> list[str]:
    """Check that those of its route begin at least half as often as outside disruption."""
    found = []
    disrupted = union([*_deadly_times(world.journal), *_learning_times(world.journal)])
    for request, deadly in world.journal.deadly_requests.items():
        sound = [one for one in _sound(world, deadly) if _is_served_at(world, one)]
        window = _window(world.journal, request)
        learning = union(_learning_times(world.journal))
        own = [
            one
            for one in sound
            if _is_within(one, [window])
            and not _is_within(one, learning)
            and not _is_without_endpoints(world.journal, one)
        ]
        others = [
            one.status == 200
            for one in sound
            if not _is_within(one, disrupted) and _is_undisturbed(world, one)
        ]
        for name, chosen in _groups(own).items():
            served = [one.status == 200 for one in chosen]
            if is_served_less(served, others):
                found.append(
                    f"beside {request}: {sum(served)} of {len(served)} {name} begin, "
                    f"at other times {sum(others)} of {len(others)}"
                )
    return found


def _groups(attempts: Iterable[Attempt]) -> dict[str, list[Attempt]]:
    """Return the requests that came once, and each of those that came again and again."""
    groups: dict[str, list[Attempt]] = {}
    for one in attempts:
        name = f"of {one.content.key}" if one.content else "that came once"
        groups.setdefault(name, []).append(one)
    return groups


def _sound(world: World, deadly: DeadlyRequest) -> list[Attempt]:
    """Return the sound requests of the route; those with the first part of a deadly one aside."""
    spans = world.journal.deadly
    affected = {one.first_part for one in spans.values()}
    return [
        one
        for one in world.journal.attempts.values()
        if one.kind is deadly.content.kind
        and one.credential is None
        and not is_deadly(world, one)
        and not spans.keys() & set(one.parts)
        and not affected & set(one.parts[:1])
    ]


def _window(journal: Journal, request: str) -> Span:
    """Return the time while a request still comes and its crashes are known to all nodes."""
    times = _crash_times(journal, request)
    sent_s = [
        one.sent_s
        for one in journal.attempts.values()
        if one.content is not None and one.content.key == request
    ]
    if not times or not sent_s:
        return 0.0, 0.0
    return times[:CRASHES_KNOWN][-1] + 2 * CONTACT_S, max(sent_s)


def _learning_times(journal: Journal) -> list[Span]:
    """Return when requests and parts crashed endpoints that nodes need not know yet."""
    crashed: dict[tuple[str, str], list[float]] = {}
    for one in sorted(journal.crashes, key=lambda one: one.at_s):
        crashed.setdefault((one.part, one.request), []).append(one.at_s)
    return [
        (times[0], times[: CRASHES_KNOWN if request else PART_CRASHES_KNOWN][-1] + 2 * CONTACT_S)
        for (_, request), times in crashed.items()
    ]


def _deadly_times(journal: Journal) -> list[Span]:
    """Return when requests or parts could crash endpoints, and until these were back."""
    requests = ((one.from_s, one.until_s) for one in journal.deadly_requests.values())
    parts = ((one.from_s, one.until_s) for one in journal.deadly.values())
    return [(from_s, until_s + REQUEST_DOWN_S) for from_s, until_s in (*requests, *parts)]


def _is_in_touch(world: World, attempt: Attempt, at_s: float) -> bool:
    """Return whether the node of a request was in touch at a time: no SIGTERM shortly before."""
    stopped = any(at_s - CONTACT_S <= stop_s <= at_s for stop_s in _node(world, attempt).stops_s)
    return not stopped and is_in_touch(world, attempt, at_s)


def _is_served_at(world: World, attempt: Attempt) -> bool:
    """Return whether the node of a request was in touch and took requests."""
    stops_s = _node(world, attempt).stops_s
    stopping = any(at_s <= attempt.sent_s <= at_s + GRACE_S for at_s in stops_s)
    return not stopping and is_in_touch(world, attempt, attempt.sent_s)


def _is_without_endpoints(journal: Journal, attempt: Attempt) -> bool:
    """Return whether crashes had taken all endpoints of a request away when it was sent."""
    service = SERVICES.get(attempt.kind) or moved_service(attempt.version)
    services = {run.endpoint: run.service for run in journal.runs}
    down = {
        crash.endpoint
        for crash in journal.crashes
        if services.get(crash.endpoint) == service
        and 0.0
        <= attempt.sent_s - crash.at_s
        <= (REQUEST_DOWN_S if crash.request else CRASH_DOWN_S)
    }
    return len(down) >= journal.endpoints.get(service, math.inf)


def _node(world: World, attempt: Attempt) -> Node:
    return next(node for node in world.nodes if node.name == attempt.node)


def _is_within(attempt: Attempt, spans: list[Span]) -> bool:
    return any(from_s <= attempt.sent_s <= until_s for from_s, until_s in spans)


def _is_undisturbed(world: World, attempt: Attempt) -> bool:
    return _node(world, attempt).undisturbed_between(attempt.sent_s, attempt.ended_s)
