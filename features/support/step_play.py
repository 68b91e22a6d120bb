"""Play batch items beside online demand in steps, without a network; time is simulated."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from parsleyrouter.demand import DemandForecasts
from parsleyrouter.ids import DomainName, EndpointId, ServiceName
from parsleyrouter.process.batch_placement import batch_item_rank, pick_batch_endpoint
from parsleyrouter.request.placement import PlacementCandidate, choose_endpoint

SERVICE, DOMAIN = ServiceName("engines"), DomainName("near")
TURN_S = 0.05
"""Pause between placements of batch items."""

REPORT_DELAY_S = 0.02
"""Time until the counts of a placement are known elsewhere, and excess items are cut."""

ITEM_S = 1.0
DUE_S = 18.0
ITEMS_PER_JOB = 10
RETRY_PAUSE_S = 0.25
STEP_TROUGH, STEP_PEAK = 0.38, 1.87
TROUGH_S, PEAK_S = 3.4, 2.4
KNOWN_S = 2 * (TROUGH_S + PEAK_S)


@dataclass(frozen=True)
class StepPlay:
    """What is played; ``online_load`` and ``batch_load`` are mean shares of the slots."""

    endpoints: int = 15
    slots: int = 8
    online_s: float = 0.4
    online_load: float = 0.35
    batch_load: float = 0.2
    steps: bool = True
    forecasts: bool = True
    run_s: float = 60.0
    seed: int = 1


@dataclass
class Item:
    """One item of a batch job."""

    due_s: float
    left_s: float = ITEM_S
    not_before_s: float = 0.0
    started_s: float = 0.0
    run: int = 0


@dataclass
class Endpoint:
    """Requests at one endpoint; online ones beyond the slots wait in order of arrival."""

    name: EndpointId
    online: int = 0
    items: list[Item] = field(default_factory=list)
    queue: list[float] = field(default_factory=list)


@dataclass
class StepResult:
    """What callers and jobs got."""

    cuts: int = 0
    results: int = 0
    known_cuts: int = 0
    known_results: int = 0
    """Those since two steps were seen."""
    late_items: int = 0
    waits_s: list[float] = field(default_factory=list, repr=False)

    @property
    def mean_wait_s(self) -> float:
        """Return the mean wait of online requests for a slot."""
        return sum(self.waits_s) / len(self.waits_s)


class StepSimulation:
    """Run one play by calls at simulated times."""

    def __init__(self, play: StepPlay) -> None:
        self.play = play
        self.random = Random(play.seed)
        self.arrivals = Random(play.seed + 1000)
        self.calls: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()
        self.now = 0.0
        self.endpoints = [Endpoint(EndpointId(f"e{number}")) for number in range(play.endpoints)]
        self.by_name = {one.name: one for one in self.endpoints}
        self.forecasts = DemandForecasts()
        self.waiting: list[Item] = []
        self.result = StepResult()
        self.slots = play.endpoints * play.slots

    def run(self) -> StepResult:
        """Play to the end and return what callers and jobs got."""
        self._arrive_online()
        self._arrive_job()
        self._turn()
        while self.calls and self.calls[0][0] < self.play.run_s:
            self.now, _, call, arguments = heapq.heappop(self.calls)
            call(*arguments)
        unfinished = [*self.waiting, *(item for one in self.endpoints for item in one.items)]
        self.result.late_items += sum(item.due_s < self.play.run_s for item in unfinished)
        return self.result

    def _later(self, delay_s: float, call: Callable[..., None], *arguments: Any) -> None:
        entry = (self.now + delay_s, next(self.order), call, arguments)
        heapq.heappush(self.calls, entry)

    def _candidates(self) -> list[PlacementCandidate]:
        slots = self.play.slots
        return [
            PlacementCandidate(one.name, DOMAIN, slots, one.online, len(one.items))
            for one in self.endpoints
        ]

    def _arrive_online(self) -> None:
        play = self.play
        per_s = play.online_load * self.slots / play.online_s
        if play.steps:
            in_peak = self.now % (TROUGH_S + PEAK_S) >= TROUGH_S
            per_s *= STEP_PEAK if in_peak else STEP_TROUGH
        self._later(self.arrivals.expovariate(per_s), self._arrive_online)
        best = choose_endpoint(self._candidates(), DOMAIN, self.random)
        assert best is not None
        endpoint = self.by_name[best.endpoint]
        took_s = play.online_s * self.arrivals.uniform(0.5, 1.5)
        endpoint.online += 1
        self._later(REPORT_DELAY_S, self._preempt, endpoint)
        self._begin_online(endpoint, self.now, took_s)

    def _begin_online(self, endpoint: Endpoint, sent_s: float, took_s: float) -> None:
        running = endpoint.online - len(endpoint.queue) - 1
        if running + len(endpoint.items) < self.play.slots:
            self.result.waits_s.append(self.now - sent_s)
            self._later(took_s, self._end_online, endpoint)
        else:
            endpoint.queue.append(sent_s)
            self._later(0.0, self._start_queued, endpoint)

    def _start_queued(self, endpoint: Endpoint) -> None:
        while endpoint.queue:
            running = endpoint.online - len(endpoint.queue)
            if running + len(endpoint.items) >= self.play.slots:
                return
            self.result.waits_s.append(self.now - endpoint.queue.pop(0))
            took_s = self.play.online_s * self.arrivals.uniform(0.5, 1.5)
            self._later(took_s, self._end_online, endpoint)

    def _end_online(self, endpoint: Endpoint) -> None:
        endpoint.online -= 1
        self._start_queued(endpoint)

    def _preempt(self, endpoint: Endpoint) -> None:
        while endpoint.items and endpoint.online + len(endpoint.items) > self.play.slots:
            item = max(endpoint.items, key=lambda one: self._rank(one, self._left_s(one)))
            endpoint.items.remove(item)
            item.left_s = self._left_s(item)
            item.run += 1
            item.not_before_s = self.now + RETRY_PAUSE_S
            self.waiting.append(item)
            self.result.cuts += 1
            self.result.known_cuts += self.now > KNOWN_S
        self._start_queued(endpoint)

    def _left_s(self, item: Item) -> float:
        return max(0.0, item.left_s - (self.now - item.started_s))

    def _rank(self, item: Item, left_s: float) -> tuple[bool, int, float]:
        due_in_s = item.due_s - self.now
        return batch_item_rank(left_s=due_in_s, needed_s=left_s, expected_s=ITEM_S)

    def _arrive_job(self) -> None:
        jobs_per_s = self.play.batch_load * self.slots / ITEM_S / ITEMS_PER_JOB
        self._later(self.arrivals.expovariate(jobs_per_s), self._arrive_job)
        self.waiting += [Item(self.now + DUE_S) for _ in range(ITEMS_PER_JOB)]

    def _turn(self) -> None:
        self._later(TURN_S, self._turn)
        online = sum(one.online for one in self.endpoints)
        self.forecasts.record(SERVICE, online, self.slots, self.now)
        for item in sorted(self.waiting, key=lambda one: self._rank(one, one.left_s)):
            if item.not_before_s > self.now:
                continue
            reserved_share = 0.0
            if self.play.forecasts:
                reserved_share = self.forecasts.reserved_share(
                    SERVICE, needed_s=item.left_s, left_s=item.due_s - self.now, now=self.now
                )
            best = pick_batch_endpoint(self._candidates(), reserved_share=reserved_share)
            if best is None:
                continue
            self.waiting.remove(item)
            item.started_s = self.now
            self.by_name[best.endpoint].items.append(item)
            self._later(item.left_s, self._end_item, self.by_name[best.endpoint], item, item.run)

    def _end_item(self, endpoint: Endpoint, item: Item, run: int) -> None:
        if item.run != run:
            return
        endpoint.items.remove(item)
        self.result.results += 1
        self.result.known_results += self.now > KNOWN_S
        self.result.late_items += self.now > item.due_s
        self._start_queued(endpoint)
