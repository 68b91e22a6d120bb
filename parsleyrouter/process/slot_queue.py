"""Order the attempts that wait for a slot of one endpoint."""

from dataclasses import dataclass, field

from parsleyrouter.ids import AttemptId, TeamName
from parsleyrouter.process.slot_events import SlotAsk

__all__ = ["BatchQueue", "OnlineQueue", "Waiting"]


@dataclass(frozen=True)
class Waiting:
    """One attempt in a queue; times are monotonic, in seconds."""

    ask: SlotAsk
    asked_s: float
    order: int

    @property
    def deadline_s(self) -> float:
        """Return when the attempt has no more use for a slot."""
        return self.asked_s + self.ask.deadline_in_s

    @property
    def urgency(self) -> tuple[float, int]:
        """Return the earliest-deadline key, the time left divided by the kind's weight."""
        return self.asked_s + self.ask.deadline_in_s / self.ask.weight, self.order

    @property
    def slack(self) -> tuple[float, int]:
        """Return the least-slack key."""
        return self.asked_s + self.ask.slack_s, self.order


@dataclass
class OnlineQueue:
    """Give out by kind weight and earliest deadline."""

    waiting: dict[AttemptId, Waiting] = field(default_factory=dict)

    def first(self) -> Waiting | None:
        """Return the attempt to serve next."""
        return min(self.waiting.values(), key=lambda entry: entry.urgency, default=None)


@dataclass
class BatchQueue:
    """Give out fairly between teams by weight, within a team by least slack."""

    waiting: dict[AttemptId, Waiting] = field(default_factory=dict)
    served: dict[TeamName, float] = field(default_factory=dict)
    level: float = 0.0

    def add(self, entry: Waiting) -> None:
        """Add an attempt; a team that had none waiting gains nothing from its absence."""
        team = entry.ask.team
        if all(other.ask.team != team for other in self.waiting.values()):
            self.served[team] = max(self.served.get(team, 0.0), self.level)
        self.waiting[entry.ask.attempt] = entry

    def first(self) -> Waiting | None:
        """Return the attempt to serve next."""
        return min(self.waiting.values(), key=self._rank, default=None)

    def charge(self, ask: SlotAsk, cost_s: float) -> None:
        """Count a use of a slot, or with a negative cost take one back."""
        if cost_s > 0:
            self.level = max(self.level, self.served.get(ask.team, 0.0))
        self.served[ask.team] = self.served.get(ask.team, 0.0) + cost_s / ask.team_weight

    def _rank(self, entry: Waiting) -> tuple[float, float, int]:
        return self.served.get(entry.ask.team, 0.0), *entry.slack
