"""Learn how long work of each class takes, so that work of different size can be compared."""

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from parsleyrouter.ids import RouteName, ServiceName

__all__ = ["Measure", "TypicalWork", "WorkClass"]

MAX_CLASSES = 256
"""Classes whose typical time is kept; work of further ones is not judged."""

MIN_KNOWN = 8
"""Observations before the typical time of a class is used."""

MEMORY = 100
"""Number of observations over which the typical time is averaged."""

SHORTEST_S = 1e-5
"""Shortest time that counts as work."""

MIN_RESPONSE_S = 0.005
"""Typical time of plain responses from which on they are judged; shorter ones show the network."""


class Measure(Enum):
    """What was measured."""

    EVENT = "event"
    """Time from one event of a stream to the next."""
    RESPONSE = "response"
    """Time of a whole plain response."""


class WorkClass(NamedTuple):
    """Work whose times are comparable; ``size_step`` is the power of two of its size."""

    service: ServiceName
    route: RouteName
    measure: Measure
    size_step: int = 0

    @classmethod
    def of_response(cls, service: ServiceName, route: RouteName, size: int) -> "WorkClass":
        """Return the class of plain responses of about ``size`` bytes."""
        return cls(service, route, Measure.RESPONSE, max(0, size).bit_length())


@dataclass
class _Typical:
    count: int = 0
    log_s: float = 0.0


@dataclass
class TypicalWork:
    """Geometric mean of the time of each class of work, over all endpoints."""

    classes: dict[WorkClass, _Typical] = field(default_factory=dict)

    def ratio(self, work: WorkClass, took_s: float) -> float | None:
        """Return the time as a multiple of the typical one; ``None`` while that is not known."""
        typical = self.classes.get(work)
        if typical is None:
            if len(self.classes) >= MAX_CLASSES:
                return None
            typical = self.classes[work] = _Typical()
        log_s = math.log(max(SHORTEST_S, took_s))
        typical.count = min(MEMORY, typical.count + 1)
        difference = log_s - typical.log_s
        typical.log_s += difference / typical.count
        too_short = work.measure is Measure.RESPONSE and typical.log_s < math.log(MIN_RESPONSE_S)
        return None if too_short or typical.count <= MIN_KNOWN else math.exp(difference)
