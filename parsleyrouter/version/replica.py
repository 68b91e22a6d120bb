"""What one node holds of the settings, and how it takes in what others hold.

Each subtree is kept at the highest revision seen. ``complete`` is a revision of the key-value
service up to which no accepted change is missing here; ``proved_s`` is the local time at which
that was shown to be the newest.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from parsleyrouter.ids import Revision

__all__ = ["StoredRecord", "Watermark", "SettingsReplica"]

CURRENT_WITHIN_S = 10.0


@dataclass(frozen=True)
class StoredRecord:
    """One subtree's record as stored, at the revision that wrote it."""

    subtree: str
    revision: Revision
    data: bytes


@dataclass(frozen=True)
class Watermark:
    """How far a node's settings go, and how long ago they were proved the newest."""

    head: Revision = Revision(0)
    complete: Revision = Revision(0)
    proof_age_s: float = float("inf")


class SettingsReplica:
    """The settings held by one node; no step takes a subtree to a lower revision."""

    def __init__(self, sequence: int = 0) -> None:
        self.sequence = sequence
        self.taken: dict[str, int] = {}
        self.records: dict[str, StoredRecord] = {}
        self.complete = Revision(0)
        self.proved_s = float("-inf")

    @property
    def head(self) -> Revision:
        """Return the highest revision of any subtree held."""
        return max((held.revision for held in self.records.values()), default=Revision(0))

    def mark(self, now: float) -> Watermark:
        """Return how far the settings held here go."""
        return Watermark(self.head, self.complete, now - self.proved_s)

    def proved_current(self, now: float) -> bool:
        """Tell whether the settings were lately shown to be the newest."""
        return now - self.proved_s <= CURRENT_WITHIN_S

    def in_force(self, revision: Revision) -> bool:
        """Tell whether a change accepted at a revision is in force here, or a later one is."""
        written = any(held.revision == revision for held in self.records.values())
        return written or self.complete >= revision

    def since(self, revision: Revision) -> tuple[StoredRecord, ...]:
        """Return the records that are newer than a revision."""
        newer = [held for held in self.records.values() if held.revision > revision]
        return tuple(sorted(newer, key=lambda held: held.revision))

    def taken_after(self, sequence: int) -> tuple[StoredRecord, ...]:
        """Return the records taken in after a step of ``sequence``, which each new one advances."""
        return tuple(self.records[name] for name, step in self.taken.items() if step > sequence)

    def take(self, records: Iterable[StoredRecord]) -> bool:
        """Keep what is newer; return whether anything was."""
        changed = False
        for record in records:
            held = self.records.get(record.subtree)
            if held is None or record.revision > held.revision:
                self.records[record.subtree] = record
                self.sequence += 1
                self.taken[record.subtree] = self.sequence
                changed = True
        return changed

    def take_update(
        self,
        records: Iterable[StoredRecord],
        asked_since: Revision,
        mark: Watermark,
        asked_s: float,
    ) -> bool:
        """Take a peer's answer to "what is newer than ``asked_since``", asked at a local time."""
        changed = self.take(records)
        if asked_since <= self.complete:
            self._complete_to(mark.complete, asked_s - mark.proof_age_s)
        return changed

    def take_scan(self, records: Iterable[StoredRecord], at: Revision, read_s: float) -> bool:
        """Take all records as read from the key-value service at one revision."""
        changed = self.take(records)
        self._complete_to(at, read_s)
        return changed

    def lacks(self, mark: Watermark) -> bool:
        """Tell whether a peer with this mark holds something that is missing here."""
        if mark.head > self.head:
            return True
        return mark.complete > self.complete and mark.head > self.complete

    def hear(self, mark: Watermark, sent_s: float) -> bool:
        """Take a peer's mark; return whether its settings must be fetched.

        When all that the peer's proof covers is held here, the proof holds here too. ``sent_s`` is
        a local time at which the mark had not been sent yet.
        """
        if self.lacks(mark):
            return True
        if mark.complete >= self.complete:
            self._complete_to(mark.complete, sent_s - mark.proof_age_s)
        return False

    def _complete_to(self, revision: Revision, proved_s: float) -> None:
        if revision >= self.complete:
            self.complete = revision
            self.proved_s = max(self.proved_s, proved_s)
