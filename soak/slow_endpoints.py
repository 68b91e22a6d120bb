"""Engines that report that they are slow, callers of brief streams, and the check of their use."""

from collections import Counter

from soak.callers import send_request
from soak.check_registry import check
from soak.customer_checks import is_calm
from soak.fault_registry import Fault, registrar
from soak.item_states import unavailable_spans
from soak.journal import Kind, SlowSpan
from soak.world import World

__all__ = ["SPEED_FAULTS", "brief_client", "check_slow_endpoints"]

SPEED_FAULTS: dict[str, Fault] = {}
speed_fault = registrar(SPEED_FAULTS)
"""Faults of engines that report their speed; drawn only if those of a soak do."""

BRIEF_PAUSE_S = 0.1
KNOWN_S = 0.5
"""Time from which on the nodes know that an endpoint is slow."""

MIN_SLOWNESS = 4.0
"""Slowness from which an endpoint must get at most ``MAX_SHARE`` of what an equal one gets.

By its cost, an endpoint that is four times slower gets a quarter as much; reports have an age.
"""

MAX_SHARE = 0.5
MIN_REQUESTS = 12
"""Requests that an endpoint of usual speed must have got for a comparison."""


@speed_fault("slow endpoint")
async def slow_endpoint(world: World) -> None:
    """Let an engine work several times slower and report it."""
    endpoint = world.endpoints[world.random.choice(world.registered("engines"))]
    slowness, lasts_s = world.random.uniform(MIN_SLOWNESS, 6.0), world.random.uniform(2.0, 6.0)
    if endpoint.slowness != 1.0:
        return
    span = SlowSpan(endpoint.name, slowness, world.loop.now())
    world.journal.slow.append(span)
    endpoint.slowness = slowness
    await world.loop.sleep(lasts_s)
    endpoint.slowness = 1.0
    span.until_s = world.loop.now()


async def brief_client(world: World, number: int, until_s: float) -> None:
    """Send brief streams until a time."""
    while world.loop.now() < until_s:
        node = world.client_random.choice(world.nodes)
        attempt = f"{next(world.numbers):x}b{number:x}c"
        _, caller = await send_request(world, node, None, Kind.BRIEF, attempt)
        if caller is not None:
            caller.close()
        await world.loop.sleep(world.client_random.uniform(0.0, 2 * BRIEF_PAUSE_S))


@check("an endpoint that is slow gets fewer requests than an equal one")
def check_slow_endpoints(world: World) -> list[str]:
    """Check brief streams, of which only reports tell how long they take."""
    found = []
    journal = world.journal
    kinds = {one.attempt: one.kind for one in journal.attempts.values()}
    # A full endpoint costs more than a slow one.
    full = unavailable_spans(journal)
    for span in journal.slow:
        from_s = span.from_s + KNOWN_S
        if span.slowness < MIN_SLOWNESS or not is_calm(world, from_s, span.until_s):
            continue
        counts = Counter(
            run.endpoint
            for run in journal.runs
            if kinds.get(run.attempt) is Kind.BRIEF
            and from_s <= run.began_s <= span.until_s
            and not any(begin_s <= run.began_s <= end_s for begin_s, end_s in full)
        )
        slow = {
            one.endpoint
            for one in journal.slow
            if one.from_s <= span.until_s and from_s <= one.until_s + KNOWN_S
        }
        equal = [count for name, count in counts.items() if name not in slow]
        mean = sum(equal) / len(equal) if equal else 0.0
        own = counts[span.endpoint]
        if mean >= MIN_REQUESTS and own > MAX_SHARE * mean:
            found.append(
                f"{span.endpoint}, {span.slowness:.1f} times slower from {span.from_s:.2f} to "
                f"{span.until_s:.2f}, got {own} requests, others {mean:.0f}"
            )
    return found
