"""Checks of the customers' keys and limits."""

from collections.abc import Iterator
from itertools import pairwise
from math import inf

from soak.check_registry import check, runs_by_attempt
from soak.customers import STEADY_CUSTOMER, STEADY_KEY
from soak.journal import Attempt, CustomerLimit, KeySpan, Kind, Run
from soak.nodes import REVOKE_S, Node
from soak.world import World

__all__ = [
    "check_accepted_keys",
    "check_customer_limits",
    "check_needless_refusals",
    "check_removed_keys",
    "check_told_customers",
    "is_calm",
]

KEY_APPLY_S = 2.0
"""Time in which nodes in touch apply a new configuration."""

OVERSHOOT = 0.1
SLACK = 20
WINDOWS_S = (1.0, 5.0, 20.0)
"""The bound of docs/design/limits.md, and windows in which it is checked."""

CALM_S = 25.0
"""Time after a failure in which shares of a limit may have no holder: a lease, 3 s and 15 s."""

START_S = 5.0
"""Time after the start of all nodes in which the shares are claimed and begin to fill."""

REFUSED_S = 3.0
"""Time after a refusal in which room may be kept for callers that were told to return."""


def is_calm(world: World, from_s: float, until_s: float) -> bool:
    """Return whether nothing but the customers and the speed of endpoints changed meanwhile."""
    journal = world.journal
    spans = [*journal.absences, *journal.limits]
    if any(one.from_s <= until_s and from_s <= one.until_s for one in spans):
        return False
    return all(_is_calm_node(node, from_s, until_s) for node in world.nodes) and not any(
        from_s <= one.at_s <= until_s for one in journal.crashes
    )


def _is_calm_node(node: Node, from_s: float, until_s: float) -> bool:
    times_s = [*node.stops_s, *node.interruptions_s]
    return node.undisturbed_between(from_s, until_s) and not any(
        from_s <= at_s <= until_s for at_s in times_s
    )


def _is_undisturbed(world: World, one: Attempt, from_s: float, until_s: float) -> bool:
    node = next(node for node in world.nodes if node.name == one.node)
    return node.undisturbed_between(from_s, until_s)


def _key_of(one: Attempt) -> str:
    return STEADY_KEY if one.credential is None else one.credential


def _believed_spans(world: World, one: Attempt, run: Run) -> list[KeySpan]:
    """Return the spans of its key that the node of a request may have taken as in force."""
    spans = [span for span in world.journal.keys if span.key == _key_of(one)]
    return [
        span
        for span in spans
        if span.from_s <= run.began_s and one.sent_s <= _believed_until_s(world, one, span)
    ]


def _believed_until_s(world: World, one: Attempt, span: KeySpan) -> float:
    if span.until_s == inf or _is_undisturbed(world, one, span.until_s, one.sent_s):
        return span.until_s + KEY_APPLY_S
    # A node that may have missed a removal serves on where no key is needed.
    return inf if one.kind is Kind.OPEN else span.until_s + REVOKE_S


def _customer_runs(world: World) -> Iterator[tuple[Attempt, Run]]:
    """Yield the runs of requests, in a soak with customers."""
    if world.journal.keys:
        for run in world.journal.runs:
            one = world.journal.attempts.get(run.key)
            if one is not None:
                yield one, run


@check("a request without a key in force is never run")
def check_removed_keys(world: World) -> list[str]:
    """Check the runs of requests whose key was removed, is not known or was not sent."""
    return [
        f"{one.attempt} at {one.node}, sent at {one.sent_s:.2f} with {_key_of(one) or 'no key'}"
        for one, run in _customer_runs(world)
        if one.kind is not Kind.OPEN and not _believed_spans(world, one, run)
    ]


@check("endpoints are told the customer that holds the key, and never the key")
def check_told_customers(world: World) -> list[str]:
    """Check the customers that endpoints were told."""
    found = []
    for one, run in _customer_runs(world):
        believed = _believed_spans(world, one, run)
        names = {span.customer for span in believed}
        if one.kind is Kind.OPEN and not _is_known_always(world, one, believed):
            names.add("")
        # That the request may not run at all is reported by the check of removed keys.
        if names and run.customer not in names:
            found.append(f"{one.attempt}: {run.customer!r} instead of {sorted(names)}")
    items = {item for job in world.journal.jobs.values() for item in job.items}
    for run in world.journal.runs if world.journal.keys else ():
        if run.attempt in items and run.customer != STEADY_CUSTOMER:
            found.append(f"item {run.attempt}: {run.customer!r}")
        if run.key_told:
            found.append(f"{run.attempt}: {run.endpoint} was sent a key")
    return found


