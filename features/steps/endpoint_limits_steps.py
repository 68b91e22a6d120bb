"""Steps for limits that endpoints name."""

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from behave import then, when

from features.support.agents import until
from features.support.limit_play import ENDPOINT, WINDOW_S, LimitPlay
from features.support.load_exchange_fleet import LoadExchangeFleet
from features.support.loop import run_on_loop
from parsleyrouter.ids import EndpointId, NodeId, ServiceName
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.fleet_limits import ENDED_RETENTION_S, FleetLimits, LimitedRequest
from parsleyrouter.process.load_exchange import DEBOUNCE_S
from parsleyrouter.request.permit_queue import PermitQueue

CONTACT_S = 3.0
"""Time after an endpoint first named a limit from which it holds."""

RUN_S = 40.0
SEEDS = range(8)
DEMAND = 4.0
"""Requests that arrive for each one that the endpoint takes."""

MIN_USE = 0.85
PER_S = 2.6
NODES = 7

EVENTS: dict[str, Callable[[LimitPlay], None]] = {}


def event(name: str) -> Callable[[Callable[[LimitPlay], None]], Callable[[LimitPlay], None]]:
    """Register something that happens to the nodes during a limit."""

    def register(function: Callable[[LimitPlay], None]) -> Callable[[LimitPlay], None]:
        EVENTS[name] = function
        return function

    return register


@event("nodes join")
def _join(play: LimitPlay) -> None:
    for number in range(5):
        play.at(10.0 + 3 * number, lambda number=number: play.start(NodeId(f"new{number}")))


@event("nodes restart in turn")
def _restart(play: LimitPlay) -> None:
    for number in range(NODES):
        play.at(8.0 + 2 * number, lambda number=number: play.start(NodeId(f"n{number}")))


@event("all nodes restart at once")
def _restart_all(play: LimitPlay) -> None:
    for number in range(NODES):
        play.at(10.0, lambda number=number: play.start(NodeId(f"n{number}")))


@event("half of the nodes hear only each other")
def _halves(play: LimitPlay) -> None:
    play.at(10.0, lambda: play.parted.update(NodeId(f"n{number}") for number in range(3)))
    play.at(25.0, play.parted.clear)


@event("one node hears no other")
def _alone(play: LimitPlay) -> None:
    play.at(10.0, lambda: play.parted.add(NodeId("n0")))
    play.at(25.0, play.parted.clear)


@event("a third of the reports are lost")
def _lossy(play: LimitPlay) -> None:
    play.loss = 1 / 3


@event("the limit falls")
def _falls(play: LimitPlay) -> None:
    play.per_s = 10.0

    def fall() -> None:
        play.per_s = PER_S

    play.at(15.0, fall)


@event("a burst follows a pause")
def _burst(play: LimitPlay) -> None:
    play.demand_per_s = 1.0

    def burst() -> None:
        play.demand_per_s = 40.0

    play.at(20.0, burst)


FLASH = 40
FLASH_AT_S = 20.0


@event("many requests come at once")
def _flash(play: LimitPlay) -> None:
    play.demand_per_s = 1.0
    play.at(FLASH_AT_S, lambda: play.flash(FLASH))


@when("many requests come at once at {nodes:d} nodes with a limit of {per_s:f} a second")
def step_flash(context: Any, nodes: int, per_s: float) -> None:
    context.per_s = per_s
    context.plays = []
    for seed in SEEDS:
        play = LimitPlay(nodes, per_s, per_s / 2, seed)
        play.at(FLASH_AT_S, lambda play=play: play.flash(FLASH))
        play.run(RUN_S)
        context.plays.append((play, CONTACT_S))


@when("a node sends a request to an endpoint without a limit and one to an endpoint with a limit")
def step_reports(context: Any) -> None:
    async def main(runtime: Any) -> None:
        fleet = LoadExchangeFleet(runtime, {"z": 2})
        sender, hearer = (fleet.exchanges[node] for node in sorted(fleet.exchanges))
        sender.loads.limits.record_answer(ENDPOINT, PER_S, fleet.loop.now())
        sender.broadcast()
        context.begun_s, context.due_s = [], []
        for endpoint in (EndpointId("unlimited"), ENDPOINT.endpoint):
            context.begun_s.append(fleet.loop.now())
            sender.loads.request_started(endpoint, batch=False, now=fleet.loop.now())
            context.due_s.append(sender.broadcast_at_s)
        context.ended_s = fleet.loop.now()
        await until(
            runtime, lambda: hearer.loads.fleet_use(ENDPOINT.endpoint, fleet.loop.now()).online
        )

    run_on_loop(main)


