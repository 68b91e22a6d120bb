"""Cache the keys under a watched prefix and their latest changes, for other nodes to read."""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import takewhile

from parsleyrouter.connection.key_value import Entry, KeyChange
from parsleyrouter.ids import Revision
from parsleyrouter.process.condition import Condition

__all__ = ["WatchedPrefix"]

MAX_CHANGES = 2000
"""Changes kept for readers that lag: those of some twenty seconds on a large fleet."""


@dataclass
class WatchedPrefix:
    """Keys of one watched prefix, and all of its changes after ``base_revision``."""

    changed: Condition
    entries: dict[str, Entry] = field(default_factory=dict)
    changes: deque[KeyChange] = field(default_factory=deque)
    base_revision: Revision = Revision(0)
    revision: Revision | None = None
    changed_revision: Revision = Revision(0)
    """Revision of the latest change that is known."""
    proved_s: float = -math.inf
    """A time before which no change is missing here; of the clock that counts suspensions."""

    def replace(self, entries: Iterable[Entry], revision: Revision | None) -> None:
        """Replace all keys by a full listing."""
        self.entries = {entry.key: entry for entry in entries}
        self.changes.clear()
        self.base_revision = revision or Revision(0)
        self.revision = revision
        newest = max((entry.revision for entry in self.entries.values()), default=Revision(0))
        self.changed_revision = max(self.changed_revision, newest)
        self.changed.notify_all()

    def apply(self, changes: Iterable[KeyChange], revision: Revision) -> None:
        """Apply changes in order; ``revision`` is the one after the last of them."""
        for change in changes:
            if change.entry is None:
                self.entries.pop(change.key, None)
            else:
                self.entries[change.key] = change.entry
            self.changes.append(change)
            self.changed_revision = max(self.changed_revision, change.revision)
        while len(self.changes) > MAX_CHANGES:
            self.base_revision = self.changes.popleft().revision
        self.revision = revision
        if self.changes:
            self.changed.notify_all()

    def prove(self, at_s: float) -> None:
        """Note that all changes before a time have been applied."""
        self.proved_s = max(self.proved_s, at_s)

    def changes_after(self, revision: Revision) -> list[KeyChange]:
        """Return the cached changes after a revision, in order."""
        newest_first = takewhile(lambda change: change.revision > revision, reversed(self.changes))
        return list(newest_first)[::-1]