def _is_known_always(world: World, one: Attempt, believed: list[KeySpan]) -> bool:
    """Return whether the node of a request must know all the time that its key is held."""
    return any(
        span.from_s + KEY_APPLY_S < one.sent_s <= one.ended_s < span.until_s
        and _is_undisturbed(world, one, span.from_s, one.ended_s)
        for span in believed
    )


@check("a key in force is known to nodes in touch")
def check_accepted_keys(world: World) -> list[str]:
    """Check requests that were refused for their key."""
    return [
        f"{one.attempt} at {one.node}, sent at {one.sent_s:.2f} with {one.credential}"
        for one in world.journal.attempts.values()
        if one.status == 401
        and _is_known_always(
            world, one, [span for span in world.journal.keys if span.key == _key_of(one)]
        )
    ]


@check("the limits of customers")
def check_customer_limits(world: World) -> list[str]:
    """Check what was sent and began to run at any endpoint within each window."""
    found = []
    runs = runs_by_attempt(world.journal)
    for limit in world.journal.customer_limits:
        times = sorted(
            (one.sent_s, min(run.began_s for run in runs[name]))
            for name, one in world.journal.attempts.items()
            if any(run.customer == limit.customer for run in runs.get(name, ()))
        )
        for window_s in WINDOWS_S:
            allowed = (limit.rate_per_s * window_s + limit.burst) * (1 + OVERSHOOT) + SLACK
            most = max(
                (
                    sum(sent_s >= at_s and began_s <= at_s + window_s for sent_s, began_s in times)
                    for at_s, _ in times
                ),
                default=0,
            )
            if most > allowed:
                found.append(
                    f"{limit.customer} ran {most} in {window_s:g} s, {allowed:g} allowed at "
                    f"{limit.rate_per_s:g} a second, burst {limit.burst:g}"
                )
    return found


@check("a customer below its limit is not refused for it")
def check_needless_refusals(world: World) -> list[str]:
    """Check refusals in calm seconds, after few requests of the customer and no refusal."""
    found = []
    for limit in world.journal.customer_limits:
        own = sorted(_requests_of(world, limit), key=lambda one: one.sent_s)
        refused = [one for one in own if _is_over_limit(limit, one)]
        for former, one in pairwise([None, *refused]):
            assert one is not None
            lately = former is not None and one.sent_s - former.ended_s < REFUSED_S
            if lately or not _is_far_below(limit, own, one):
                continue
            first_s = max(node.interruptions_s[0] for node in world.nodes) + START_S
            from_s = max(first_s, one.sent_s - CALM_S)
            if one.sent_s > from_s and is_calm(world, from_s, one.ended_s):
                found.append(f"{one.attempt} at {one.node} of {limit.customer}: {one.body!r}")
    return found


def _requests_of(world: World, limit: CustomerLimit) -> Iterator[Attempt]:
    """Yield the requests that may count for a customer."""
    keys = {span.key for span in world.journal.keys if span.customer == limit.customer}
    return (one for one in world.journal.attempts.values() if one.credential in keys)


def _is_over_limit(limit: CustomerLimit, one: Attempt) -> bool:
    """Return whether a request was refused for this limit; its key may have moved meanwhile."""
    return one.status == 429 and f"{limit.customer} is at its limit".encode() in one.body


def _is_far_below(limit: CustomerLimit, own: list[Attempt], one: Attempt) -> bool:
    """Return whether a request finds permits in two of the four shares.

    Each share has filled within the time, but for the permits that were taken meanwhile.
    """
    permits = max(4.0, limit.burst)
    from_s = one.sent_s - (permits + 4.0) / limit.rate_per_s
    taken = sum(from_s <= other.sent_s <= one.ended_s for other in own) - 1
    return taken < permits / 2
