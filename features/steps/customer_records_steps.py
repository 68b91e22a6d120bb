"""Steps for the customers in a configuration record, and for what is written about them."""

import logging
import tempfile
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec
from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from features.steps.customers_steps import metric_lines
from features.steps.front_requests_steps import run_with_fleet
from features.support.customer_fleet import (
    KEYS,
    ask_with,
    bytes_received,
    configure,
    customer_routes,
    ready,
    start_customers,
    told,
)
from features.support.front_fleet import FrontFleet
from features.support.log_records import RecordHandler, collected_logs
from features.support.platform_endpoint import status
from parsleyrouter.decoding import InvalidData
from parsleyrouter.ids import CustomerName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.platform.routes import decode_routes
from parsleyrouter.platform.settings import read_settings
from parsleyrouter.process import endpoint_chooser
from parsleyrouter.process.customer_metrics import MAX_NAMES, CustomerMetrics
from parsleyrouter.request.admission import admit, is_retry

SECRET = "secret-key"

SETTINGS_FILE = """
node = "front-z1-1"
ip = "127.0.0.1"
zone = "z1"
internalPorts = [9001]
[listen]
front = "127.0.0.1:9002"
ready = "127.0.0.1:9003"
directory = "127.0.0.1:9004"
[platform]
address = "127.0.0.1:9"
[bounds]
"""

FAULTS: dict[str, Any] = {
    "a customer named twice": [{"name": "ant"}, {"name": "ant"}],
    "a key held by two": [
        {"name": "ant", "apiKeys": [SECRET]},
        {"name": "bee", "apiKeys": ["b", SECRET]},
    ],
    "a negative rate": [{"name": "ant", "apiKeys": [SECRET], "ratePerS": -1}],
    "a negative burst": [{"name": "ant", "apiKeys": [SECRET], "ratePerS": 5, "burst": -0.5}],
    "a rate that is not finite": [{"name": "ant", "apiKeys": [SECRET], "ratePerS": "inf"}],
    "a name of 10 KB": [{"name": "n" * 10_000, "apiKeys": [SECRET]}],
    "a name with a line break": [{"name": "ant\r\nX-Other: 1", "apiKeys": [SECRET]}],
    "an empty name": [{"name": "", "apiKeys": [SECRET]}],
    "a key with line breaks": [{"name": "ant", "apiKeys": [f"{SECRET}\nmore"]}],
    "an empty key": [{"name": "ant", "apiKeys": [SECRET, ""]}],
    "a key that is a number": [{"name": "ant", "apiKeys": [SECRET, {"key": SECRET}]}],
    "a priority of one half": [{"name": "ant", "apiKeys": [SECRET], "priority": 0.5}],
    "customers that are no list": {"ant": [SECRET]},
}


