"""Steps for the limits on customers' requests, at real front processes with stand-ins."""

from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from behave import then, when

from features.steps.front_requests_steps import run_with_fleet
from features.support.customer_fleet import ready, start_customers
from features.support.front_fleet import FrontFleet
from features.support.limit_bounds import most_in_window
from features.support.limit_fleet import (
    WINDOW_S,
    LimitedCallers,
    allowed,
    crash,
    granting,
    holders,
    limited,
    restart,
    runs,
    shares_in_use,
    start_limited,
)
from parsleyrouter.ids import CustomerName
from parsleyrouter.limits.authority import AUTHORITY_S
from parsleyrouter.limits.shares import all_shares, group_of, shares_of
from parsleyrouter.platform.settings import read_settings
from parsleyrouter.process.front import Front

RATE_PER_S = 20.0
MIN_SHARE = 0.9
"""Stated least share of what a customer may send."""

SETTINGS = """
node = "n1"
ip = "10.1.0.35"
zone = "z1"
internalPorts = [7660, {last}]
[listen]
front = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
directory = "10.1.0.35:8143"
[platform]
address = "10.200.1.7:8142"
"""

LOAD_S = 7.0
EVENT_LOAD_S = 13.0
LOWERED_PER_S = 8.0


@when("a limited customer sends three times its limit to {where} of four nodes")
def step_send_over_limit(context: Any, where: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_limited(fleet, 4, RATE_PER_S)
        callers = LimitedCallers(fleet)
        entries = fleet.fronts if where == "all" else fleet.fronts[:1]
        await callers.send(3 * RATE_PER_S, LOAD_S, entries)
        context.runs = runs(fleet)
        context.callers = callers

    run_with_fleet(context, scenario)


@then("nine tenths of the limit run and no window holds more than is allowed")
def step_nine_tenths(context: Any) -> None:
    callers = context.callers
    assert callers.count(200) + callers.count(429) == callers.sent, callers.statuses()
    assert len(context.runs) >= MIN_SHARE * RATE_PER_S * LOAD_S, len(context.runs)
    assert most_in_window(context.runs, WINDOW_S) <= allowed(RATE_PER_S), most_in_window(
        context.runs, WINDOW_S
    )


Event = Callable[[FrontFleet], Awaitable[None]]
EVENTS: dict[str, Event] = {}


def event(name: str) -> Callable[[Event], Event]:
    """Register something that happens to a fleet under load."""

    def register(function: Event) -> Event:
        EVENTS[name] = function
        return function

    return register


def a_holder(fleet: FrontFleet) -> Front:
    """Return a front that holds a share of the customer's limit."""
    share = shares_of(group_of(CustomerName("ant")))[0]
    return next(
        front
        for front in fleet.fronts
        if front.limits is not None and front.limits.keeper.authority.holds(share)
    )


@event("a holder is killed")
async def _kill(fleet: FrontFleet) -> None:
    crash(a_holder(fleet))


@event("a holder is not heard by the others")
async def _silence(fleet: FrontFleet) -> None:
    holder = a_holder(fleet)
    assert holder.limits is not None
    holder.limits.calls.datagrams.send = lambda to, data: None  # type: ignore[method-assign]


@event("the store is down for nine seconds")
async def _store_down(fleet: FrontFleet) -> None:
    fleet.store.faults.refuse = 503
    await fleet.loop.sleep(9.0)
    fleet.store.faults.refuse = 0


@event("the store turns a third of the nodes away")
async def _turned_away(fleet: FrontFleet) -> None:
    away = [a_holder(fleet)]
    for front in away:
        front.store.address = fleet.silent.address  # type: ignore[attr-defined]
    await fleet.loop.sleep(9.0)
    for front in away:
        front.store.address = fleet.store.address  # type: ignore[attr-defined]


@event("all nodes are killed and restart")
async def _restart_all(fleet: FrontFleet) -> None:
    for front in fleet.fronts:
        crash(front)
    for number in range(len(fleet.fronts)):
        restart(fleet, number)
    started_s = fleet.loop.now()
    await ready(fleet)
    await shares_in_use(fleet, 2.0)
    assert fleet.loop.now() - started_s < 2.0, fleet.loop.now() - started_s


@event("a node joins")
async def _join(fleet: FrontFleet) -> None:
    before = holders(fleet)
    await fleet.start(1, configured=False)
    await fleet.loop.sleep(2.0)
    assert holders(fleet) == before, (holders(fleet), before)


@event("a holder stops as planned")
async def _stop(fleet: FrontFleet) -> None:
    holder = a_holder(fleet)
    assert holder.limits is not None
    holder.registry.leaving = True
    holder.exchange.broadcast()
    await holder.limits.keeper.release(fleet.loop.now() + 1.0)
    await shares_in_use(fleet, 3.0)


@when("{what} while a limited customer sends three times its limit")
def step_event(context: Any, what: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_limited(fleet, 4, RATE_PER_S)
        callers = LimitedCallers(fleet)
        load = fleet.loop.spawn(callers.send(3 * RATE_PER_S, EVENT_LOAD_S))
        await fleet.loop.sleep(2.0)
        happens = fleet.loop.spawn(EVENTS[what](fleet))
        await fleet.loop.gather([load, happens])
        context.runs = runs(fleet)
        context.statuses = callers.statuses()

    run_with_fleet(context, scenario)


@then("{share:g} of the limit run meanwhile and no window holds more than is allowed")
def step_share_runs(context: Any, share: float) -> None:
    wanted = share * RATE_PER_S * EVENT_LOAD_S
    assert len(context.runs) >= wanted, (len(context.runs), wanted, context.statuses)
    assert most_in_window(context.runs, WINDOW_S) <= allowed(RATE_PER_S), most_in_window(
        context.runs, WINDOW_S
    )


@when("a node that holds shares is killed and does not return")
def step_killed_for_good(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_limited(fleet, 3, RATE_PER_S)
        killed = a_holder(fleet)
        crash(killed)
        fleet.store.end_lease(killed.registry.lease)
        started_s = fleet.loop.now()
        await shares_in_use(fleet, 30.0)
        context.took_s = fleet.loop.now() - started_s
        context.granting = granting(fleet)

    run_with_fleet(context, scenario)


@then("the others grant from its shares within half a minute, none of them twice")
def step_used_again(context: Any) -> None:
    assert context.took_s > AUTHORITY_S, context.took_s
    assert context.granting == all_shares(), context.granting


@when("a limit is lowered while its customer sends seven times as much")
def step_lower(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_limited(fleet, 4, RATE_PER_S)
        callers = LimitedCallers(fleet)
        load = fleet.loop.spawn(callers.send(7 * RATE_PER_S, 12.0))
        await fleet.loop.sleep(3.0)
        fleet.store.put_json("op/config", limited(2, LOWERED_PER_S))
        await fleet.until(lambda: all(front.routes.version == 2 for front in fleet.fronts))
        context.since_s = fleet.loop.now()
        await load
        context.runs = runs(fleet)

    run_with_fleet(context, scenario)


@then("windows after that hold no more than the lowered limit allows")
def step_lowered(context: Any) -> None:
    after = [at_s for at_s in context.runs if at_s >= context.since_s]
    most = most_in_window(after, WINDOW_S)
    assert most <= allowed(LOWERED_PER_S), most
    before = [at_s for at_s in context.runs if at_s < context.since_s]
    assert len(before) > LOWERED_PER_S * 3.0, len(before)


@when("customers with limits send within them for some seconds")
def step_quiet(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_limited(fleet, 3, RATE_PER_S)
        await fleet.loop.sleep(11.0)
        before = len(fleet.store.transactions)
        callers = LimitedCallers(fleet)
        await callers.send(0.5 * RATE_PER_S, 4.0)
        later = fleet.store.transactions[before:]
        context.written = [keys for keys in later if "/limit/" in keys]
        context.statuses = callers.statuses()

    async def without_limits(fleet: FrontFleet) -> None:
        await start_customers(fleet, 2)
        await fleet.loop.sleep(3.0)
        context.written += [keys for keys in fleet.store.transactions if "/limit/" in keys]

    run_with_fleet(context, scenario)
    run_with_fleet(context, without_limits)


@then("no share is written, and none without a customer that has a limit")
def step_nothing_written(context: Any) -> None:
    assert context.written == [], context.written
    assert context.statuses.keys() == {200}, context.statuses


@when("callers over the limit return when they were told")
def step_return(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_limited(fleet, 4, RATE_PER_S)
        callers = LimitedCallers(fleet)
        callers.patient = True
        await callers.send(1.3 * RATE_PER_S, 6.0)
        context.returned = callers.returned

    run_with_fleet(context, scenario)


@then("nearly all that were told a time within their patience get a permit then")
def step_returned(context: Any) -> None:
    assert len(context.returned) >= 10, len(context.returned)
    granted = sum(status == 200 for status in context.returned)
    assert granted >= 0.9 * len(context.returned), Counter(context.returned)


@when("settings with one port between nodes and with several are read")
def step_ports(context: Any) -> None:
    context.found = []
    with TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        for last in (7660, 7661, 7675):
            path.write_text(SETTINGS.format(last=last))
            context.found.append(read_settings(path).limits)


@then("only the latter have an address for asks, on the second port")
def step_second_port(context: Any) -> None:
    assert context.found == ["", "10.1.0.35:7661", "10.1.0.35:7661"], context.found
