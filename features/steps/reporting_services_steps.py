"""Steps for services whose endpoints report no slowness, where speeds are not learnt."""

from random import Random
from typing import Any

from behave import given, then, when

from features.support.former_placement import FormerSpeeds, former_batch_choice, former_choice
from parsleyrouter.endpoint_speed import Measure, SpeedNews, WorkClass
from parsleyrouter.ids import Address, DomainName, EndpointId, RouteName, ServiceName
from parsleyrouter.process.batch_placement import pick_batch_endpoint
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.request.placement import choose_endpoint, queue_wait_s

SERVICE, NEAR, FAR = ServiceName("engines"), DomainName("near"), DomainName("far")
WORK = WorkClass(SERVICE, RouteName("chat"), Measure.EVENT)
SLOTS, STEPS = 4, 400
ADDRESS = Address("10.0.0.1:80")
DOMAINS = (FAR, NEAR, NEAR, FAR, NEAR, NEAR)
ENTRIES = [
    RegisteredEndpoint(EndpointId(f"e{number}"), SERVICE, ADDRESS, domain, SLOTS)
    for number, domain in enumerate(DOMAINS)
]


class Traffic:
    """Random requests of one node, and what it sees and hears; a former node gets the same."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.loads = EndpointLoads(Random(seed))
        self.former = FormerSpeeds()
        self.running: list[tuple[EndpointId, bool]] = []
        self.now = 10.0
        self.choices: list[tuple[Any, Any]] = []
        """What this node chose, and what is chosen by the former rule."""

    def play(self) -> None:
        """Place, end and observe requests; choices draw from generators of equal state."""
        placing, former_placing = Random(7), Random(7)
        for _ in range(STEPS):
            self.now += self.random.uniform(0.0, 0.02)
            self._observe()
            candidates = self.loads.candidates(ENTRIES, self.now)
            slowness = {
                one.endpoint: self.former.slowness(one.endpoint, SERVICE) for one in candidates
            }
            best = choose_endpoint(candidates, NEAR, placing)
            assert best is not None
            former = former_choice(candidates, slowness, NEAR, former_placing)
            self.choices.append((best.endpoint, former))
            ahead = max(0, best.online + 1 - SLOTS)
            former_wait_s = ahead * 0.5 * slowness[best.endpoint] / SLOTS
            self.choices.append((queue_wait_s(best, 0.5), former_wait_s))
            item = pick_batch_endpoint(candidates)
            former_item = former_batch_choice(candidates, slowness)
            self.choices.append((item.endpoint if item else None, former_item))
            self._change(best.endpoint, former_item)
        self.choices.append((placing.getstate(), former_placing.getstate()))

    def _change(self, online: EndpointId, batch: EndpointId | None) -> None:
        if len(self.running) < SLOTS * len(ENTRIES):
            self._start(online, is_batch=False)
        if batch is not None and self.random.random() < 0.3:
            self._start(batch, is_batch=True)
        while self.running and self.random.random() < 0.5:
            endpoint, is_batch = self.running.pop(self.random.randrange(len(self.running)))
            self.loads.request_ended(endpoint, batch=is_batch)
            took_s = self.random.uniform(0.1, 0.4) * (1 + int(endpoint[1:]) / 3)
            self.loads.record_success(endpoint, SERVICE, took_s, self.now)
            self.former.record(endpoint, SERVICE, took_s)

    def _start(self, endpoint: EndpointId, *, is_batch: bool) -> None:
        self.loads.request_started(endpoint, batch=is_batch, now=self.now)
        self.loads.record_activity(endpoint, self.now)
        self.running.append((endpoint, is_batch))

    def _observe(self) -> None:
        """Tell the time of work at an endpoint, as seen here and by another node."""
        entry = self.random.choice(ENTRIES)
        factor = self.random.uniform(0.5, 3.0)
        self.loads.record_work(entry, WORK, 0.01 * factor, 0.5, self.now)
        news = SpeedNews(entry.endpoint, 0, observed=factor, weight=0.8, observed_s=self.now)
        self.loads.speeds.apply_news([news], self.now)
        for other in ENTRIES:
            self.loads.record_activity(other.endpoint, self.now)


@given("a service whose endpoints report no slowness")
def step_service(context: Any) -> None:
    context.loads = EndpointLoads(Random(1))
    context.loads.candidates(ENTRIES, 10.0)


@when("requests of any load and speed are placed there")
def step_placed(context: Any) -> None:
    context.traffic = [Traffic(seed) for seed in range(20)]
    for one in context.traffic:
        for entry in ENTRIES:
            one.loads.request_started(entry.endpoint, batch=False, now=one.now)
            one.loads.request_ended(entry.endpoint, batch=False)
        one.play()


@then("every choice, wait and random draw is that of the former rule")
def step_former(context: Any) -> None:
    for one in context.traffic:
        for number, (chosen, former) in enumerate(one.choices):
            assert chosen == former, (number, chosen, former)


def observe(context: Any) -> None:
    """Record work that takes three times as long at the first endpoint."""
    for number in range(40):
        for entry in ENTRIES[:2]:
            took_s = 0.03 if entry is ENTRIES[0] and number > 20 else 0.01
            context.loads.record_work(entry, WORK, took_s, 0.5, 10.0 + number / 100)


@when("work takes three times as long at one of them")
def step_slow_work(context: Any) -> None:
    observe(context)


@then("nothing is learnt there, and other nodes are told nothing")
def step_nothing(context: Any) -> None:
    candidate, *_ = context.loads.candidates(ENTRIES, 10.4)
    assert candidate.slowness == 1.0, candidate
    assert context.loads.speeds.take_news() == []
    assert not context.loads.speeds.typical.classes


@when("another node tells of slow work there, and later of a report of slowness")
def step_news(context: Any) -> None:
    loads, name = context.loads, ENTRIES[0].endpoint
    observed = SpeedNews(name, 0, observed=3.0, weight=1.0, observed_s=10.1)
    loads.speeds.apply_news([observed], 10.1)
    context.before = loads.candidates(ENTRIES, 10.1)
    reported = SpeedNews(name, 0, reported=2.5, reported_s=10.2)
    loads.speeds.apply_news([reported], 10.2)
    context.after = loads.candidates(ENTRIES, 10.2)


@then("the slowness of its endpoints counts from the report on, and not before")
def step_from_report(context: Any) -> None:
    assert all(one.slowness == 1.0 and one.by_durations for one in context.before)
    assert context.after[0].slowness > 2.0, context.after
    assert not any(one.by_durations for one in context.after)


@when("one of them reports that it works as usual")
def step_as_usual(context: Any) -> None:
    context.loads.speeds.record_report(ENTRIES[1].endpoint, 0, 1.0, 10.0)
    context.loads.candidates(ENTRIES, 10.0)
    observe(context)


@then("the speed of all of them is learnt and told")
def step_learnt(context: Any) -> None:
    candidate, *_ = context.loads.candidates(ENTRIES, 10.4)
    assert candidate.slowness > 1.5, candidate
    assert ENTRIES[0].endpoint in {one.endpoint for one in context.loads.speeds.take_news()}


@when("the service loses its endpoints and gets others")
def step_lost(context: Any) -> None:
    context.loads.record_demand([], 11.0)
    for entry in ENTRIES:
        context.loads.forget(entry.endpoint)
    context.loads.candidates(ENTRIES, 12.0)


@then("it counts as one without reports again")
def step_without(context: Any) -> None:
    assert SERVICE not in context.loads.reporting