@then("the report of the second is due at once, before the one that was scheduled for the first")
def step_reported(context: Any) -> None:
    unlimited_s, limited_s = context.due_s
    assert unlimited_s >= context.begun_s[0] + DEBOUNCE_S, context.due_s
    assert limited_s <= context.ended_s, context.due_s


@when("a node learns of a limit on standby, and another one is on standby with permits left")
def step_standby(context: Any) -> None:
    context.left, context.left_when_active = [], []
    for standby_from_s in (0.0, 5.0):
        share = [0.0 if standby_from_s == 0.0 else 1.0]
        limits = FleetLimits(share=lambda share=share: share[0])  # type: ignore[misc]
        limits.record_answer(ENDPOINT, PER_S, 1.0)
        limits.permits(ENDPOINT, 4.0)
        share[0] = 0.0
        context.left += [limits.permits(ENDPOINT, 5.0), limits.batch_permits(ENDPOINT, 5.0)]
        share[0] = 1.0
        limits.permits(ENDPOINT, 6.0)
        context.left_when_active.append(limits.permits(ENDPOINT, 8.0))


@then("neither sends any request to the endpoint, and both send again when they are active")
def step_standby_none(context: Any) -> None:
    assert max(context.left) < LimitedRequest.CONTINUED.value, context.left
    assert min(context.left_when_active) >= LimitedRequest.NEW.value, context.left_when_active


@when("the registration of an endpoint with a limit is gone and comes back without a restart")
def step_gone(context: Any) -> None:
    loads = EndpointLoads()
    loads.limits.record_answer(ENDPOINT, PER_S, 1.0)
    loads.forget(ENDPOINT.endpoint)
    context.left = [
        loads.limits.permits(entry, 1.0)
        for entry in (ENDPOINT, replace(ENDPOINT, started_ms=ENDPOINT.started_ms + 1))
    ]


@then("the limit is still in force, and it is not after a restart")
def step_kept(context: Any) -> None:
    assert context.left == [0.0, math.inf], context.left


@when("{nodes:d} nodes get more requests than an endpoint with a limit of {per_s:f} a second takes")
def step_saturate(context: Any, nodes: int, per_s: float) -> None:
    context.per_s = per_s
    context.plays = []
    for seed in SEEDS:
        play = LimitPlay(nodes, per_s, max(2.0, DEMAND * per_s), seed)
        play.run(RUN_S)
        context.plays.append((play, CONTACT_S))


@when("{name} during a limit")
def step_event(context: Any, name: str) -> None:
    context.per_s = PER_S
    context.plays = []
    for seed in SEEDS:
        play = LimitPlay(NODES, PER_S, DEMAND * PER_S, seed)
        EVENTS[name](play)
        play.run(RUN_S)
        # A limit that falls holds from the time at which the endpoint may first have said so.
        context.plays.append((play, 18.0 if "falls" in name else CONTACT_S))


@then("it gets no more than the limit allows in any four seconds")
def step_within(context: Any) -> None:
    allowed = 1.5 * context.per_s * WINDOW_S + 5
    most = [play.most_in_window(since_s) for play, since_s in context.plays]
    assert max(most) <= allowed, (most, allowed)


@then("it gets nearly all that it takes")
def step_used(context: Any) -> None:
    for play, since_s in context.plays:
        sent = sum(at >= since_s for at in play.sent_s)
        assert sent >= MIN_USE * context.per_s * (RUN_S - since_s), (sent, play.refused)


@when("a limit ends while requests arrive")
def step_ends(context: Any) -> None:
    context.left, context.told = [], []
    for seed in SEEDS:
        play = LimitPlay(NODES, PER_S, DEMAND * PER_S, seed)
        play.run(10.0)
        play.per_s = None
        play.run(12.0)
        permits = [one.limits.permits(ENDPOINT, play.now) for one in play.nodes.values()]
        context.left += permits
        play.run(12.0 + 2 * ENDED_RETENTION_S)
        context.told = [one.limits.reports(play.now) for one in play.nodes.values()]


@then("all nodes send without a limit within two seconds")
def step_unlimited(context: Any) -> None:
    assert all(left == float("inf") for left in context.left), context.left


@then("they stop telling each other of it")
def step_not_told(context: Any) -> None:
    assert not any(context.told), context.told


@when("callers are refused one after the other for a limit")
def step_refuse_many(context: Any) -> None:
    queue = PermitQueue()
    context.told = [
        now + queue.retry_after_s(ServiceName("s"), wait_s=0.3, per_s=2.0, left_s=5.0, now=now)
        for now in (10.0, 10.01, 10.02, 10.5)
    ]


@then("each is told a time of its own, as far apart as permits accrue")
def step_told_apart(context: Any) -> None:
    gaps = [later - earlier for earlier, later in zip(context.told, context.told[1:], strict=False)]
    assert all(gap >= 0.5 - 1e-9 for gap in gaps), context.told
