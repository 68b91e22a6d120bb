"""Open-loop arrivals: intended start times that do not depend on earlier responses."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from parsleyrouter.experiment.scenario import OnlineKind, Scenario

__all__ = ["Arrival", "generate_arrivals"]

MAX_LENGTH_FACTOR = 3.0
"""Limit of prompt and output lengths, as a multiple of the mean."""


@dataclass(frozen=True)
class Arrival:
    """Request to send ``at_s`` seconds after the start of the run."""

    at_s: float
    kind: OnlineKind
    node: int
    prompt_tokens: int
    output_tokens: int


def generate_arrivals(scenario: Scenario, length_s: float, seed: int) -> list[Arrival]:
    """Return all arrivals of a run in order of time; equal seeds give equal arrivals."""
    random = Random(seed)
    drawn = []
    for kind in scenario.online:
        for at_s in _times(kind, length_s, random):
            node = random.randrange(len(scenario.domains))
            prompt = _length(kind.prompt_tokens, random)
            output = _length(kind.output_tokens, random)
            drawn.append(Arrival(at_s, kind, node, prompt, output))
    return sorted(drawn, key=lambda arrival: arrival.at_s)


def _times(kind: OnlineKind, length_s: float, random: Random) -> Iterator[float]:
    peak_per_s = kind.rate_per_s + (kind.burst.rate_per_s if kind.burst else 0.0)
    at_s = random.expovariate(peak_per_s)
    while at_s < length_s:
        if random.random() * peak_per_s < _rate(kind, at_s):
            yield at_s
        at_s += random.expovariate(peak_per_s)


def _rate(kind: OnlineKind, at_s: float) -> float:
    burst = kind.burst
    if burst is None or at_s % burst.every_s < burst.every_s - burst.length_s:
        return kind.rate_per_s
    return kind.rate_per_s + burst.rate_per_s


def _length(mean: int, random: Random) -> int:
    return max(1, round(min(MAX_LENGTH_FACTOR * mean, random.expovariate(1 / mean))))