@when("a configuration with {fault} is written")
def step_bad_configuration(context: Any, fault: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        front = await start_customers(fleet)
        await ready(fleet)
        with collected_logs("parsleyrouter.process.front") as records:
            bad = customer_routes(2) | {"tenants": FAULTS[fault]}
            fleet.store.put_json("op/config", bad)
            await fleet.until(lambda: any("not read" in one.msg for one in records))
        context.reason = next(one.reason for one in records if "not read" in one.msg)
        context.version = front.routes.version
        context.statuses = [
            (await ask_with(fleet.caller(), key)).status for key in ("ant-key-1", SECRET)
        ]

    run_with_fleet(context, scenario)


@then("the former one stays in force, and the reason says what is wrong and holds no key")
def step_former_stays(context: Any) -> None:
    assert context.version == 1 and context.statuses == [200, 401], context.statuses
    assert len(context.reason) > 20 and SECRET not in context.reason, context.reason


TEXTS = st.text(max_size=8) | st.sampled_from(["ant", "bee", "k-1", "k-2", "a\nb", " a", ""])
NUMBERS = st.integers(-3, 9) | st.floats(allow_nan=False) | st.none()
CUSTOMERS = st.lists(
    st.fixed_dictionaries(
        {"name": TEXTS},
        optional={
            "apiKeys": st.lists(st.builds("key{}".format, TEXTS) | TEXTS, max_size=4) | st.none(),
            "ratePerS": NUMBERS,
            "burst": NUMBERS,
            "priority": NUMBERS,
            "extra": TEXTS | NUMBERS,
        },
    ),
    max_size=5,
)


@when("configurations with any customers are read")
def step_any_customers(context: Any) -> None:
    context.kinds = set()

    @for_all(CUSTOMERS)
    def check(entries: list[dict[str, Any]]) -> None:
        data = msgspec.json.encode({"version": 1, "tenants": entries})
        keys = {key for one in entries for key in one.get("apiKeys") or ()}
        try:
            found = decode_routes(data).customers
        except InvalidData as error:
            context.kinds.add("refused")
            assert not any(key in str(error) for key in keys if len(key) > 3), str(error)
            return
        context.kinds.add("read")
        assert list(found.by_name) == [one["name"] for one in entries]
        for one in entries:
            for key in one.get("apiKeys") or ():
                holder = found.find(key)
                assert holder is not None and holder.name == one["name"]
                assert found.find(key + "x") is None or key + "x" in keys
        assert all(one.rate_per_s >= 0 <= one.burst for one in found.by_name.values())
        assert not any(key in repr(found) for key in keys if key.startswith("key") and key != "key")

    check()


@then("each is refused without naming a key, or finds each customer by exactly its keys")
def step_read_or_refused(context: Any) -> None:
    assert context.kinds == {"read", "refused"}, context.kinds


@when("a customer has unknown fields, fields without a value and numbers of another type")
def step_lenient(context: Any) -> None:
    ant = {"name": "ant", "apiKeys": ["k"], "ratePerS": "2.5", "burst": None, "priority": 1.0}
    bee = {"name": "bee", "apiKeys": None, "burst": 3, "later": {"field": [1]}}
    data = msgspec.json.encode({"version": 1, "tenants": [ant, bee], "later": True})
    context.customers = decode_routes(data).customers


@then("it is in force with what is known of it")
def step_lenient_read(context: Any) -> None:
    ant, bee = context.customers.by_name.values()
    assert (ant.rate_per_s, ant.burst, ant.priority) == (2.5, 0.0, 1)
    assert (bee.rate_per_s, bee.burst, bee.priority, bee.limited) == (0.0, 3.0, None, False)
    assert context.customers.find("k") is ant


@when("keys are used, refused, sent in invalid requests and taken away, with all logs kept")
def step_keep_logs(context: Any) -> None:
    handler, logger = RecordHandler(), logging.getLogger()
    level = logger.level

    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        context.bodies = [await _use_keys(fleet, number) for number in range(2)]
        context.metrics = metric_lines(fleet, "parsley_.*")

    logger.addHandler(handler)
    logger.setLevel(logging.DEBUG)
    try:
        run_with_fleet(context, scenario)
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
    context.records = handler.records


async def _use_keys(fleet: FrontFleet, number: int) -> list[bytes]:
    caller, held = fleet.caller(), KEYS["ant"][number]
    fleet.endpoints["c1"].behaviours = [status(500)]
    answers = [
        await ask_with(caller, held),
        await ask_with(caller, held, target="/none/1"),
        await ask_with(caller, "ant-key-9"),
        await ask_with(caller, held, "bee-key-1"),
        await ask_with(caller, held, target="/bulk/1", body=b"{}"),
        await ask_with(caller, held, target="/lots/none", method="GET"),
        await _ask_invalid(fleet, held),
    ]
    await configure(fleet, 10 * number + 2, keys={"bee": ["bee-key-1"]})
    answers.append(await ask_with(caller, held))
    await configure(fleet, 10 * number + 3)
    return [answer.body for answer in answers]


async def _ask_invalid(fleet: FrontFleet, key: str) -> Any:
    caller = fleet.caller()
    await caller.send("GET", "/card/1")
    assert caller.stream is not None
    await caller.wait()
    caller.stream.send(b"GET /card/1 HTTP/1.1\r\nHost: h\r\nX-Credential %s\r\n\r\n" % key.encode())
    caller.answer.complete = False
    return await caller.wait()


@then("no key is in any of them")
def step_no_key(context: Any) -> None:
    written = [repr(vars(record)) + record.getMessage() for record in context.records]
    assert len(written) > 10
    rows = [row for key, row in context.fleet.store.rows.items() if key != "op/config"]
    for text in (*written, repr(context.bodies), repr(context.metrics), repr(rows)):
        assert "-key-" not in text, text
    assert "-key-" not in bytes_received(context.fleet)


@when("requests of two customers are answered and refused")
def step_log_customers(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        fleet.endpoints["c1"].behaviours = []
        with collected_logs("parsleyrouter.process.request_log") as context.records:
            await ask_with(fleet.caller(), "ant-key-2")
            await ask_with(fleet.caller(), "bee-key-1")
            await ask_with(fleet.caller(), "ant-key-1", target="/open/1")
            await ask_with(fleet.caller(), target="/open/1")
        context.metrics = metric_lines(fleet, "parsley_customer_requests_total")

    run_with_fleet(context, scenario)


@then("the log lines and the metrics name them")
def step_logged(context: Any) -> None:
    names = [getattr(record, "customer", None) for record in context.records]
    assert names == ["ant", "bee", "ant", None], names
    assert context.metrics == {
        'customer="ant",outcome="answered"': 2.0,
        'customer="bee",outcome="answered"': 1.0,
    }, context.metrics


@when("more customers than the bound send requests")
def step_many_customers(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        metrics = CustomerMetrics.of(fleet.runtime.metrics)
        for number in range(MAX_NAMES + 5):
            metrics.count(CustomerName(f"customer {number}"), "answered")
        metrics.count(CustomerName("customer 0"), "answered")
        context.metrics = metric_lines(fleet, "parsley_customer_requests_total")

    run_with_fleet(context, scenario)


@then("the metrics count the rest together")
def step_bounded(context: Any) -> None:
    assert len(context.metrics) == MAX_NAMES + 1
    assert context.metrics['customer="other",outcome="answered"'] == 5.0
    assert context.metrics['customer="customer 0",outcome="answered"'] == 2.0


@when("a customer with a priority and one without send requests")
def step_priorities(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        table = customer_routes(2)
        table["routes"] = [one | {"priority": 4} for one in table["routes"]]
        table["tenants"][0]["priority"] = 1
        fleet.store.put_json("op/config", table)
        front = fleet.fronts[0]
        await fleet.until(lambda: front.routes.version == 2)
        context.priorities = []
        parse = front.forwarder.parser.parse

        def parse_noted(exchange: Any) -> Any:
            parsed = parse(exchange)
            assert not isinstance(parsed, Refusal)
            context.priorities.append((parsed.request.customer, parsed.request.route.priority))
            return parsed

        front.forwarder.parser.parse = parse_noted  # type: ignore[method-assign]
        await ask_with(fleet.caller(), "ant-key-1")
        await ask_with(fleet.caller(), "bee-key-1")

    run_with_fleet(context, scenario)


@then("the requests have the priority of the customer, else of the route")
def step_priority(context: Any) -> None:
    assert context.priorities == [("ant", 1), ("bee", 4)], context.priorities


class CountingLimiter:
    """Grants permits, or refuses, and counts what becomes of them."""

    def __init__(self, refusal: Refusal | None = None) -> None:
        self.refusal = refusal
        self.wait: Any = None
        self.usage = 0.0
        self.asked: list[tuple[str, bool]] = []
        self.given_back = 0

    async def acquire(self, customer: CustomerName, *, left_s: float, returning: bool) -> Any:
        self.asked.append((customer, returning))
        if self.wait is not None:
            await self.wait()
        return self.refusal or self

    def give_back(self) -> None:
        self.given_back += 1


OUTCOMES = {
    "is served": "/card/1",
    "fails at the endpoint": "/card/1",
    "finds no endpoint": "/chat/1",
}


def _ask_limited(context: Any, outcome: str, refusal: Refusal | None) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        front = await start_customers(fleet)
        await ready(fleet)
        table = customer_routes(2)
        table["tenants"][0]["ratePerS"] = 2
        fleet.store.put_json("op/config", table)
        fleet.store.remove("servers/e1")
        await fleet.until(lambda: front.routes.version == 2 and len(front.directory.endpoints) == 1)
        if outcome == "fails at the endpoint":
            fleet.endpoints["c1"].default_behaviour = status(500)
        context.limiter = front.forwarder.limiter = CountingLimiter(refusal)
        context.answer = await ask_with(fleet.caller(), "ant-key-1", target=OUTCOMES[outcome])
        await ask_with(fleet.caller(), "bee-key-1")

    run_with_fleet(context, scenario)


@when("a limited customer sends a request that {outcome}")
def step_limited(context: Any, outcome: str) -> None:
    _ask_limited(context, outcome, None)


@then("it asked for one permit and {keeps} it")
def step_permit(context: Any, keeps: str) -> None:
    assert context.limiter.asked == [("ant", False)], context.limiter.asked
    assert context.limiter.given_back == (1 if keeps == "gives back" else 0)


PERMIT_WAIT_S = 0.3


@when("a limited customer's first request waits for its permit")
def step_slow_permit(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        front = await start_customers(fleet)
        await ready(fleet)
        table = customer_routes(2)
        table["tenants"][0]["ratePerS"] = 2
        fleet.store.put_json("op/config", table)
        await fleet.until(lambda: front.routes.version == 2)
        limiter = front.forwarder.limiter = CountingLimiter()
        limiter.wait = lambda: fleet.loop.sleep(PERMIT_WAIT_S)
        context.decided = []

        def admit_noted(**given: Any) -> Any:
            again = is_retry(given["left_s"], given["allowed_s"])
            context.decided.append((again, given["wait_share"]))
            return admit(**given)

        with patch.object(endpoint_chooser, "admit", admit_noted):
            context.answer = await ask_with(fleet.caller(), "ant-key-1")

    run_with_fleet(context, scenario)


@then("the endpoint is chosen for it as for a first request")
def step_first_request(context: Any) -> None:
    assert context.answer.status == 200
    assert context.decided == [(False, 1.0)], context.decided


@when("a limited customer sends a request beyond its limit")
def step_beyond_limit(context: Any) -> None:
    message = "the limit of the customer is reached: come again"
    refusal = Refusal(RefusalKind.TOO_MANY, message, ExecutionStatus.NOT_RUN, 0.7)
    _ask_limited(context, "is served", refusal)


@then("the answer is the refusal of the limit and no endpoint gets the request")
def step_limit_refused(context: Any) -> None:
    assert context.answer.status == 429
    assert context.answer.headers["Retry-After"] == "0.700"
    assert told(context.fleet) == [["bee"]], told(context.fleet)


@when("the settings file of a front process has {bounds}")
def step_bounds(context: Any, bounds: str) -> None:
    lines = [] if bounds == "no bounds" else bounds.split(" and ")
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        path.write_text(SETTINGS_FILE + "\n".join(lines))
        context.options = read_settings(path)


@then("a key that may have been taken away is {treated}, with a bound of {seconds:g} s")
def step_bounds_read(context: Any, treated: str, seconds: float) -> None:
    assert context.options.strict_revocation == (treated == "refused as not run")
    assert context.options.revoke_within_s == seconds
