"""Open-loop arrivals: when each request is meant to start, whatever became of earlier ones."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from parsleyrouter.experiment.scenario import OnlineKind, Scenario

__all__ = ["Arrival", "generate_arrivals"]

LONGEST_FACTOR = 3.0
"""Answers are at most this many times as long as the mean."""


@dataclass(frozen=True)
class Arrival:
    """One request; ``at_s`` counts from the start of the run."""

    at_s: float
    kind: OnlineKind
    node: int
    prompt_tokens: int
    output_tokens: int


def generate_arrivals(scenario: Scenario, length_s: float, seed: int) -> list[Arrival]:
    """Return all arrivals of a run in order; the same seed gives the same arrivals."""
    random = Random(seed)
    found = []
    for kind in scenario.online:
        for at_s in _times(kind, length_s, random):
            node = random.randrange(len(scenario.domains))
            prompt = _length(kind.prompt_tokens, random)
            output = _length(kind.output_tokens, random)
            found.append(Arrival(at_s, kind, node, prompt, output))
    return sorted(found, key=lambda arrival: arrival.at_s)


def _times(kind: OnlineKind, length_s: float, random: Random) -> Iterator[float]:
    highest = kind.rate_per_s + (kind.burst.rate_per_s if kind.burst else 0.0)
    at_s = random.expovariate(highest)
    while at_s < length_s:
        if random.random() * highest < _rate(kind, at_s):
            yield at_s
        at_s += random.expovariate(highest)


def _rate(kind: OnlineKind, at_s: float) -> float:
    burst = kind.burst
    if burst is None or at_s % burst.every_s < burst.every_s - burst.length_s:
        return kind.rate_per_s
    return kind.rate_per_s + burst.rate_per_s


def _length(mean: int, random: Random) -> int:
    return max(1, round(min(LONGEST_FACTOR * mean, random.expovariate(1 / mean))))
