"""Measurements of an experiment: HDR histograms and counts per arm, stored as JSON."""

from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

__all__ = ["ArmResult", "Latency", "Measures", "Result"]

MIN_US = 1
MAX_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


def histogram() -> HdrHistogram:
    """Create an empty histogram of microseconds."""
    return HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)


def record(into: HdrHistogram, value_s: float) -> None:
    """Record a duration in seconds, clamped to the histogram's range."""
    into.record_value(min(MAX_US, max(MIN_US, round(value_s * US_PER_S))))


class Latency(msgspec.Struct, frozen=True):
    """Percentiles in milliseconds, and the encoded histogram."""

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float
    encoded: str

    @classmethod
    def of(cls, source: HdrHistogram) -> "Latency":
        """Summarize a histogram."""
        return cls(
            count=source.get_total_count(),
            p50_ms=source.get_value_at_percentile(50) / 1000,
            p99_ms=source.get_value_at_percentile(99) / 1000,
            p999_ms=source.get_value_at_percentile(99.9) / 1000,
            max_ms=source.get_max_value() / 1000,
            encoded=source.encode().decode(),
        )


class ArmResult(msgspec.Struct, frozen=True):
    """Results of one arm; rates are per second, slot times in seconds.

    ``score`` is the weight of the online requests answered in time, divided by the weight offered.
    """

    ttft: Latency
    between: Latency
    freed: Latency
    offered: int
    answered: int
    refused: int
    score: float
    batch_items_per_s: float
    batch_tokens_per_s: float
    yielded: int
    measured_s: float
    slot_s: float
    online_slot_s: float
    batch_slot_s: float
    loop_lag_p99_ms: float


class Result(msgspec.Struct, frozen=True):
    """Results of all arms of an experiment, measured alternately over the same arrivals."""

    scenario: str
    online_share: float
    command: str
    rounds: int
    slice_s: float
    seed: int
    arms: dict[str, ArmResult]


@dataclass
class Measures:
    """Accumulate the measurements of one arm over all its slices."""

    ttft: HdrHistogram = field(default_factory=histogram)
    between: HdrHistogram = field(default_factory=histogram)
    freed: HdrHistogram = field(default_factory=histogram)
    lag: HdrHistogram = field(default_factory=histogram)
    offered: int = 0
    answered: int = 0
    refused: int = 0
    weight_offered: float = 0.0
    weight_answered: float = 0.0
    batch_items: int = 0
    batch_tokens: int = 0
    yielded: int = 0
    measured_s: float = 0.0
    slot_s: float = 0.0
    online_slot_s: float = 0.0
    batch_slot_s: float = 0.0

    def result(self) -> ArmResult:
        """Return the summary of the arm."""
        length_s = max(self.measured_s, 1e-9)
        return ArmResult(
            ttft=Latency.of(self.ttft),
            between=Latency.of(self.between),
            freed=Latency.of(self.freed),
            offered=self.offered,
            answered=self.answered,
            refused=self.refused,
            score=self.weight_answered / max(self.weight_offered, 1e-9),
            batch_items_per_s=self.batch_items / length_s,
            batch_tokens_per_s=self.batch_tokens / length_s,
            yielded=self.yielded,
            measured_s=self.measured_s,
            slot_s=self.slot_s,
            online_slot_s=self.online_slot_s,
            batch_slot_s=self.batch_slot_s,
            loop_lag_p99_ms=self.lag.get_value_at_percentile(99) / 1000,
        )
