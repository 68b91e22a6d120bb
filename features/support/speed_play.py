"""Play nodes that share endpoints of unequal and changing speed, without a network.

Requests are streams of events of very different length. Nodes see each other's counts with a delay,
and only their own answers. Time is simulated.
"""

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from features.support.speed_result import PlayResult
from parsleyrouter.endpoint_speed import Measure, WorkClass
from parsleyrouter.ids import Address, DomainName, EndpointId, NodeId, RouteName, ServiceName
from parsleyrouter.process.endpoint_directory import RegisteredEndpoint
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.fleet_loads import NodeLoadReport, RequestCounts
from parsleyrouter.request.placement import PlacementCandidate, choose_endpoint

SERVICE, ROUTE, DOMAIN = ServiceName("engines"), RouteName("chat"), DomainName("near")
EVENT_S = 0.01
EVENTS_PER_CHUNK = 4
SPEEDS = (0.6, 1.0, 1.6)
SLOWDOWN = 2.5
SLOW_S = 0.6
REPORT_DELAY_S = 0.022
"""Debounce time of load reports and the way to the other nodes."""

CROWDING = 0.4
"""How much longer an event takes at a full endpoint than at an idle one, as a share."""

WARM_UP_S = 3.0
SAMPLE_S = 0.05


@dataclass(frozen=True)
class Play:
    """What is played; ``load`` is the share of the endpoints' usual capacity that is asked for."""

    endpoints: int = 16
    nodes: int = 10
    slots: int = 8
    load: float = 0.5
    run_s: float = 18.0
    speeds: tuple[float, ...] = SPEEDS
    slow_share: float = 0.2
    reporting: int | None = None
    """How many endpoints report how slow they are; all if not given."""
    shares: bool = True
    """Whether nodes tell each other what they see."""
    seed: int = 1


@dataclass
class PlayedEndpoint:
    """An endpoint with a queue in order of arrival."""

    entry: RegisteredEndpoint
    speed: float
    slow_times: list[tuple[float, float]]
    running: int = 0
    queue: list["PlayedRequest"] = field(default_factory=list)

    def change(self, now: float) -> float:
        """Return how long work takes here now, as a multiple of the usual time here."""
        return SLOWDOWN if any(start <= now < end for start, end in self.slow_times) else 1.0

    def slowness(self, now: float) -> float:
        """Return how long work takes here now, as a multiple of that at speed 1."""
        return self.change(now) / self.speed


@dataclass
class PlayedRequest:
    """One request and what its caller saw."""

    node: "PlayedNode"
    events: int
    sent_s: float
    left: int = 0


Rule = Callable[["PlayedNode", list[PlayedEndpoint], float], EndpointId]


class PlayedNode:
    """A node with its own view of loads and speeds."""

    def __init__(self, name: str, rule: Rule, random: Random) -> None:
        self.name = NodeId(name)
        self.rule = rule
        self.random = random
        self.loads = EndpointLoads(random)
        self.sequence = itertools.count(1)
        self.report_due = False
        self.service_s: dict[EndpointId, float] = {}
        self.typical_s = 0.0

    def record_duration(self, endpoint: EndpointId, took_s: float) -> None:
        """Keep the means by which today's rule judges speed."""
        self.typical_s += 0.1 * (took_s - self.typical_s) if self.typical_s else took_s
        known = self.service_s.get(endpoint, took_s)
        self.service_s[endpoint] = known + 0.1 * (took_s - known)


def learned_rule(node: PlayedNode, endpoints: list[PlayedEndpoint], now: float) -> EndpointId:
    """Choose by what the node has learnt."""
    return _choose(node, node.loads.candidates([one.entry for one in endpoints], now))


def knowing_rule(node: PlayedNode, endpoints: list[PlayedEndpoint], now: float) -> EndpointId:
    """Choose by the true speed of this moment."""
    candidates = node.loads.candidates([one.entry for one in endpoints], now)
    true = {one.entry.endpoint: one.slowness(now) for one in endpoints}
    return _choose(node, [_with(one, true[one.endpoint]) for one in candidates])


def former_rule(node: PlayedNode, endpoints: list[PlayedEndpoint], now: float) -> EndpointId:
    """Choose as before speeds were learnt: by the mean over whole responses of any length."""
    best, least = None, 0.0
    for one in node.loads.candidates([each.entry for each in endpoints], now):
        known = node.service_s.get(one.endpoint)
        ratio = known / node.typical_s if known and node.typical_s else 1.0
        slowness = min(8.0, max(0.7, ratio))
        cost = (one.online + 1) / one.slots * slowness + (0.0 if one.free else 0.25)
        cost += max(0, one.online + 1 - one.slots) * slowness + 0.03 * node.random.random()
        if best is None or cost < least:
            best, least = one.endpoint, cost
    assert best is not None
    return best


def _with(candidate: PlacementCandidate, slowness: float) -> PlacementCandidate:
    fields = {name: getattr(candidate, name) for name in candidate.__dataclass_fields__}
    return PlacementCandidate(**(fields | {"slowness": slowness}))


def _choose(node: PlayedNode, candidates: Iterable[PlacementCandidate]) -> EndpointId:
    best = choose_endpoint(candidates, DOMAIN, node.random)
    assert best is not None
    return best.endpoint


