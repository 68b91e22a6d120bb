"""Steps for the age of the state that nodes read from the store."""

from collections.abc import Callable
from itertools import accumulate
from typing import Any

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

import parsleyrouter.process.cells as cells
from features.steps.cell_reader_steps import start_cells
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet, routes
from parsleyrouter.connection.key_value import KeyValueFailure
from parsleyrouter.connection.service_contact import SendWindow, ServiceContact
from parsleyrouter.ids import Address, DomainName, EndpointId, NodeId
from parsleyrouter.process.cell_reader import CHANGES_WAIT_S, DISCOVERY_S, READ_PAUSE_S
from parsleyrouter.process.front import Front
from parsleyrouter.process.node_registry import (
    NODES_PREFIX,
    RETRY_INTERVAL_S,
    RegisteredNode,
)
from parsleyrouter.process.prefix_watcher import MAX_RETRY_S

CONTACT_S = 3.0
"""Time after trouble of the store from which a node counts as in touch again."""

SLOW_ANSWER_S = 0.25
"""Time of an answer of a slow store."""

CONFIG_APPLY_S = 2.0
"""Time after an acknowledged change of the configuration in which it takes effect."""

DRAIN_S = 2.0
"""Time after an acknowledged removal from which an endpoint may get no request."""

Trouble = Callable[[FrontFleet, bool], None]
TROUBLES: dict[str, Trouble] = {}


def trouble(name: str) -> Callable[[Trouble], Trouble]:
    """Register a trouble of the store; it is called with whether it begins or ends."""

    def register(function: Trouble) -> Trouble:
        TROUBLES[name] = function
        return function

    return register


@trouble("is silent")
def _silent(fleet: FrontFleet, begins: bool) -> None:
    fleet.store.faults.silent = begins


@trouble("is silent and forgets its history")
def _forgetful(fleet: FrontFleet, begins: bool) -> None:
    fleet.store.faults.silent = begins
    fleet.store.forget_history()


@trouble("resets connections")
def _resetting(fleet: FrontFleet, begins: bool) -> None:
    fleet.store.faults.reset = begins


@trouble("is busy")
def _busy(fleet: FrontFleet, begins: bool) -> None:
    fleet.store.faults.refuse = 429 if begins else 0


@trouble("refuses all calls")
def _refusing(fleet: FrontFleet, begins: bool) -> None:
    fleet.store.faults.refuse = 503 if begins else 0


@trouble("is slow")
def _slow(fleet: FrontFleet, begins: bool) -> None:
    fleet.store.faults.delay_s = 0.25 if begins else 0.0


@trouble("is silent to one node")
def _silent_to_one(fleet: FrontFleet, begins: bool) -> None:
    address: Address = fleet.silent.address if begins else fleet.store.address
    fleet.fronts[0].store.address = address  # type: ignore[attr-defined]


@given("a fleet of {kind} nodes")
def step_fleet_kind(context: Any, kind: str) -> None:
    context.divided = kind == "divided"
    previous = cells.MAX_MEAN_CELL_NODES
    if context.divided:
        cells.MAX_MEAN_CELL_NODES = 3
    context.add_cleanup(lambda: setattr(cells, "MAX_MEAN_CELL_NODES", previous))


def change_all(fleet: FrontFleet, version: int) -> None:
    """Change the routes, an endpoint and the registered nodes."""
    fleet.store.put_json("op/config", routes(version))
    fleet.announce("e1", slots=version)
    node = NodeId(f"added-{version}")
    address = Address("127.0.0.1:9")
    added = RegisteredNode(node, DomainName("z1"), address, address, boot=1)
    fleet.store.put(NODES_PREFIX + node, msgspec.json.encode(added))


def has_all(front: Front, version: int) -> bool:
    endpoint = front.directory.endpoints.get(EndpointId("e1"))
    return (
        front.routes.version == version
        and endpoint is not None
        and endpoint.slots == version
        and NodeId(f"added-{version}") in front.registry.nodes
    )


