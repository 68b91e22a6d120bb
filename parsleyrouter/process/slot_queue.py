"""Queues of the attempts that wait for a slot on one endpoint."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from parsleyrouter.ids import AttemptId, TeamName
from parsleyrouter.process.slot_events import SlotRequest

__all__ = ["BatchQueue", "OnlineQueue", "Waiting"]

Key = tuple[float, int]


@dataclass(frozen=True)
class Waiting:
    """Attempt in a queue; times are monotonic seconds, ``sequence`` is the order of arrival."""

    request: SlotRequest
    submitted_s: float
    sequence: int

    @property
    def deadline_s(self) -> float:
        """Return the time after which the attempt no longer needs a slot."""
        return self.submitted_s + self.request.deadline_in_s

    @property
    def urgency(self) -> Key:
        """Return the earliest-deadline key; the time left is divided by the kind's weight."""
        return self.submitted_s + self.request.deadline_in_s / self.request.weight, self.sequence

    @property
    def slack(self) -> Key:
        """Return the least-slack key."""
        return self.submitted_s + self.request.slack_s, self.sequence


@dataclass
class _Heap:
    """Heap of waiting attempts with lazy removal of arbitrary entries."""

    entries: list[tuple[Key, Waiting]] = field(default_factory=list)
    live: dict[AttemptId, Waiting] = field(default_factory=dict)

    def add(self, key: Key, entry: Waiting) -> None:
        self.live[entry.request.attempt] = entry
        heapq.heappush(self.entries, (key, entry))

    def first(self) -> Waiting | None:
        while self.entries and self._is_removed(self.entries[0][1]):
            heapq.heappop(self.entries)
        return self.entries[0][1] if self.entries else None

    def _is_removed(self, entry: Waiting) -> bool:
        return self.live.get(entry.request.attempt) is not entry


@dataclass
class OnlineQueue:
    """Queue by earliest deadline, weighted by kind."""

    heap: _Heap = field(default_factory=_Heap)

    def __len__(self) -> int:
        return len(self.heap.live)

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self.heap.live

    def __iter__(self) -> Iterator[Waiting]:
        return iter(list(self.heap.live.values()))

    def add(self, entry: Waiting) -> None:
        """Add an attempt."""
        self.heap.add(entry.urgency, entry)

    def remove(self, attempt: AttemptId) -> None:
        """Remove an attempt, if it waits."""
        self.heap.live.pop(attempt, None)

    def first(self) -> Waiting | None:
        """Return the attempt to serve next, ``None`` if none waits."""
        return self.heap.first()


@dataclass
class BatchQueue:
    """Queue by weighted fair sharing between teams and by least slack within a team.

    ``served`` is the slot time charged to each team, in seconds divided by its weight;
    ``virtual_time`` is the largest value that ``served`` had for a team when it was charged.
    """

    teams: dict[TeamName, _Heap] = field(default_factory=dict)
    team_of: dict[AttemptId, TeamName] = field(default_factory=dict)
    served: dict[TeamName, float] = field(default_factory=dict)
    virtual_time: float = 0.0

    def __len__(self) -> int:
        return len(self.team_of)

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self.team_of

    def __iter__(self) -> Iterator[Waiting]:
        return iter([entry for heap in self.teams.values() for entry in heap.live.values()])

    def add(self, entry: Waiting) -> None:
        """Add an attempt; a team with none waiting gets no credit for its idle time."""
        team = entry.request.team
        heap = self.teams.setdefault(team, _Heap())
        if not heap.live:
            self.served[team] = max(self.served.get(team, 0.0), self.virtual_time)
        heap.add(entry.slack, entry)
        self.team_of[entry.request.attempt] = team

    def remove(self, attempt: AttemptId) -> None:
        """Remove an attempt, if it waits."""
        team = self.team_of.pop(attempt, None)
        if team is None:
            return
        del self.teams[team].live[attempt]
        if not self.teams[team].live:
            del self.teams[team]

    def first(self) -> Waiting | None:
        """Return the attempt to serve next, ``None`` if none waits."""
        team = min(self.teams, key=lambda name: (self.served[name], name), default=None)
        return None if team is None else self.teams[team].first()

    def charge(self, request: SlotRequest, cost_s: float) -> None:
        """Charge a team for one use of a slot."""
        before = self.served.get(request.team, 0.0)
        self.virtual_time = max(self.virtual_time, before)
        self.served[request.team] = before + cost_s / request.team_weight

    def refund(self, request: SlotRequest, cost_s: float) -> None:
        """Undo the charge of a use that was revoked before it finished."""
        self.served[request.team] = (
            self.served.get(request.team, 0.0) - cost_s / request.team_weight
        )
