"""Keep the keys under a followed prefix and their latest changes, for other nodes to read."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import takewhile

from parsleyrouter.connection.key_value import Entry, KeyChange
from parsleyrouter.ids import Revision
from parsleyrouter.process.condition import Condition

__all__ = ["WatchedPrefix"]

MOST_CHANGES = 2000
"""Changes kept for readers that are behind: those of some twenty seconds on a large fleet."""


@dataclass
class WatchedPrefix:
    """What one follower knows; ``base`` is the revision behind which all changes are kept."""

    changed: Condition
    entries: dict[str, Entry] = field(default_factory=dict)
    changes: deque[KeyChange] = field(default_factory=deque)
    base: Revision = Revision(0)
    revision: Revision | None = None

    def replace(self, entries: Iterable[Entry], revision: Revision | None) -> None:
        """Take a whole listing."""
        self.entries = {entry.key: entry for entry in entries}
        self.changes.clear()
        self.base = revision or Revision(0)
        self.revision = revision
        self.changed.notify_all()

    def apply(self, changes: Iterable[KeyChange], revision: Revision) -> None:
        """Take changes in order and the revision that they lead to."""
        for change in changes:
            if change.entry is None:
                self.entries.pop(change.key, None)
            else:
                self.entries[change.key] = change.entry
            self.changes.append(change)
        while len(self.changes) > MOST_CHANGES:
            self.base = self.changes.popleft().revision
        self.revision = revision
        if self.changes:
            self.changed.notify_all()

    def behind(self, revision: Revision) -> list[KeyChange]:
        """Return the changes kept behind a revision, in order."""
        newest_first = takewhile(lambda one: one.revision > revision, reversed(self.changes))
        return list(newest_first)[::-1]
