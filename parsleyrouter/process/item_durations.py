"""Learn how long items take, to tell early which part will be late."""

from parsleyrouter.process.job_records import PartRecord

__all__ = ["ItemDurations"]

NEW_SHARE = 0.05
FIRST_GUESS_S = 1.0


class ItemDurations:
    """Keep a moving mean of item times by team and kind; ``at_once`` run side by side."""

    def __init__(self, at_once: int) -> None:
        self.at_once = at_once
        self.means_s: dict[tuple[str, str], float] = {}

    def add_duration(self, part: PartRecord, seconds: float) -> None:
        """Take the time of one item, from its first try to its result."""
        key = (part.team, part.kind)
        mean_s = self.means_s.get(key)
        self.means_s[key] = seconds if mean_s is None else mean_s + NEW_SHARE * (seconds - mean_s)

    def estimate_s(self, part: PartRecord, items: int) -> float:
        """Return how long the remaining items of a part will take on this node."""
        mean_s = self.means_s.get((part.team, part.kind), FIRST_GUESS_S)
        return items * mean_s / self.at_once
