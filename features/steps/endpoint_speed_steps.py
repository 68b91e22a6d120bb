"""Steps for what nodes learn of the speed of endpoints."""

from random import Random
from typing import Any

from behave import then, when
from hypothesis import given as any_of
from hypothesis import strategies as st

from parsleyrouter.endpoint_speed import (
    MAX_SLOWNESS,
    MIN_SLOWNESS,
    EndpointSpeeds,
    LoadReport,
    Measure,
    SpeedEstimate,
    WorkClass,
    parse_load_report,
)
from parsleyrouter.endpoint_speed.typical_work import MAX_CLASSES
from parsleyrouter.ids import EndpointId, RouteName, ServiceName

NAME, SERVICE, ROUTE = EndpointId("e1"), ServiceName("engines"), RouteName("chat")
EVENTS = WorkClass(SERVICE, ROUTE, Measure.EVENT)
REPORTS = {
    "3,1,8": LoadReport(3, 1, 8),
    "3,1,8,250": LoadReport(3, 1, 8, 2.5),
    "3, 1, 8, 60": LoadReport(3, 1, 8, 0.6),
    "3,1,8,100,7,x": LoadReport(3, 1, 8, 1.0),
    "3,1,8,": LoadReport(3, 1, 8),
    "3,1,8,0": LoadReport(3, 1, 8),
    "3,1,8,-5": LoadReport(3, 1, 8),
    "3,1,8,1e9": LoadReport(3, 1, 8),
    "3,1,8,nan": LoadReport(3, 1, 8),
    "3,1,8," + "9" * 5000: LoadReport(3, 1, 8),
    "x,1,8,250": LoadReport(None, 1, 8, 2.5),
    "3,999999999,8,250": LoadReport(3, None, 8, 2.5),
    "3,1,,250": LoadReport(3, 1, None, 2.5),
    "3,1": LoadReport(),
    "": LoadReport(),
}


def known(speeds: EndpointSpeeds, *names: str) -> EndpointSpeeds:
    """Return the speeds after the endpoints were candidates."""
    for name in names or (NAME,):
        speeds.slowness(EndpointId(name), 0, 0.0)
    return speeds


@when("endpoints report their loads in different forms")
def step_forms(context: Any) -> None:
    context.parsed = {text: parse_load_report(text) for text in REPORTS}


@then("each field that makes sense is used, and no other")
def step_fields(context: Any) -> None:
    assert context.parsed == REPORTS, context.parsed


@when("any text is parsed as a load report")
def step_any_text(context: Any) -> None:
    @any_of(text=st.one_of(st.text(), st.text(alphabet="0123456789,. -+e\xb2", max_size=40)))
    def check(text: str) -> None:
        report = parse_load_report(text)
        for count in (report.running, report.waiting, report.slots):
            assert count is None or 0 <= count <= 100_000
        assert report.slowness is None or 0 < report.slowness <= 1000

    context.check = check


@then("its fields are possible numbers or missing")
def step_possible(context: Any) -> None:
    context.check()


@when("an estimate gets any reports and observations in any order of time")
def step_any_estimate(context: Any) -> None:
    number = st.floats(allow_nan=True, allow_infinity=True)
    at_s = st.floats(-1e6, 1e6)
    step = st.tuples(st.booleans(), st.one_of(number, st.floats(0.01, 100)), number, at_s, at_s)

    @any_of(steps=st.lists(step, max_size=30))
    def check(steps: list[tuple[bool, float, float, float, float]]) -> None:
        estimate = SpeedEstimate()
        for is_report, value, weight, at, asked in steps:
            if is_report:
                estimate.report(value, at)
            else:
                estimate.observe(value, weight, at)
                estimate.observe(value, 1.0, at)
            assert MIN_SLOWNESS <= estimate.slowness(asked) <= MAX_SLOWNESS

    context.check = check


@then("it stays within its range")
def step_in_range(context: Any) -> None:
    context.check()


@when("an endpoint reports a slowdown of 2.5 and nothing more")
def step_slowdown(context: Any) -> None:
    speeds = known(EndpointSpeeds())
    speeds.record_report(NAME, 0, 1.0, 9.0)
    speeds.record_report(NAME, 0, 2.5, 10.0)
    context.seen = [speeds.slowness(NAME, 0, 10.0 + after) for after in (0.0, 0.15, 1.0)]


@then("it counts as that slow for a fraction of a second, and as usual a second later")
def step_followed(context: Any) -> None:
    assert abs(context.seen[0] - 2.5) < 0.01 and abs(context.seen[1] - 2.5) < 0.01, context.seen
    assert context.seen[2] < 1.1, context.seen


