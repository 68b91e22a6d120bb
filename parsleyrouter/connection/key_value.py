"""The port to the platform's key-value service."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from parsleyrouter.ids import Revision

__all__ = [
    "ABSENT",
    "ChangePage",
    "KeyChange",
    "Conflict",
    "Entry",
    "EntryPage",
    "HistoryCompacted",
    "KeyValue",
    "KeyValueFailure",
    "KeyValueFailureKind",
    "Lease",
    "LeaseLost",
    "WriteApplied",
    "Transaction",
    "TransactionConflict",
    "TransactionalKeyValue",
    "Watch",
    "Write",
]

ABSENT = Revision(0)
"""The revision to expect of a key that must not exist yet."""


@dataclass(frozen=True)
class Entry:
    """One key with its value; ``version`` counts the writes since it was created."""

    key: str
    value: bytes
    revision: Revision
    version: int = 1


@dataclass(frozen=True)
class EntryPage:
    """Some keys of a range in order, read at one revision of the whole service."""

    entries: tuple[Entry, ...]
    more: bool
    revision: Revision


@dataclass(frozen=True)
class WriteApplied:
    """Report a write that took effect."""

    revision: Revision


@dataclass(frozen=True)
class Conflict:
    """Report a write that did not take effect because the key had changed."""

    current: Entry | None


class KeyValueFailureKind(Enum):
    """Say why a call got no answer."""

    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    OVER_BUDGET = "over_budget"
    REFUSED = "refused"


@dataclass(frozen=True)
class KeyValueFailure:
    """Report a call without an answer; ``maybe_applied`` warns that a write may have taken effect.

    Read the key back and compare before doing such a write again.
    """

    kind: KeyValueFailureKind
    message: str
    maybe_applied: bool = False


@dataclass(frozen=True)
class Lease:
    """A granted lease; it lapses ``ttl_s`` seconds after its last renewal."""

    id: int
    ttl_s: float


@dataclass(frozen=True)
class KeyChange:
    """One change seen by a watch; ``entry`` is ``None`` after a deletion."""

    key: str
    revision: Revision
    entry: Entry | None


@dataclass(frozen=True)
class ChangePage:
    """Changes of a prefix in order, and the revision to ask on from."""

    changes: tuple[KeyChange, ...]
    revision: Revision


@dataclass(frozen=True)
class HistoryCompacted:
    """Report that the changes asked for are no longer kept; read the keys anew."""


@dataclass(frozen=True)
class LeaseLost:
    """Report a write that did not take effect because its lease has ended."""


@dataclass(frozen=True)
class Write:
    """One key to be written; a lease of 0 means that the key stays."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True)
class Transaction:
    """Writes and deletions that take effect together if all keys have the expected revisions."""

    expected: Mapping[str, Revision]
    writes: tuple[Write, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True)
class TransactionConflict:
    """Report a transaction without effect; ``current`` holds the expected keys that exist."""

    current: Mapping[str, Entry]


class Watch(Protocol):
    """A watch under way."""

    def cancel(self) -> None:
        """Stop watching."""


class KeyValue(Protocol):
    """What the system asks of the key-value service; each method counts as one call."""

    async def get(self, key: str) -> Entry | None | KeyValueFailure:
        """Read one key."""

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> EntryPage | KeyValueFailure:
        """Read keys under a prefix in order, starting behind the key ``after``."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected: Revision, *, lease: int = 0
    ) -> WriteApplied | Conflict | KeyValueFailure:
        """Write a key if its revision is ``expected``; ``ABSENT`` creates it."""

    async def delete(
        self, key: str, expected: Revision
    ) -> WriteApplied | Conflict | KeyValueFailure:
        """Delete a key if its revision is ``expected``."""

    async def grant(self, ttl_s: float) -> Lease | KeyValueFailure:
        """Take a lease."""

    async def renew(self, lease: int) -> Lease | None | KeyValueFailure:
        """Renew a lease; ``None`` when it has lapsed."""

    async def revoke(self, lease: int) -> None | KeyValueFailure:
        """Give a lease back, deleting its keys."""

    def watch(
        self,
        prefix: str,
        start: Revision,
        on_change: Callable[[KeyChange], None],
        on_lost: Callable[[str], None],
    ) -> Watch:
        """Report changes from a revision on; after ``on_lost`` scan and watch anew."""


class TransactionalKeyValue(Protocol):
    """A key-value service with transactions over several keys and held-back reads of changes.

    ``made`` counts the calls by kind since the process started; ``failing`` tells that the latest
    one got no answer; ``on_failure`` hears of each such call.
    """

    call_counts: Counter[str]
    failing: bool
    on_failure: list[Callable[[], object]]

    async def get(self, key: str) -> Entry | None | KeyValueFailure:
        """Read one key."""

    async def scan(
        self, prefix: str, *, after: str = "", stale: bool = False
    ) -> EntryPage | KeyValueFailure:
        """Read a page of keys under a prefix; a stale read is cheap and may be seconds old."""

    async def transact(
        self, transaction: Transaction
    ) -> WriteApplied | TransactionConflict | LeaseLost | KeyValueFailure:
        """Write several keys at once; after ``maybe_applied`` it may still take effect later."""

    async def changes(
        self, prefix: str, after: Revision, wait_s: float
    ) -> ChangePage | HistoryCompacted | KeyValueFailure:
        """Return the changes behind a revision, waiting up to ``wait_s`` for the first one."""

    async def grant(self, ttl_s: float) -> Lease | KeyValueFailure:
        """Take a lease."""

    async def renew(self, lease: int) -> Lease | None | KeyValueFailure:
        """Renew a lease; ``None`` when it has lapsed."""

    async def revoke(self, lease: int) -> None | KeyValueFailure:
        """Give a lease back, deleting its keys."""
