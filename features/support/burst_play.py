"""Simulate bursts of online requests to engines that admit in order of arrival."""

import heapq
from dataclasses import dataclass
from random import Random

from parsleyrouter.request.admission import Refuse, admit

TARGET_S = 0.3
ALLOWED_S = 5.0
BURST_S = 2.4
PERIOD_S = 5.8
RUN_S = 29.0


@dataclass(frozen=True)
class Burst:
    """Endpoints, and the request rates during and between bursts."""

    endpoints: int
    slots: int
    service_s: float
    peak_per_s: float
    trough_per_s: float


@dataclass
class BurstResult:
    """Outcome of the simulated requests."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused_finally: int = 0


def simulate_burst(burst: Burst, seed: int, *, refuse: bool) -> BurstResult:
    """Simulate one run; each caller retries once after a refusal."""
    random = Random(seed)
    result = BurstResult()
    slots = [0.0] * (burst.endpoints * burst.slots)
    heapq.heapify(slots)
    events: list[tuple[float, float, int]] = []
    at_s = 0.0
    while at_s < RUN_S:
        peak = at_s % PERIOD_S > PERIOD_S - BURST_S
        at_s += random.expovariate(burst.peak_per_s if peak else burst.trough_per_s)
        heapq.heappush(events, (at_s, at_s, 0))
    result.sent = len(events)
    while events:
        now, sent_s, retries = heapq.heappop(events)
        left_s = ALLOWED_S - (now - sent_s)
        wait_s = max(0.0, slots[0] - now)
        verdict = admit(
            wait_s=wait_s,
            target_s=TARGET_S,
            left_s=left_s,
            allowed_s=ALLOWED_S,
            spread=random.random(),
        )
        if refuse and isinstance(verdict, Refuse):
            if retries:
                result.refused_finally += 1
            else:
                heapq.heappush(events, (now + verdict.retry_after_s, sent_s, 1))
            continue
        if wait_s >= left_s:
            result.refused_finally += 1
            continue
        start_s = max(now, heapq.heappop(slots))
        heapq.heappush(slots, start_s + random.uniform(0.7, 1.3) * burst.service_s)
        if start_s - now <= TARGET_S:
            result.in_time += 1
        else:
            result.late += 1
    return result
