"""Steps for slot tables, and for schedulers when the home of an endpoint changes."""

from typing import Any

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test

from features.support.loop import run_on_loop
from features.support.sharing import SmallFleet, engine
from features.support.slot_model import SlotModel, make_request
from parsleyrouter.ids import EndpointId, TeamName
from parsleyrouter.process.grant_port import CallResult, Grant
from parsleyrouter.process.grants import GrantOptions
from parsleyrouter.process.load_reports import ForeignLoadEstimator, LoadReport, parse_report
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.service_times import MIN_COST_S
from parsleyrouter.process.sharing_policies import POLICIES, SharingProfile
from parsleyrouter.process.slot_events import Granted, Queued, RefusalReason, Refused, SlotUsage
from parsleyrouter.process.slot_table import SlotTable
from parsleyrouter.version.schema import EndpointState

LONG_TIMEOUT = GrantOptions(answer_s=5.0)


def _table(slots: int, share: float = 0.0) -> SlotTable:
    return SlotTable(EndpointId("e"), slots, POLICIES["online-first"](SharingProfile(share, 0.5)))


@when("a slot table processes any sequence of events under each sharing policy")
def run_model(context: Any) -> None:
    run_state_machine_as_test(
        SlotModel, settings=settings(max_examples=300, stateful_step_count=40)
    )
    context.model_passed = True


@then("its invariants hold after every event")
def invariants_held(context: Any) -> None:
    assert context.model_passed


@when("online attempts of any weights and deadlines wait for one slot")
def wait_online(context: Any) -> None:
    context.courses = []

    @settings(max_examples=60)
    @any_of(st.lists(st.tuples(st.floats(0.1, 10), st.floats(1, 60)), min_size=2, max_size=8))
    def check(attempts: list[tuple[float, float]]) -> None:
        table = _table(1)
        table.submit(make_request(0), 0.0)
        requests = {}
        for number, (weight, deadline) in enumerate(attempts, 1):
            request = make_request(number, weight=weight, deadline_in_s=deadline)
            requests[request.attempt] = request
            table.submit(request, 0.0)
        served = []
        while table.held:
            grant = next(iter(table.held))
            actions = table.release(grant, SlotUsage(), 0.5)
            served += [action.request for action in actions if isinstance(action, Granted)]
        context.courses.append((list(requests.values()), served))

    check()


@then("they get it in order of the time left divided by their weight")
def served_by_urgency(context: Any) -> None:
    for requests, served in context.courses:
        by_urgency = sorted(requests, key=lambda request: request.deadline_in_s / request.weight)
        keys = [request.deadline_in_s / request.weight for request in served]
        assert len(served) == len(by_urgency) and keys == sorted(keys), keys


@when("teams of any weights keep requesting batch slots")
def request_as_teams(context: Any) -> None:
    context.shares = []

    @settings(max_examples=60)
    @any_of(
        st.lists(st.sampled_from([0.5, 1.0, 2.0, 5.0]), min_size=2, max_size=4),
        st.integers(1, 4),
        st.lists(st.integers(0, 3), min_size=20, max_size=60),
    )
    def check(weights: list[float], slots: int, ends: list[int]) -> None:
        table = _table(slots)
        made = 0

        def top_up() -> None:
            nonlocal made
            for team, weight in enumerate(weights):
                while sum(e.request.team == f"t{team}" for e in table.batch_queue) < 3:
                    made += 1
                    name = TeamName(f"t{team}")
                    table.submit(make_request(made, batch=True, team=name, team_weight=weight), 0.0)

        top_up()
        counts = [0] * len(weights)
        gaps = []
        for end in ends:
            grant = list(table.held)[end % len(table.held)]
            for action in table.release(grant, SlotUsage(ok=False), 0.0):
                if isinstance(action, Granted):
                    counts[int(action.request.team[1:])] += 1
            top_up()
            served = [value / MIN_COST_S for value in table.batch_queue.served.values()]
            gaps.append(max(served) - min(served))
        context.shares.append((weights, max(gaps), counts))

    check()


