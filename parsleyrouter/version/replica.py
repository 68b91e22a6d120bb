"""Settings replica of one node, and how it merges records of others.

Each subtree is stored at the highest revision seen. ``complete`` is a revision of the key-value
service up to which no accepted change is missing here; ``proved_s`` is the local time at which
that was proven to be the newest.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from parsleyrouter.ids import Revision

__all__ = ["StoredRecord", "Watermark", "SettingsReplica"]

PROOF_MAX_AGE_S = 10.0


@dataclass(frozen=True)
class StoredRecord:
    """The encoded record of one subtree, with the revision that wrote it."""

    subtree: str
    revision: Revision
    data: bytes


@dataclass(frozen=True)
class Watermark:
    """How complete a replica is, and how long ago it was proven to be the newest.

    ``head`` is the highest revision held; nothing is missing up to ``complete``.
    """

    head: Revision = Revision(0)
    complete: Revision = Revision(0)
    proof_age_s: float = float("inf")


class SettingsReplica:
    """The settings held by one node; no subtree ever goes back to a lower revision.

    ``sequence`` counts the records merged, which lets followers fetch only new ones.
    """

    def __init__(self, sequence: int = 0) -> None:
        self.sequence = sequence
        self.merge_sequences: dict[str, int] = {}
        self.records: dict[str, StoredRecord] = {}
        self.complete = Revision(0)
        self.proved_s = float("-inf")

    @property
    def head(self) -> Revision:
        """Return the highest revision of any subtree held."""
        return max((held.revision for held in self.records.values()), default=Revision(0))

    def watermark(self, now: float) -> Watermark:
        """Return the watermark of this replica."""
        return Watermark(self.head, self.complete, now - self.proved_s)

    def proved_current(self, now: float) -> bool:
        """Return whether the settings were recently proven to be the newest."""
        return now - self.proved_s <= PROOF_MAX_AGE_S

    def is_active(self, revision: Revision) -> bool:
        """Return whether the change accepted at a revision, or a later one, is active here."""
        written = any(held.revision == revision for held in self.records.values())
        return written or self.complete >= revision

    def records_after(self, revision: Revision) -> tuple[StoredRecord, ...]:
        """Return the records newer than a revision, in order."""
        newer = [held for held in self.records.values() if held.revision > revision]
        return tuple(sorted(newer, key=lambda held: held.revision))

    def records_merged_after(self, sequence: int) -> tuple[StoredRecord, ...]:
        """Return the records merged after ``sequence`` had a value."""
        return tuple(
            self.records[name] for name, step in self.merge_sequences.items() if step > sequence
        )

    def merge(self, records: Iterable[StoredRecord]) -> bool:
        """Store the records that are newer; return whether any was."""
        changed = False
        for record in records:
            held = self.records.get(record.subtree)
            if held is None or record.revision > held.revision:
                self.records[record.subtree] = record
                self.sequence += 1
                self.merge_sequences[record.subtree] = self.sequence
                changed = True
        return changed

    def merge_update(
        self,
        records: Iterable[StoredRecord],
        requested_after: Revision,
        watermark: Watermark,
        requested_s: float,
    ) -> bool:
        """Merge a peer's records newer than ``asked_since``, requested at a local time."""
        changed = self.merge(records)
        if requested_after <= self.complete:
            self._advance_complete(watermark.complete, requested_s - watermark.proof_age_s)
        return changed

    def merge_scan(self, records: Iterable[StoredRecord], at: Revision, read_s: float) -> bool:
        """Merge all records as read from the key-value service at one revision."""
        changed = self.merge(records)
        self._advance_complete(at, read_s)
        return changed

    def is_behind(self, watermark: Watermark) -> bool:
        """Return whether a peer with this watermark holds something that is missing here."""
        if watermark.head > self.head:
            return True
        return watermark.complete > self.complete and watermark.head > self.complete

    def receive_watermark(self, watermark: Watermark, sent_s: float) -> bool:
        """Process a peer's watermark; return whether its settings must be fetched.

        When everything that the peer's proof covers is held here, the proof applies here too.
        ``sent_s`` is a local time at which the watermark had not been sent yet.
        """
        if self.is_behind(watermark):
            return True
        if watermark.complete >= self.complete:
            self._advance_complete(watermark.complete, sent_s - watermark.proof_age_s)
        return False

    def _advance_complete(self, revision: Revision, proved_s: float) -> None:
        if revision >= self.complete:
            self.complete = revision
            self.proved_s = max(self.proved_s, proved_s)
