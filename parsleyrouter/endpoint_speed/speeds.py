"""Hold the speed of every endpoint that this node sends to or hears of.

Performs no I/O; methods take the current time as monotonic seconds.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from parsleyrouter.endpoint_speed.slow_state import SlowStates
from parsleyrouter.endpoint_speed.speed_estimate import SpeedEstimate
from parsleyrouter.endpoint_speed.speed_news import MAX_ROWS, START_MASK, SpeedNews
from parsleyrouter.endpoint_speed.typical_work import TypicalWork, WorkClass
from parsleyrouter.ids import EndpointId

__all__ = ["EndpointSpeeds"]

REPORT_CHANGE = math.log(1.2)
"""Difference from the present estimate from which on a report is news to other nodes."""

NEWS_WEIGHT = 0.75
"""Weight of observations, in whole responses, from which on they are told to other nodes."""

NEWS_CHANGE = math.log(1.6)
"""Difference from the typical time from which on a single observation is told."""

MAX_HEARD_AGE_S = 1.0
"""Age from which on news of other nodes is not used."""


@dataclass
class _Seen:
    """What this node saw of an endpoint and has not told yet."""

    reported: float = 0.0
    reported_s: float = 0.0
    sum_log: float = 0.0
    weight: float = 0.0
    observed_s: float = 0.0


@dataclass
class _Endpoint:
    started_ms: int
    estimate: SpeedEstimate = field(default_factory=SpeedEstimate)
    seen: _Seen = field(default_factory=_Seen)


@dataclass
class EndpointSpeeds:
    """Combine reports and times of work, of this node and of others, by endpoint."""

    typical: TypicalWork = field(default_factory=TypicalWork)
    endpoints: dict[EndpointId, _Endpoint] = field(default_factory=dict)
    states: SlowStates = field(default_factory=SlowStates)
    untold: set[EndpointId] = field(default_factory=set)

    def record_report(
        self, endpoint: EndpointId, started_ms: int, slowness: float, now: float
    ) -> None:
        """Record how slow an endpoint says that it is, as a multiple of its usual time."""
        state = self.endpoints.get(endpoint)
        if state is None or state.started_ms != started_ms:
            return
        estimate = state.estimate
        known = estimate.change(now)
        estimate.report(slowness, now)
        if abs(estimate.change(now) - known) > REPORT_CHANGE:
            state.seen.reported, state.seen.reported_s = slowness, now
            self.untold.add(endpoint)
        self.states.update(endpoint, estimate.slowness(now), now)

    def record_work(
        self,
        endpoint: EndpointId,
        started_ms: int,
        work: WorkClass,
        took_s: float,
        weight: float,
        now: float,
    ) -> None:
        """Record how long work took; a weight of 1 is that of a whole response."""
        ratio = self.typical.ratio(work, took_s)
        if ratio is None:
            return
        state = self.endpoints.get(endpoint)
        if state is None or state.started_ms != started_ms:
            return
        state.estimate.observe(ratio, weight, now)
        seen, ratio_log = state.seen, math.log(ratio)
        seen.sum_log += ratio_log * weight
        seen.weight += weight
        seen.observed_s = now
        if seen.weight >= NEWS_WEIGHT or abs(ratio_log) > NEWS_CHANGE:
            self.untold.add(endpoint)
        self.states.update(endpoint, state.estimate.slowness(now), now)

    def apply_news(self, news: Iterable[SpeedNews], now: float) -> None:
        """Use what another node saw; what came out of order or is old is left out."""
        for one in news:
            state = self.endpoints.get(one.endpoint)
            if state is None or state.started_ms & START_MASK != one.start:
                continue
            estimate = state.estimate
            if one.reported and now - one.reported_s < MAX_HEARD_AGE_S:
                estimate.report(one.reported, one.reported_s)
            if one.observed and now - one.observed_s < MAX_HEARD_AGE_S:
                estimate.observe(one.observed, one.weight, one.observed_s)
            self.states.update(one.endpoint, estimate.slowness(now), now)

    def take_news(self) -> list[SpeedNews]:
        """Return what other nodes should hear, each observation once."""
        news = []
        for endpoint in sorted(self.untold)[:MAX_ROWS]:
            self.untold.discard(endpoint)
            state = self.endpoints.get(endpoint)
            if state is None:
                continue
            seen, state.seen = state.seen, _Seen()
            mean = math.exp(seen.sum_log / seen.weight) if seen.weight else 0.0
            news.append(
                SpeedNews(
                    endpoint,
                    state.started_ms & START_MASK,
                    seen.reported,
                    seen.reported_s,
                    mean,
                    min(1.0, seen.weight),
                    seen.observed_s,
                )
            )
        return news

    def slowness(self, endpoint: EndpointId, started_ms: int, now: float) -> float:
        """Return how slow a registered endpoint is now; 1 for one of which nothing is known.

        Only endpoints that were asked for are learnt: news of others is of endpoints that are gone.
        """
        state = self.endpoints.get(endpoint)
        if state is None or state.started_ms != started_ms:
            self.forget(endpoint)
            self.endpoints[endpoint] = _Endpoint(started_ms)
            return 1.0
        slowness = state.estimate.slowness(now)
        if endpoint in self.states.slow:
            self.states.update(endpoint, slowness, now)
        return slowness

    def has_report(self, endpoint: EndpointId) -> bool:
        """Return whether an endpoint has reported how slow it is, here or to another node."""
        state = self.endpoints.get(endpoint)
        return state is not None and state.estimate.reports

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what is known of an endpoint that is gone or has restarted."""
        self.endpoints.pop(endpoint, None)
        self.untold.discard(endpoint)
        self.states.forget(endpoint)
