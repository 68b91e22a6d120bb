"""State of a running part: which items to start, which results to write and to commit."""

from collections import deque
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from parsleyrouter.ids import ChunkName, ItemIndex
from parsleyrouter.process.job_records import PartRecord, Tally
from parsleyrouter.process.part_claims import Commit
from parsleyrouter.process.part_results import tally_line

__all__ = ["PartProgress", "Takeover", "WaveLimits", "classify_started"]

MAX_STARTS = 2


@dataclass(frozen=True)
class WaveLimits:
    """Maximum number of items that are marked as started before they run."""

    wave_items: int = 32
    careful_wave_items: int = 16


@dataclass(frozen=True)
class Takeover:
    """Items that earlier owners started without leaving a result, and that are not run again."""

    unknown: frozenset[ItemIndex]
    fatal: frozenset[ItemIndex]


def classify_started(
    started: dict[int, int], with_result: Iterable[ItemIndex], repeatable: set[ItemIndex]
) -> Takeover:
    """Classify started items: unknown if not repeatable, fatal if two owners ended with them."""
    known = set(with_result)
    open_items = {ItemIndex(index): n for index, n in started.items() if index not in known}
    return Takeover(
        frozenset(index for index in open_items if index not in repeatable),
        frozenset(
            index for index, n in open_items.items() if index in repeatable and n >= MAX_STARTS
        ),
    )


@dataclass
class PartProgress:
    """Hold the state of a run; indexes are those of the whole job.

    Items that must not be repeated, and all items once an owner of the part has died, are handed
    out only after a commit has marked them as started.
    """

    record: PartRecord
    repeatable: set[ItemIndex]
    limits: WaveLimits = field(default_factory=WaveLimits)
    lines: dict[ItemIndex, bytes] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.ready: deque[ItemIndex] = deque()
        self.unmarked: deque[ItemIndex] = deque()
        self.suspects: deque[ItemIndex] = deque()
        self.in_flight: set[ItemIndex] = set()
        self.unwritten: dict[ItemIndex, bytes] = {}
        self.uncommitted: dict[ItemIndex, bytes] = {}
        self.chunks: list[ChunkName] = []
        self.not_run: set[ItemIndex] = set()
        for number in range(self.record.first, self.record.first + self.record.items):
            index = ItemIndex(number)
            if index not in self.lines:
                self._queue(index)

    def take_ready(self, room: int) -> list[ItemIndex]:
        """Hand out at most ``room`` items that may be dispatched now."""
        chosen = [self.ready.popleft() for _ in range(min(room, len(self.ready)))]
        self.in_flight.update(chosen)
        return chosen

    def items_to_mark(self) -> frozenset[ItemIndex]:
        """Return the items that the next commit marks as started."""
        running = len(self.in_flight) + len(self.ready)
        if self.suspects:
            return frozenset([self.suspects[0]]) if not running else frozenset()
        wave = self.limits.careful_wave_items if self.record.crashes else self.limits.wave_items
        if 2 * running > wave:
            return frozenset()
        room = wave - running
        return frozenset(index for index, _ in zip(self.unmarked, range(room), strict=False))

    def add_result(self, index: ItemIndex, line: bytes) -> None:
        """Add the result of an item, whether it ran here or not; only its first result counts."""
        if index in self.in_flight:
            self.in_flight.remove(index)
        else:
            self._drop({index})
        if index in self.lines:
            return
        self.lines[index] = line
        self.unwritten[index] = line

    def requeue(self, index: ItemIndex) -> None:
        """Put back an item that is to run again under this owner."""
        self.in_flight.discard(index)
        self.ready.append(index)

    def leave_unfinished(self, index: ItemIndex, *, not_run: bool) -> None:
        """Take out an item that a graceful shutdown has kept from running or interrupted."""
        self.in_flight.discard(index)
        if not_run:
            self.not_run.add(index)

    def adopt(self, name: ChunkName, lines: dict[ItemIndex, bytes]) -> None:
        """Adopt results that an earlier owner wrote but did not commit."""
        new = {index: line for index, line in lines.items() if index not in self.lines}
        if not new:
            return
        self.lines |= new
        self.uncommitted |= new
        self.chunks.append(name)
        self._drop(new)

    def to_write(self) -> dict[ItemIndex, bytes]:
        """Return the results that are in no chunk yet."""
        return dict(self.unwritten)

    def on_written(self, name: ChunkName, lines: dict[ItemIndex, bytes]) -> None:
        """Record that results are in a chunk on disk."""
        for index in lines:
            self.unwritten.pop(index, None)
        self.uncommitted |= lines
        self.chunks.append(name)

    def commit(self, *, late: bool = False) -> Commit:
        """Return the next group commit."""
        tally = sum((tally_line(line) for line in self.uncommitted.values()), Tally())
        return Commit(
            chunks=tuple(self.chunks),
            tally=tally,
            ended=frozenset(self.uncommitted),
            starting=self.items_to_mark(),
            not_run=frozenset(self.not_run),
            late=late,
        )

    def on_committed(self, record: PartRecord, commit: Commit) -> None:
        """Record that a commit has taken effect; the items that it marked may run now."""
        self.record = record
        for index in commit.ended:
            self.uncommitted.pop(index, None)
        self.chunks = [name for name in self.chunks if name not in commit.chunks]
        self.not_run -= commit.not_run
        self._drop(commit.starting)
        self.ready.extend(sorted(commit.starting))

    def is_complete(self) -> bool:
        """Return whether every item has a result."""
        return len(self.lines) == self.record.items

    def remaining(self) -> int:
        """Return how many items have no result."""
        return self.record.items - len(self.lines)

    def _drop(self, gone: Container[ItemIndex]) -> None:
        self.ready = deque(index for index in self.ready if index not in gone)
        self.unmarked = deque(index for index in self.unmarked if index not in gone)
        self.suspects = deque(index for index in self.suspects if index not in gone)

    def _queue(self, index: ItemIndex) -> None:
        if self.record.started.get(index):
            self.suspects.append(index)
        elif index not in self.repeatable or self.record.crashes:
            self.unmarked.append(index)
        else:
            self.ready.append(index)
