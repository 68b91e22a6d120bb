"""Steps for who goes first when there is too little room."""

import json
from collections import Counter
from random import Random
from typing import Any

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from features.steps.customer_jobs_steps import JOB, call, read_all, submit
from features.steps.front_jobs_steps import items
from features.steps.front_requests_steps import run_with_fleet
from features.support.contention_play import Load, Play
from features.support.customer_fleet import ask_with, ready, start_customers
from features.support.front_fleet import FrontFleet
from parsleyrouter.contention import QueueShares, WaitingItem, claiming_nodes, fair_order
from parsleyrouter.contention.queue_share import HOT_SHARE, MIN_PRIORITY_SHARE
from parsleyrouter.contention.usual_rates import MAX_CUSTOMERS, UsualRates
from parsleyrouter.customers import Customer
from parsleyrouter.ids import CustomerName, JobId, NodeId, Revision
from parsleyrouter.process.item_order import CustomerNodes
from parsleyrouter.process.job_directory import JobView
from parsleyrouter.process.shared_job_store import VersionedJob
from parsleyrouter.request.admission import (
    MAX_WAIT_SHARE,
    Admit,
    admit,
    is_retry,
)
from parsleyrouter.request.shared_job import JobRecord, JobState

EQUAL = [10.0] * 20
LARGE = [60.0] + [20.0] * 4 + [5.0] * 10 + [1.0] * 5
HOT_TIMES = 6.5
LIMIT_TIMES = 1.6
MAX_LOSS = 0.02
SEEDS = range(6)
USUAL_USE, HIGH_USE = 0.85, 0.92

CASES = {
    "equal customers with limits, usual load": Load(EQUAL, USUAL_USE, HOT_TIMES, LIMIT_TIMES),
    "equal customers with limits, high load": Load(EQUAL, HIGH_USE, HOT_TIMES, LIMIT_TIMES),
    "equal customers without limits, usual load": Load(EQUAL, USUAL_USE, HOT_TIMES),
    "equal customers without limits, high load": Load(EQUAL, HIGH_USE, HOT_TIMES),
    "a large customer with a limit, usual load": Load(LARGE, USUAL_USE, HOT_TIMES, LIMIT_TIMES),
    "a large customer with a limit, high load": Load(LARGE, HIGH_USE, HOT_TIMES, LIMIT_TIMES),
    "a large customer without a limit, usual load": Load(LARGE, USUAL_USE, HOT_TIMES),
    "a large customer without a limit, high load": Load(LARGE, HIGH_USE, HOT_TIMES),
}


def credit(load: Load, customers: range, *, with_part: bool) -> float:
    """Return the mean credit of some customers over all seeds."""
    means = [Play(load, seed, with_part=with_part).run().mean(customers) for seed in SEEDS]
    return sum(means) / len(means)


def calm(load: Load) -> Load:
    """Return the load without a hot customer."""
    return Load(load.rates, load.use, 1.0, load.limit_times)