@then("no team is ahead of another by more than one item divided by its weight")
def teams_equal_share(context: Any) -> None:
    for weights, gap, counts in context.shares:
        item = 1 / min(weights) + 1e-9
        shares = [count / weight for count, weight in zip(counts, weights, strict=True)]
        assert gap <= item, (weights, gap)
        assert max(shares) - min(shares) <= 2 * item, (weights, counts)


@when("batch attempts of one team with any slack wait for one slot")
def wait_with_slack(context: Any) -> None:
    context.slacks = []

    @settings(max_examples=60)
    @any_of(st.lists(st.floats(-100, 1000), min_size=2, max_size=8))
    def check(slacks: list[float]) -> None:
        table = _table(1)
        table.submit(make_request(0, batch=True), 0.0)
        for number, slack in enumerate(slacks, 1):
            table.submit(make_request(number, batch=True, slack_s=slack), 0.0)
        served = []
        while table.held:
            actions = table.release(next(iter(table.held)), SlotUsage(), 0.5)
            served += [action.request.slack_s for action in actions if isinstance(action, Granted)]
        context.slacks.append((slacks, served))

    check()


@then("the attempt with the least slack is served first")
def least_slack(context: Any) -> None:
    for slacks, served in context.slacks:
        assert served == sorted(slacks), (slacks, served)


@when("a slot table has measured how long requests take")
def measure_service_times(context: Any) -> None:
    context.outcomes = []

    @settings(max_examples=60)
    @any_of(st.integers(1, 400), st.floats(0.1, 20), st.integers(0, 3))
    def check(tokens: int, deadline: float, ahead: int) -> None:
        table = _table(1)
        for number in range(60):
            request = make_request(-number - 1, prompt_tokens=36, output_tokens=10)
            (granted,) = table.submit(request, 0.0)
            table.release(granted.grant, SlotUsage(True, 0.1, 10), 1.1)
        for number in range(ahead):
            table.submit(make_request(1000 + number, prompt_tokens=36, output_tokens=10), 0.0)
        request = make_request(1, prompt_tokens=36, output_tokens=tokens, deadline_in_s=deadline)
        behind = [entry for entry in table.online_queue if entry.deadline_s <= deadline]
        waited = 1.1 * (len(behind) + 1) if ahead else 0.0
        needed = waited + 0.1 + 0.1 * tokens
        (action,) = [a for a in table.submit(request, 0.0) if a.request.attempt == request.attempt]
        context.outcomes.append((needed, deadline, action))

    check()


@then("an attempt is refused immediately if and only if its tokens cannot be served in time")
def refused_if_late(context: Any) -> None:
    kinds = set()
    for needed, deadline, action in context.outcomes:
        if abs(needed - deadline) < 0.05:
            continue
        refused = isinstance(action, Refused)
        kinds.add(type(action))
        assert refused == (needed > deadline), (needed, deadline, action)
        assert not refused or action.reason is RefusalReason.DEADLINE
    assert kinds == {Granted, Queued, Refused}, kinds


@when("a slot table has seen a burst of online attempts")
def burst(context: Any) -> None:
    table = _table(8, share=1.0)
    for number in range(3):
        table.submit(make_request(number), 10.0)
    for grant in list(table.held):
        table.release(grant, SlotUsage(), 10.1)
    for number in range(100, 120):
        table.submit(make_request(number, batch=True, deadline_in_s=900), 10.2)
    context.after_burst = table.batch_held
    for step in range(600):
        now = 11.0 + step
        for grant, held in list(table.held.items()):
            table.renew(grant, held.request, now)
        table.tick(now)
    context.much_later = table.batch_held


@then("batch leaves slots free for the next burst and gets them back later")
def slots_kept_free(context: Any) -> None:
    assert context.after_burst == 5, context.after_burst
    assert context.much_later == 8, context.much_later


