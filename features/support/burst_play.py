"""Simulate bursts of online requests to engines that admit in order of arrival."""

import heapq
from dataclasses import dataclass
from random import Random

from parsleyrouter.request.admission import Refuse, admit

TARGET_S = 0.3
ALLOWED_S = 5.0
BURST_S = 2.4
PERIOD_S = 5.8
DAY_S = 29.0


@dataclass(frozen=True)
class Burst:
    """Endpoints, and the request rates during and between bursts."""

    endpoints: int
    slots: int
    service_s: float
    peak_per_s: float
    trough_per_s: float


@dataclass
class Served:
    """Outcome of the simulated requests."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused_for_good: int = 0


def play_burst(burst: Burst, seed: int, *, refuse: bool) -> Served:
    """Simulate one run; each caller retries once after a refusal."""
    random = Random(seed)
    served = Served()
    slots = [0.0] * (burst.endpoints * burst.slots)
    heapq.heapify(slots)
    events: list[tuple[float, float, int]] = []
    at_s = 0.0
    while at_s < DAY_S:
        peak = at_s % PERIOD_S > PERIOD_S - BURST_S
        at_s += random.expovariate(burst.peak_per_s if peak else burst.trough_per_s)
        heapq.heappush(events, (at_s, at_s, 0))
    served.asked = len(events)
    while events:
        now, asked_s, tries = heapq.heappop(events)
        left_s = ALLOWED_S - (now - asked_s)
        wait_s = max(0.0, slots[0] - now)
        verdict = admit(
            wait_s=wait_s,
            target_s=TARGET_S,
            left_s=left_s,
            allowed_s=ALLOWED_S,
            spread=random.random(),
        )
        if refuse and isinstance(verdict, Refuse):
            if tries:
                served.refused_for_good += 1
            else:
                heapq.heappush(events, (now + verdict.retry_after_s, asked_s, 1))
            continue
        if wait_s >= left_s:
            served.refused_for_good += 1
            continue
        begin_s = max(now, heapq.heappop(slots))
        heapq.heappush(slots, begin_s + random.uniform(0.7, 1.3) * burst.service_s)
        if begin_s - now <= TARGET_S:
            served.in_time += 1
        else:
            served.late += 1
    return served
