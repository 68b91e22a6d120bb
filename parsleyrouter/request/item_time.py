"""Learn how long the batch items of a route take, to rank them by the work that is left."""

from dataclasses import dataclass, field

from parsleyrouter.ids import RouteName

__all__ = ["ItemTimes"]

INITIAL_S = 5.0
"""Time assumed before the first item of a route has completed: some hundred tokens."""

WEIGHT = 0.1
"""Weight of one item in the moving average."""

MIN_S = 0.01


@dataclass
class ItemTimes:
    """Moving average of the time that items spent at endpoints, by route."""

    means_s: dict[RouteName, float] = field(default_factory=dict)

    def record(self, route: RouteName, spent_s: float) -> None:
        """Record a completed item, with the time of all of its runs."""
        mean_s = self.means_s.get(route, spent_s)
        self.means_s[route] = max(MIN_S, mean_s + WEIGHT * (spent_s - mean_s))

    def expected_s(self, route: RouteName) -> float:
        """Return the time that an item of a route is expected to take."""
        return self.means_s.get(route, INITIAL_S)

    def left_s(self, route: RouteName, spent_s: float) -> float:
        """Return the time that an item still needs after ``spent_s``."""
        return max(0.0, self.expected_s(route) - spent_s)