@given("a scheduler fleet with two nodes and {count:d} endpoint of {slots:d} slots")
@given("a scheduler fleet with two nodes and {count:d} endpoints of {slots:d} slots")
def two_node_fleet(context: Any, count: int, slots: int) -> None:
    context.shape = (count, slots)


async def _start(runtime: Runtime, count: int, slots: int) -> SmallFleet:
    endpoints = {f"e{number}": engine(slots, f"127.0.0.1:{number + 1}") for number in range(count)}
    fleet = SmallFleet(runtime, endpoints)
    fleet.add_scheduler("n1")
    fleet.add_scheduler("n2")
    fleet.add_client("c1", LONG_TIMEOUT)
    await runtime.loop.sleep(0.05)
    fleet.publish()
    await runtime.loop.sleep(0.05)
    return fleet


@when("its home node fails while grants are in use")
def fail_home(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, *context.shape)
        client = fleet.clients[0]
        for _ in range(2):
            assert isinstance(await client.acquire(fleet.request()), Grant)
        assert isinstance(await client.acquire(fleet.request(batch=True)), Grant)
        old = next(s for s in fleet.schedulers if s.tables)
        fleet.publish(without=(old.view.self_node().node,))
        new = next(s for s in fleet.schedulers if s is not old)
        more = [
            runtime.loop.spawn(client.acquire(fleet.request(batch=True, deadline_in_s=30)))
            for _ in range(5)
        ]
        await runtime.loop.sleep(2.5)
        granted = sum(task.done for task in more)
        return (
            granted,
            len(new.tables["e0"].held),
            set(new.tables["e0"].held) == set(client.held.held),
        )

    context.outcome = run_on_loop(main)


@then("the new home counts the live grants and grants no more than the slots")
def grants_adopted(context: Any) -> None:
    granted, held, agree = context.outcome
    assert (granted, held, agree) == (1, 4, True), context.outcome


@when("one endpoint is set to leaving while requests wait for it")
def leave_endpoint(context: Any) -> None:
    async def main(runtime: Runtime) -> list[Any]:
        fleet = await _start(runtime, *context.shape)
        client = fleet.clients[0]
        first = [await client.acquire(fleet.request()) for _ in range(8)]
        waiting = [runtime.loop.spawn(client.acquire(fleet.request())) for _ in range(4)]
        await runtime.loop.sleep(0.1)
        fleet.endpoints["e0"] = engine(4, "127.0.0.1:1", state=EndpointState.LEAVING)
        fleet.publish()
        for grant in first:
            client.release(grant, CallResult(ok=True))
        return [await runtime.loop.within(10, task) for task in waiting]

    context.outcome = run_on_loop(main)


@then("every waiting request gets a slot on the other endpoint")
def granted_elsewhere(context: Any) -> None:
    assert all(isinstance(grant, Grant) for grant in context.outcome), context.outcome
    assert {grant.endpoint for grant in context.outcome} == {"e1"}, context.outcome


@when("engines report for a while more running requests than the home has granted")
def report_foreign_requests(context: Any) -> None:
    text = "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running 7\n"
    report = parse_report(text)
    assert report == LoadReport(running=7), report
    estimator = ForeignLoadEstimator()
    seen = []
    for now, own, running in [(1, 3, 7), (2, 6, 7), (3, 4, 9), (4, 2, 2), (5, 2, 2), (9, 2, 0)]:
        estimator.record_own(own, now)
        estimator.record_report(LoadReport(running), now)
        seen.append(estimator.foreign(now))
    context.seen = seen
    context.without_reports = estimator.foreign(60.0)


@then("the home counts the difference as used until reports no longer show it")
def foreign_counted(context: Any) -> None:
    assert context.seen == [0, 1, 1, 0, 0, 0], context.seen
    assert context.without_reports == 0
