"""Steps for the proofs of what nodes know of the store, read through leaders."""

from functools import partial
from typing import Any

from behave import then, when

from features.steps.cell_reader_steps import SETTLED_S, _address_unless_failed, start_cells
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet
from features.support.limit_fleet import LimitedCallers, holders, limited, shares_in_use
from parsleyrouter.limits.shares import LIMITS_PREFIX
from parsleyrouter.process.boot_clock import boot_now_s
from parsleyrouter.process.cell_reader import CHANGES_WAIT_S
from parsleyrouter.process.front import LIVE_PREFIX, Front

HELD_S = 0.12
"""Time for which each call and each answer between nodes is held up."""

WRITE_PAUSE_S = 0.03
PLAY_S = 8.0
ALONE_S = 4.0

RECENT_S = 4.0
"""Longest age of a proof with all nodes in touch: a few reads through two leaders."""


def hold_up(front: Front) -> None:
    """Hold up the calls of a front to other nodes, and their answers."""
    call = front.reader.peers.call

    async def held(*values: Any) -> Any:
        await front.loop.sleep(HELD_S)
        answer = await call(*values)
        await front.loop.sleep(HELD_S)
        return answer

    front.reader.peers = type("Held", (), {"call": staticmethod(held), "close": lambda *_: None})()


def proved_s(front: Front) -> float:
    return front.reader.watched_prefix(LIVE_PREFIX).proved_s


@when("keys are written while answers between nodes are held up and nodes read through leaders")
def step_held_up(context: Any) -> None:
    context.lacking, context.ages, context.samples = [], [], 0

    async def scenario(fleet: FrontFleet) -> None:
        await start_cells(fleet)
        await fleet.loop.sleep(SETTLED_S)
        for front in fleet.fronts:
            hold_up(front)
        written: list[tuple[str, float]] = []
        until_s = fleet.loop.now() + PLAY_S
        while fleet.loop.now() < until_s:
            key = f"{LIMITS_PREFIX}test/{len(written)}"
            fleet.store.put(key, b"{}")
            written.append((key, boot_now_s()))
            await fleet.loop.sleep(WRITE_PAUSE_S)
            for front in fleet.fronts:
                known = front.reader.watched_prefix(LIVE_PREFIX).entries
                context.lacking += [
                    (front.registry.own.node, one)
                    for one, at_s in written
                    if at_s <= proved_s(front) and one not in known
                ]
                context.samples += 1
        context.ages = [boot_now_s() - proved_s(front) for front in fleet.fronts]

    run_with_fleet(context, scenario)


@then("no node lacks a key that was written before its proof, and all proofs are recent")
def step_none_lacking(context: Any) -> None:
    assert context.samples > 100, context.samples
    assert not context.lacking, context.lacking[:3]
    assert max(context.ages) < RECENT_S, context.ages


@when("two nodes ask only each other for what the store holds")
def step_only_each_other(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        leaders, _ = await start_cells(fleet)
        first, second = leaders[0], leaders[1]
        await fleet.loop.sleep(SETTLED_S)
        for one, other in ((first, second), (second, first)):
            one.store.address = fleet.silent.address  # type: ignore[attr-defined]
            one.reader._leader_address = partial(  # type: ignore[method-assign]
                _address_unless_failed, one, other
            )
        await fleet.loop.sleep(CHANGES_WAIT_S)
        since_s = boot_now_s()
        await fleet.loop.sleep(ALONE_S)
        context.ages = [boot_now_s() - proved_s(one) for one in (first, second)]
        context.alone_s = boot_now_s() - since_s

    run_with_fleet(context, scenario)


@then("the proofs of both are as old as their last reads from the store")
def step_old_proofs(context: Any) -> None:
    assert min(context.ages) >= context.alone_s, (context.ages, context.alone_s)


@when("a customer gets a limit and sends to active nodes and to nodes on standby")
def step_large_fleet(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards")
        await start_cells(fleet)
        fleet.store.put_json("op/config", limited(2, 20.0))
        await fleet.until(lambda: all(front.routes.version == 2 for front in fleet.fronts))
        await shares_in_use(fleet)
        await fleet.loop.sleep(2.0)
        context.holders = set(holders(fleet).values())
        context.active = {
            front.registry.own.node
            for front in fleet.fronts
            if not front.exchange.members.on_standby
        }
        callers = LimitedCallers(fleet)
        await callers.send(10.0, 3.0)
        context.statuses = callers.statuses()

    run_with_fleet(context, scenario)


@then("active nodes hold all shares and the customer is served at every node")
def step_active_hold(context: Any) -> None:
    assert context.holders <= context.active, (context.holders, context.active)
    assert context.statuses.keys() == {200}, context.statuses