class SpeedPlay:
    """Run one play; events are calls at simulated times."""

    def __init__(self, play: Play, rule: Rule) -> None:
        self.play = play
        self.random = Random(play.seed)
        self.arrivals = Random(play.seed + 1000)
        self.calls: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()
        self.now = 0.0
        self.nodes = [
            PlayedNode(f"n{number}", rule, Random(f"{play.seed}-{number}"))
            for number in range(play.nodes)
        ]
        self.endpoints = [self._endpoint(number) for number in range(play.endpoints)]
        self.by_name = {one.entry.endpoint: one for one in self.endpoints}
        self.result = PlayResult(speeds={one.entry.endpoint: one.speed for one in self.endpoints})

    def run(self) -> PlayResult:
        """Play to the end and return what callers got."""
        self._arrive()
        self._sample()
        while self.calls and self.calls[0][0] < self.play.run_s:
            self.now, _, call, arguments = heapq.heappop(self.calls)
            call(*arguments)
        return self.result

    def _endpoint(self, number: int) -> PlayedEndpoint:
        play = self.play
        entry = RegisteredEndpoint(
            EndpointId(f"e{number:015d}"), SERVICE, Address("10.0.0.1:80"), DOMAIN, play.slots
        )
        slow_times, at_s = [], self.random.uniform(0, SLOW_S)
        while play.slow_share and at_s < play.run_s:
            at_s += self.random.expovariate(play.slow_share / (1 - play.slow_share) / SLOW_S)
            slow_times.append((at_s, at_s + SLOW_S))
            at_s += SLOW_S
        return PlayedEndpoint(entry, play.speeds[number % len(play.speeds)], slow_times)

    def _later(self, delay_s: float, call: Callable[..., None], *arguments: Any) -> None:
        entry = (self.now + delay_s, next(self.order), call, arguments)
        heapq.heappush(self.calls, entry)

    def _sample(self) -> None:
        self._later(SAMPLE_S, self._sample)
        if self.now > WARM_UP_S:
            for one in self.endpoints:
                name = one.entry.endpoint
                counts = self.result.running.setdefault(name, [])
                counts.append(one.running + len(one.queue))
                seen = self.nodes[0].loads.speeds.slowness(name, 0, self.now)
                self.result.estimates.setdefault(name, []).append(seen)

    def _events(self) -> int:
        return self.arrivals.choice((8, 8, 8, 16, 16, 24, 40, 132))

    def _arrive(self) -> None:
        capacity = sum(one.speed for one in self.endpoints) * self.play.slots
        per_s = self.play.load * capacity / (31.5 * EVENT_S)
        self._later(self.arrivals.expovariate(per_s), self._arrive)
        node = self.arrivals.choice(self.nodes)
        events = self._events()
        endpoint = self.by_name[node.rule(node, self.endpoints, self.now)]
        request = PlayedRequest(node, events, self.now, events)
        self.result.placements += 1
        self.result.uneven += any(
            node.loads.speeds.slowness(one.entry.endpoint, 0, self.now) != 1.0
            for one in self.endpoints
        )
        node.loads.request_started(endpoint.entry.endpoint, batch=False, now=self.now)
        self._changed(node)
        if endpoint.running < endpoint.entry.slots:
            self._begin(endpoint, request)
        else:
            endpoint.queue.append(request)

    def _begin(self, endpoint: PlayedEndpoint, request: PlayedRequest) -> None:
        endpoint.running += 1
        self._next_chunk(endpoint, request)

    def _next_chunk(self, endpoint: PlayedEndpoint, request: PlayedRequest) -> None:
        crowding = 1 + CROWDING * (endpoint.running - 1) / endpoint.entry.slots
        took_s = EVENTS_PER_CHUNK * EVENT_S * endpoint.slowness(self.now) * crowding
        took_s *= self.random.uniform(0.8, 1.2)
        if self.now > WARM_UP_S:
            self.result.busy_s[endpoint.entry.endpoint] += took_s
        self._later(took_s, self._chunk, endpoint, request, took_s)

    def _chunk(self, endpoint: PlayedEndpoint, request: PlayedRequest, took_s: float) -> None:
        node, name = request.node, endpoint.entry.endpoint
        first = request.left == request.events
        node.loads.record_activity(name, self.now)
        if first and endpoint in self.endpoints[: self.play.reporting]:
            node.loads.speeds.record_report(name, 0, endpoint.change(self.now), self.now)
        if not first:
            work, event_s = WorkClass(SERVICE, ROUTE, Measure.EVENT), took_s / EVENTS_PER_CHUNK
            node.loads.record_work(endpoint.entry, work, event_s, 0.25, self.now)
        if first and request.sent_s > WARM_UP_S:
            self.result.first_s.append(self.now - request.sent_s)
        request.left -= EVENTS_PER_CHUNK
        if request.left > 0:
            self._next_chunk(endpoint, request)
            return
        endpoint.running -= 1
        node.loads.request_ended(name, batch=False)
        node.record_duration(name, self.now - request.sent_s)
        self._changed(node)
        if request.sent_s > WARM_UP_S:
            stretch = (self.now - request.sent_s) / (request.events * EVENT_S)
            self.result.stretch.append(stretch)
        if endpoint.queue:
            self._begin(endpoint, endpoint.queue.pop(0))

    def _changed(self, node: PlayedNode) -> None:
        if not node.report_due:
            node.report_due = True
            self._later(REPORT_DELAY_S, self._report, node)

    def _report(self, node: PlayedNode) -> None:
        node.report_due = False
        news = tuple(node.loads.speeds.take_news())
        self.result.news_rows += len(news)
        self.result.reports += 1
        report = NodeLoadReport(
            node=node.name,
            boot=1,
            sequence=next(node.sequence),
            uses={name: RequestCounts(use.online) for name, use in node.loads.own.items()},
            received_s=self.now,
            speeds=news if self.play.shares else (),
        )
        for other in self.nodes:
            if other is not node and other.loads.fleet.apply_node(report):
                other.loads.speeds.apply_news(report.speeds, self.now)


def played(play: Play, rule: Rule) -> PlayResult:
    """Return what callers get in a play by one rule."""
    return SpeedPlay(play, rule).run()