@when("the store {name} for {seconds:f} s, and routes, endpoints and nodes change after it")
def step_trouble(context: Any, name: str, seconds: float) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        if context.divided:
            await start_cells(fleet)
        else:
            fleet.register("e1")
            await fleet.start(2)
            await fleet.loop.sleep(DISCOVERY_S + CHANGES_WAIT_S)
        TROUBLES[name](fleet, True)
        # Ends the reads that wait, so that the next ones are sent into the trouble.
        change_all(fleet, 2)
        await fleet.loop.sleep(seconds)
        TROUBLES[name](fleet, False)
        change_all(fleet, 3)
        ended_s = fleet.loop.now()
        await fleet.until(lambda: all(has_all(one, 3) for one in fleet.fronts), 9.0)
        context.took_s = fleet.loop.now() - ended_s

    run_with_fleet(context, scenario)


@then("every node acts on all of them before it counts as in touch again")
def step_in_touch(context: Any) -> None:
    assert context.took_s < CONTACT_S, context.took_s


@when(
    "the store is silent for a moment and an endpoint is removed when nodes count as in touch again"
)
def step_remove_after(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start(2)
        await fleet.loop.sleep(DISCOVERY_S + CHANGES_WAIT_S)
        fleet.store.faults.silent = True
        change_all(fleet, 2)
        await fleet.loop.sleep(1.3)
        fleet.store.faults.silent = False
        await fleet.loop.sleep(CONTACT_S)
        fleet.store.remove("servers/e1")
        removed_s = fleet.loop.now()
        await fleet.until(lambda: not any(one.directory.endpoints for one in fleet.fronts))
        context.took_s = fleet.loop.now() - removed_s

    run_with_fleet(context, scenario)


@then("no node uses the endpoint for longer than it may be used after it left")
def step_not_used(context: Any) -> None:
    assert context.took_s < DRAIN_S, context.took_s


@when("a node that knows of a leaving endpoint lists anew and its leader lags behind")
def step_lagging_leader(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        leaders, others = await start_cells(fleet)
        lagging = leaders[0].reader.watched_prefix("servers/")
        former, revision = dict(lagging.entries), lagging.revision
        node = next(one for one in others if one.reader.source == leaders[0].registry.own.node)
        fleet.announce("e1", state="draining")
        endpoint = EndpointId("e1")
        await fleet.until(lambda: node.directory.endpoints[endpoint].leaving)
        lagging.replace(former.values(), revision)
        lagging.apply = lambda *_: None  # type: ignore[method-assign]
        watcher = next(one for one in node.watchers if one.prefix == "servers/")
        watcher.revision = None
        context.seen = []
        for _ in range(100):
            await fleet.loop.sleep(0.02)
            context.seen.append(node.directory.endpoints[endpoint].leaving)

    run_with_fleet(context, scenario)


@then("the endpoint counts as leaving there all the time")
def step_still_leaving(context: Any) -> None:
    assert all(context.seen)


@when("the answers of one node's reads are lost while no call fails, and all state changes")
def step_lost_answers(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start(2)
        await fleet.loop.sleep(DISCOVERY_S + 2 * CHANGES_WAIT_S)
        fleet.store.faults.lose_watches = {"op/", "servers/", "parsley/live/"}
        change_all(fleet, 2)
        changed_s = fleet.loop.now()
        await fleet.until(lambda: all(has_all(one, 2) for one in fleet.fronts), 12.0)
        context.took_s = fleet.loop.now() - changed_s
        assert not fleet.store.faults.lose_watches

    run_with_fleet(context, scenario)


@then("every node acts on all of them before the bound of changes of the configuration")
def step_applied(context: Any) -> None:
    assert context.took_s < CONFIG_APPLY_S, context.took_s


@when("a node makes more calls than its budget allows and all state changes")
def step_many_calls(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        front = await fleet.start(1)
        await fleet.loop.sleep(DISCOVERY_S + CHANGES_WAIT_S)
        for _ in range(400):
            fleet.loop.spawn(front.store.get("key"))
        change_all(fleet, 2)
        changed_s = fleet.loop.now()
        # Ends the reads that wait, so that the next ones queue with the other calls.
        await fleet.until(lambda: has_all(front, 2))
        change_all(fleet, 3)
        await fleet.until(lambda: has_all(front, 3))
        context.took_s = fleet.loop.now() - changed_s

    run_with_fleet(context, scenario)


@when("the waits from the end of an outage until a node has read all changes are added up")
def step_sum(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        front = await fleet.start(1)
        store: Any = front.store
        in_flight_s = store.timeout_s
        backoff_s = store.budget.settings.backoff_limit_s
        # A renewal or a read finds the service back; reads of changes are repeated by it at once.
        noticed_s = in_flight_s + max(backoff_s + RETRY_INTERVAL_S, backoff_s + MAX_RETRY_S)
        # With its history lost, a read of changes, a listing and the next pause follow.
        context.sum_s = noticed_s + 2 * SLOW_ANSWER_S + READ_PAUSE_S

    run_with_fleet(context, scenario)


@then("their sum is below the time after which it counts as in touch")
def step_sum_bounded(context: Any) -> None:
    assert context.sum_s < CONTACT_S, context.sum_s


@when("a call is lost in an outage and times out after others have been answered")
def step_late_timeout(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        front = await fleet.start(1)
        await fleet.loop.sleep(0.5)
        fleet.store.faults.silent = True
        lost = fleet.loop.spawn(front.store.get("key"))
        await fleet.loop.sleep(0.05)
        fleet.store.faults.silent = False
        assert await front.store.get("key") is None
        assert isinstance(await lost, KeyValueFailure)
        context.failing = front.store.failing
        context.blocked_until_s = front.store.budget.blocked_until_s  # type: ignore[attr-defined]

    run_with_fleet(context, scenario)


@then("the store does not count as failing, and the next call waits for no back-off")
def step_not_failing(context: Any) -> None:
    assert not context.failing
    assert context.blocked_until_s == 0.0


@when("calls are answered, time out and fail in any order around outages")
def step_contact(context: Any) -> None:
    context.cases = []
    gaps = st.lists(st.floats(0.05, 2.0), min_size=2, max_size=12)

    @for_all(gaps, st.floats(0.2, 6.0), st.floats(0.05, 1.0))
    def check(pauses: list[float], outage_s: float, timeout_s: float) -> None:
        contact = ServiceContact()
        sent = list(accumulate(pauses))
        begins_s = sent[0] + 0.01
        ends_s = begins_s + outage_s
        sent.append(max(sent[-1], ends_s) + 0.5)
        events = []
        for at_s in sent:
            lost = begins_s <= at_s < ends_s
            events.append((at_s + (timeout_s if lost else 0.001), at_s, lost))
        windows = []
        for now, at_s, lost in sorted(events):
            if not lost:
                window = contact.record_answer(at_s, now)
            elif contact.is_outdated(at_s):
                window = SendWindow(at_s - timeout_s, at_s + timeout_s)
            else:
                window = None
                contact.record_failure(now)
            if window is not None:
                windows.append((at_s, window))
        context.cases.append(([one for _, one, lost in events if lost], ends_s, windows))

    check()


@then("each call sent in an outage is reported by the first answer after it or by a time-out")
def step_all_lost(context: Any) -> None:
    for lost, _, windows in context.cases:
        for sent_s in lost:
            assert any(sent_s in window for _, window in windows), (lost, windows)


@then("no call sent after the outage is reported by a call that was sent after it too")
def step_none_later(context: Any) -> None:
    for _, ends_s, windows in context.cases:
        for sent_s, window in windows:
            assert sent_s < ends_s or window.before_s <= sent_s, windows
