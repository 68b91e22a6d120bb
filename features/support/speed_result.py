"""What callers got in a play of endpoints of unequal speed."""

from collections import Counter
from dataclasses import dataclass, field
from statistics import pstdev

from parsleyrouter.ids import EndpointId


@dataclass
class PlayResult:
    """What callers got: times to the first chunk, and durations over the time for their size."""

    first_s: list[float] = field(default_factory=list)
    stretch: list[float] = field(default_factory=list)
    busy_s: Counter[EndpointId] = field(default_factory=Counter)
    speeds: dict[EndpointId, float] = field(default_factory=dict)
    running: dict[EndpointId, list[int]] = field(default_factory=dict)
    """Requests at each endpoint, queue included, at regular times."""
    estimates: dict[EndpointId, list[float]] = field(default_factory=dict)
    """Slowness of each endpoint as one node sees it, at the same times."""
    placements: int = 0
    uneven: int = 0
    """Placements before which some endpoint counted as slower or faster than others."""
    news_rows: int = 0
    reports: int = 0

    def mean_first_s(self) -> float:
        """Return the mean time to the first chunk."""
        return sum(self.first_s) / len(self.first_s)

    def p95_first_s(self) -> float:
        """Return the 95th percentile of the time to the first chunk."""
        return sorted(self.first_s)[int(0.95 * len(self.first_s))]

    def mean_stretch(self) -> float:
        """Return the mean duration over the usual one for the size."""
        return sum(self.stretch) / len(self.stretch)

    def swing(self) -> float:
        """Return how much the requests at one endpoint vary, as the mean standard deviation."""
        spreads = [pstdev(counts) for counts in self.running.values()]
        return sum(spreads) / len(spreads)

    def p95_stretch(self) -> float:
        """Return the 95th percentile of the duration over the usual one for the size."""
        return sorted(self.stretch)[int(0.95 * len(self.stretch))]
