"""The state of a key-value service: revisions, leases and the history that watches read."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable
from dataclasses import dataclass, field

from parsleyrouter.connection.key_value import (
    ABSENT,
    Conflict,
    Entry,
    EntryPage,
    KeyChange,
    Lease,
    WriteApplied,
)
from parsleyrouter.ids import Revision

__all__ = ["Compacted", "KeyValueStore", "NoSuchLease", "prefix_end"]

MAX_HISTORY_CHANGES = 100_000
FIRST_REVISION = Revision(1)


class NoSuchLease(Exception):
    """A lease that was never granted or has expired; grant a new one."""


class Compacted(Exception):
    """Some changes from a revision on have been compacted; scan and watch again."""

    def __init__(self, oldest: Revision) -> None:
        super().__init__(f"history begins at revision {oldest}")
        self.oldest = oldest


@dataclass
class _LeaseState:
    ttl_s: float
    expires_s: float
    keys: set[str] = field(default_factory=set)


def prefix_end(prefix: str) -> str:
    """Return a key above every key with the prefix."""
    return prefix + "\U0010ffff"


class KeyValueStore:
    """Hold keys, leases and history; ``now`` is a monotonic time in seconds."""

    def __init__(self, history_changes: int = MAX_HISTORY_CHANGES) -> None:
        self.history_changes = history_changes
        self.revision = FIRST_REVISION
        self.oldest = FIRST_REVISION
        self.entries: dict[str, Entry] = {}
        self.keys: list[str] = []
        self.key_leases: dict[str, int] = {}
        self.leases: dict[int, _LeaseState] = {}
        self.next_lease = 1000
        self.history: list[KeyChange] = []
        self.listeners: list[Callable[[], None]] = []

    def get(self, key: str) -> Entry | None:
        """Return one key."""
        return self.entries.get(key)

    def scan(self, first: str, end: str, limit: int) -> EntryPage:
        """Return keys from ``first`` on and below ``end``, at most ``limit``."""
        low = bisect_left(self.keys, first)
        high = bisect_left(self.keys, end)
        chosen = self.keys[low : min(high, low + limit)]
        page = tuple(self.entries[key] for key in chosen)
        return EntryPage(page, high - low > limit, self.revision)

    def scan_prefix(self, prefix: str, after: str, limit: int) -> EntryPage:
        """Return keys under a prefix, starting after the key ``after``."""
        first = after + "\0" if after else prefix
        return self.scan(max(first, prefix), prefix_end(prefix), limit)

    def compare_and_swap(
        self, key: str, value: bytes, expected: Revision, lease: int = 0
    ) -> WriteApplied | Conflict:
        """Write a key if its revision is ``expected``; raise ``NoSuchLease``."""
        current = self.entries.get(key)
        if (current.revision if current else ABSENT) != expected:
            return Conflict(current)
        return WriteApplied(self.put(key, value, lease))

    def put(self, key: str, value: bytes, lease: int = 0) -> Revision:
        """Write a key unconditionally; raise ``NoSuchLease``."""
        if lease and lease not in self.leases:
            raise NoSuchLease(f"lease {lease} is not granted")
        current = self.entries.get(key)
        self.revision = Revision(self.revision + 1)
        entry = Entry(key, value, self.revision, current.version + 1 if current else 1)
        if current is None:
            insort(self.keys, key)
        self.entries[key] = entry
        self._attach_lease(key, lease)
        self._record([KeyChange(key, self.revision, entry)])
        return self.revision

    def delete(self, key: str, expected: Revision) -> WriteApplied | Conflict:
        """Delete a key if its revision is ``expected``."""
        current = self.entries.get(key)
        if (current.revision if current else ABSENT) != expected:
            return Conflict(current)
        self.delete_keys([key])
        return WriteApplied(self.revision)

    def delete_keys(self, keys: list[str]) -> int:
        """Delete keys in one revision; return how many there were."""
        present = [key for key in keys if key in self.entries]
        if not present:
            return 0
        self.revision = Revision(self.revision + 1)
        for key in present:
            del self.entries[key]
            del self.keys[bisect_left(self.keys, key)]
            self._attach_lease(key, 0)
        self._record([KeyChange(key, self.revision, None) for key in present])
        return len(present)

    def grant(self, ttl_s: float, now: float) -> Lease:
        """Grant a lease."""
        self.next_lease += 1
        self.leases[self.next_lease] = _LeaseState(ttl_s, now + ttl_s)
        return Lease(self.next_lease, ttl_s)

    def renew(self, lease: int, now: float) -> Lease | None:
        """Renew a lease; ``None`` if it has expired."""
        self.expire(now)
        state = self.leases.get(lease)
        if state is None:
            return None
        state.expires_s = now + state.ttl_s
        return Lease(lease, state.ttl_s)

    def revoke(self, lease: int) -> bool:
        """Revoke a lease and delete its keys; return whether it was granted."""
        state = self.leases.pop(lease, None)
        if state is None:
            return False
        self.delete_keys(sorted(state.keys))
        return True

    def expire(self, now: float) -> None:
        """Revoke the leases that have expired."""
        for lease in [id for id, state in self.leases.items() if state.expires_s <= now]:
            self.revoke(lease)

    def next_expiry_s(self) -> float | None:
        """Return when the next lease expires."""
        return min((state.expires_s for state in self.leases.values()), default=None)

    def changes(self, start: Revision, prefix: str) -> list[KeyChange]:
        """Return changes from revision ``start`` on; raise ``Compacted`` if some are compacted."""
        if start < self.oldest:
            raise Compacted(self.oldest)
        low = bisect_left(self.history, start, key=lambda change: change.revision)
        return [change for change in self.history[low:] if change.key.startswith(prefix)]

    def compact(self, below: Revision) -> None:
        """Drop the history below a revision."""
        self.oldest = max(self.oldest, min(below, Revision(self.revision + 1)))
        compacted = bisect_right(self.history, self.oldest - 1, key=lambda change: change.revision)
        del self.history[:compacted]

    def _attach_lease(self, key: str, lease: int) -> None:
        old = self.key_leases.pop(key, 0)
        if old in self.leases:
            self.leases[old].keys.discard(key)
        if lease:
            self.leases[lease].keys.add(key)
            self.key_leases[key] = lease

    def _record(self, changes: list[KeyChange]) -> None:
        self.history.extend(changes)
        if len(self.history) > 2 * self.history_changes:
            self.compact(self.history[-self.history_changes].revision)
        for listener in list(self.listeners):
            listener()