@when("an endpoint that reports nothing takes 2.5 times as long for its events")
def step_slow_events(context: Any) -> None:
    speeds = known(EndpointSpeeds(), NAME, "e2")
    for number in range(100):
        speeds.record_work(EndpointId("e2"), 0, EVENTS, 0.005, 0.25, 9.0 + number / 100)
        speeds.record_work(NAME, 0, EVENTS, 0.005, 0.25, 9.0 + number / 100)
    context.before = speeds.slowness(NAME, 0, 10.0)
    for number in range(5):
        speeds.record_work(NAME, 0, EVENTS, 0.0125, 0.25, 10.02 + number / 50)
    context.seen = [speeds.slowness(NAME, 0, at) for at in (10.1, 11.1)]


@then("it counts as slow after five observations of 20 ms, and as usual a second later")
def step_slow_seen(context: Any) -> None:
    assert context.before == 1.0, context.before
    assert context.seen[0] > 1.4 and context.seen[1] < 1.15, context.seen


@when("endpoints of speeds 0.6, 1 and 1.6 answer short and long requests")
def step_lasting(context: Any) -> None:
    random, speeds = Random(5), known(EndpointSpeeds(), "0.6", "1.0", "1.6", "also 1.0")
    routes = {"short": 0.03, "long": 3.0}
    for number in range(300):
        name = random.choice(("0.6", "1.0", "1.6", "also 1.0"))
        route, base_s = random.choice(list(routes.items()))
        work = WorkClass.of_response(SERVICE, RouteName(route), 800)
        took_s = base_s / float(name.split()[-1]) * random.uniform(0.85, 1.15)
        speeds.record_work(EndpointId(name), 0, work, took_s, 1.0, number / 20)
    context.seen = {
        name: speeds.slowness(EndpointId(name), 0, 16.0)
        for name in ("0.6", "1.0", "1.6", "also 1.0")
    }


@then("each is known by its speed, and of an equal one nothing differs")
def step_lasting_known(context: Any) -> None:
    seen = context.seen
    assert 1.3 < seen["0.6"] / seen["1.0"] < 1.7, seen
    assert 0.55 < seen["1.6"] / seen["1.0"] < 0.8, seen
    assert abs(seen["also 1.0"] - seen["1.0"]) < 0.1, seen


@when("an endpoint always reports that it is eight times slower but works as others do")
def step_wrong(context: Any) -> None:
    speeds = known(EndpointSpeeds(), NAME, "e2")
    for number in range(30):
        at_s = number / 5
        speeds.record_report(NAME, 0, 8.0, at_s)
        speeds.record_report(EndpointId("e2"), 0, 1.0, at_s)
        for name in (NAME, EndpointId("e2")):
            speeds.record_work(name, 0, EVENTS, 0.01, 1.0, at_s)
    context.seen = speeds.slowness(NAME, 0, 6.0)


@then("it counts as less than twice as slow after thirty answers")
def step_judged(context: Any) -> None:
    assert context.seen < 2.0, context.seen


@when("an endpoint that is known as slow is gone, restarts, and is heard of late")
def step_restart(context: Any) -> None:
    speeds = EndpointSpeeds()
    context.seen = [speeds.slowness(NAME, 1, 0.0)]
    speeds.record_report(NAME, 1, 3.0, 1.0)
    context.slow = speeds.slowness(NAME, 1, 1.0)
    news = speeds.take_news()
    context.seen.append(speeds.slowness(NAME, 2, 1.0))
    speeds.record_report(NAME, 1, 3.0, 1.1)
    speeds.apply_news(news, 1.1)
    context.seen.append(speeds.slowness(NAME, 2, 1.1))
    speeds.record_report(NAME, 2, 3.0, 1.2)
    speeds.forget(NAME)
    speeds.apply_news(news, 1.2)
    context.seen.append(speeds.slowness(NAME, 2, 1.2))


@then("it counts as a usual one each time")
def step_usual(context: Any) -> None:
    assert context.slow > 2.9
    assert context.seen == [1.0] * 4, context.seen


@when("work of thousands of classes at thousands of unknown endpoints is recorded")
def step_many(context: Any) -> None:
    speeds = context.speeds = EndpointSpeeds()
    for number in range(5000):
        name, work = EndpointId(f"e{number}"), EVENTS._replace(route=RouteName(f"r{number}"))
        speeds.record_work(name, 0, work, 0.01, 1.0, 1.0)
        speeds.record_report(name, 0, 2.0, 1.0)


@then("only some classes and no endpoint are kept")
def step_bounded(context: Any) -> None:
    speeds = context.speeds
    assert len(speeds.typical.classes) == MAX_CLASSES
    assert not speeds.endpoints and not speeds.untold