@when("the first customer sends 6.5 times its usual in a play of {case}")
def step_hot(context: Any, case: str) -> None:
    load = CASES[case]
    count = len(load.rates)
    context.losses = [
        credit(calm(load), some, with_part=False) - credit(load, some, with_part=True)
        for some in (range(1, count), range(count // 2, count))
    ]


@then("the others keep their credit to within 0.02, the small ones too")
def step_kept(context: Any) -> None:
    assert max(context.losses) <= MAX_LOSS, context.losses


@when("the hot customer of the play with a large customer is not held to its part")
def step_not_held(context: Any) -> None:
    load = CASES["a large customer with a limit, usual load"]
    others = range(1, len(load.rates))
    hot = credit(load, others, with_part=False)
    context.loss = credit(calm(load), others, with_part=False) - hot


@then("the others lose more than 0.2 of their credit")
def step_lost(context: Any) -> None:
    assert context.loss > 0.2, context.loss


@when("nobody sends more than usual in a play of high load")
def step_calm(context: Any) -> None:
    load = calm(CASES["a large customer with a limit, usual load"])
    load.use = HIGH_USE
    context.losses = [
        credit(load, range(at, at + 1), with_part=False)
        - credit(load, range(at, at + 1), with_part=True)
        for at in range(len(load.rates))
    ]


@then("everyone keeps the credit that it has without the part to within 0.01")
def step_calm_kept(context: Any) -> None:
    assert max(context.losses) <= 0.01, context.losses


def shares_of(
    rates: dict[str, float], seconds: float, shares: QueueShares, start_s: float, seed: int = 1
) -> dict[str, list[float]]:
    """Return the shares of the requests of customers that come at random for some time."""
    random = Random(seed)
    arrivals = []
    for name, rate in rates.items():
        at_s = start_s + random.expovariate(rate)
        while at_s < start_s + seconds:
            arrivals.append((at_s, name))
            at_s += random.expovariate(rate)
    found: dict[str, list[float]] = {name: [] for name in rates}
    for at_s, name in sorted(arrivals):
        customer = Customer(CustomerName(name))
        found[name].append(
            shares.share(
                customer, usage=0.0, less_urgent=0, returning=False, draw=random.random(), now=at_s
            )
        )
    return found


SIZES = {f"c{number}": rate for number, rate in enumerate([20.0, 5.0, 5.0, 1.0, 0.5, 0.2])}


@when("all customers send three times their usual")
def step_all_more(context: Any) -> None:
    shares = QueueShares()
    shares_of(SIZES, 120.0, shares, 0.0)
    more = {name: 3 * rate for name, rate in SIZES.items()}
    context.shares = [
        one for found in shares_of(more, 10.0, shares, 120.0).values() for one in found
    ]


@when("small customers send requests at random for ten minutes")
def step_small(context: Any) -> None:
    small = {f"c{number}": 0.2 + number * 0.02 for number in range(60)}
    found = shares_of(small, 600.0, QueueShares(), 0.0)
    context.shares = [one for of_one in found.values() for one in of_one]


@then("nearly all requests keep the full share of the wait")
def step_nearly_all(context: Any) -> None:
    full = sum(one == 1.0 for one in context.shares)
    assert full >= 0.9 * len(context.shares), (full, len(context.shares))


@when("a customer sends ten times as much as another from the start of a node")
def step_started(context: Any) -> None:
    found = shares_of({"a": 50.0, "b": 5.0}, 10.0, QueueShares(), 0.0)
    context.shares = found["a"] + found["b"]


@then("all requests have the full share of the wait")
def step_all_full(context: Any) -> None:
    assert context.shares and set(context.shares) == {1.0}


@when("a customer sends three times its usual for two seconds")
def step_three_times(context: Any) -> None:
    shares = QueueShares()
    rates = {"a": 50.0, "b": 50.0, "c": 50.0}
    shares_of(rates, 120.0, shares, 0.0)
    context.found = shares_of(rates | {"a": 150.0}, 2.0, shares, 120.0)
    hot = Customer(CustomerName("a"))
    context.returning = shares.share(
        hot, usage=0.0, less_urgent=0, returning=True, draw=0.99, now=122.0
    )


@then(
    "about a third of its requests have a share of a usual part, "
    "and excess that returns a small one"
)
def step_third(context: Any) -> None:
    late = context.found["a"][len(context.found["a"]) // 2 :]
    usual = sum(one >= HOT_SHARE for one in late) / len(late)
    assert 0.2 < usual < 0.55, usual
    others = context.found["b"] + context.found["c"]
    assert sum(one == 1.0 for one in others) > 0.9 * len(others)
    assert 0.0 < context.returning < 0.5, context.returning


@when("shares are chosen for priorities from the most urgent one down")
def step_priority_shares(context: Any) -> None:
    shares, ant = QueueShares(), Customer(CustomerName("ant"))
    context.shares = [
        shares.share(ant, usage=0.0, less_urgent=steps, returning=False, draw=0.5, now=1.0)
        for steps in range(9)
    ]
    context.returning = [
        shares.share(ant, usage=0.0, less_urgent=steps, returning=True, draw=0.5, now=1.0)
        for steps in range(9)
    ]


@then("they fall with each step to the bound, and those that return are all let wait")
def step_priority_fall(context: Any) -> None:
    shares = context.shares
    assert shares[0] == 1.0 and shares[1] < 1.0 and shares == sorted(shares, reverse=True)
    assert shares[-1] == MIN_PRIORITY_SHARE
    assert set(context.returning) == {float("inf")}


@when("more customers than the bound of rates send requests")
def step_many_rates(context: Any) -> None:
    context.rates = UsualRates()
    for number in range(MAX_CUSTOMERS + 10):
        context.rates.count(CustomerName(f"c{number}"), number * 0.001)


@then("the rates of the latest of them are kept")
def step_latest_rates(context: Any) -> None:
    assert len(context.rates.counts) == MAX_CUSTOMERS
    assert "c9" not in context.rates.counts and f"c{MAX_CUSTOMERS + 9}" in context.rates.counts


@when("any waits, targets and times are decided on without a share")
def step_admission(context: Any) -> None:
    times = st.floats(0.001, 10.0)

    @for_all(times, times, times, times, st.floats(0.0, 1.0))
    def check(wait_s: float, target_s: float, left_s: float, allowed_s: float, at: float) -> None:
        verdict = admit(
            wait_s=wait_s, target_s=target_s, left_s=left_s, allowed_s=allowed_s, spread=at
        )
        in_time = wait_s <= target_s * MAX_WAIT_SHARE or is_retry(left_s, allowed_s)
        assert isinstance(verdict, Admit) == (wait_s < left_s and in_time)

    context.check = check


@then("the decision is that of the rule before there were shares")
def step_admission_kept(context: Any) -> None:
    context.check()


@when("a request {who} reaches a front process")
def step_front_share(context: Any, who: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        if who == "without any customers":
            fleet.register("c1", "cards")
            await fleet.start()
        else:
            await start_customers(fleet)
        await ready(fleet)
        chooser = fleet.fronts[0].forwarder.chooser
        choose, context.chosen = chooser.choose, []

        def choose_noted(request: Any, *rest: Any) -> Any:
            context.chosen.append(request.wait_share)
            return choose(request, *rest)

        chooser.choose = choose_noted  # type: ignore[method-assign]
        keys = ["ant-key-1"] if who == "of a customer" else []
        target = "/open/1" if who == "on an anonymous route" else "/card/1"
        context.answer = await ask_with(fleet.caller(), *keys, target=target)

    run_with_fleet(context, scenario)


@then("it is placed {how}")
def step_placed(context: Any, how: str) -> None:
    assert context.answer.status == 200
    assert context.chosen == ([1.0] if how == "with a share" else [None]), context.chosen


@when("any waiting items of customers are ordered")
def step_order(context: Any) -> None:
    entry = st.tuples(st.sampled_from("abc"), st.booleans(), st.integers(0, 9))

    @for_all(
        st.lists(entry, max_size=30), st.dictionaries(st.sampled_from("abc"), st.integers(0, 5))
    )
    def check(entries: list[tuple[str, bool, int]], running: dict[str, int]) -> None:
        waiting = [
            WaitingItem(CustomerName(name), late, rank, number)
            for number, (name, late, rank) in enumerate(entries)
        ]
        counts = {CustomerName(name): count for name, count in running.items()}
        order = fair_order(waiting, counts, {})
        assert sorted(order) == list(range(len(waiting)))
        found = [waiting[number] for number in order]
        assert [one.late for one in found] == sorted(one.late for one in found)
        started = Counter(counts)
        for at, one in enumerate(found):
            rest = [other for other in found[at:] if other.late == one.late]
            least = min(started[other.customer] for other in rest)
            assert started[one.customer] == least
            same = [other.rank for other in rest if other.customer == one.customer]
            assert one.rank == min(same)
            started[one.customer] += 1

    context.check = check


@then("each occurs once, late ones last, customers in turn and by rank within each")
def step_ordered(context: Any) -> None:
    context.check()


@when("a customer submits many items and then another a few")
def step_many_items(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        fleet.endpoints["e1"].gap_s = 0.03
        many = json.dumps({"items": items(60)}).encode()
        await fleet.caller().ask(
            "POST", "/bulk/x", many, attempt="many", headers=[("X-Credential", "ant-key-1")]
        )
        await submit(fleet, "bee-key-1")
        context.few = await read_all(fleet, "bee-key-1")
        answer = await call(fleet, "read the results", "ant-key-1", job="many")
        context.done = len(json.loads(answer.body)["results"])

    run_with_fleet(context, scenario)


@then("the few items are done before half of the many are")
def step_few_done(context: Any) -> None:
    assert len(context.few) == 4 and context.done < 30, (len(context.few), context.done)


@when("one customer has jobs at nine nodes and another at one of them")
def step_claims(context: Any) -> None:
    nodes = {CustomerName("many"): 9, CustomerName("few"): 1}
    many, few = CustomerName("many"), CustomerName("few")
    context.turns = [1 / claiming_nodes([many], nodes, 9) for _ in range(8)]
    context.turn = 1 / claiming_nodes([many, few], nodes, 9)


@then("the other's node takes half of the turns")
def step_turns(context: Any) -> None:
    assert 0.5 <= context.turn <= 0.6, context.turn
    assert abs(sum(context.turns) + context.turn - 1.0) < 1e-9


@when("ninety-nine other customers have open jobs and this node alone has waiting items")
def step_alone(context: Any) -> None:
    nodes = {CustomerName(f"c{number}"): 1 for number in range(100)}
    context.turn = 1 / claiming_nodes([CustomerName("c0")], nodes, 1)


@then("it takes at least every fourth turn")
def step_fourth(context: Any) -> None:
    assert context.turn >= 0.25, context.turn


@when("jobs of customers open, change owners and end in any order")
def step_owners(context: Any) -> None:
    step = st.tuples(st.integers(0, 3), st.sampled_from(["n1", "n2", None]), st.booleans())

    @for_all(st.lists(step, max_size=20))
    def check(steps: list[tuple[int, str | None, bool]]) -> None:
        nodes, last = CustomerNodes(), {}
        for number, owner, is_open in steps:
            last[number] = (owner, is_open)
            nodes.update_job(_view(number, owner, is_open))
        expected: dict[str, set[str]] = {}
        for number, (owner, is_open) in last.items():
            if owner is not None and is_open:
                expected.setdefault(f"c{number % 2}", set()).add(owner)
        assert nodes.counts() == {name: len(owners) for name, owners in expected.items()}

    context.check = check


def _view(number: int, owner: str | None, is_open: bool) -> JobView:
    record = JobRecord(
        JobId(f"{JOB}{number}"),
        "h",
        1,
        1,
        0,
        0,
        0,
        JobState.OPEN if is_open else JobState.DONE,
        customer=CustomerName(f"c{number % 2}"),
    )
    view = JobView(record.job, VersionedJob(record, Revision(1)))
    view.owner = NodeId(owner) if owner else None
    return view


@then("the counts are those of the open jobs with an owner")
def step_counts(context: Any) -> None:
    context.check()
