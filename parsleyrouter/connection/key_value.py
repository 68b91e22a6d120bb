"""The port to the platform's key-value service."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from parsleyrouter.connection.service_contact import SendWindow, ServiceContact
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
"""Expected revision of a key that must not exist yet."""


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
    """A write that took effect."""

    revision: Revision


@dataclass(frozen=True)
class Conflict:
    """A write that did not take effect because the key had changed."""

    current: Entry | None


class KeyValueFailureKind(Enum):
    """Reasons why a call failed."""

    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    OVER_BUDGET = "over_budget"
    REFUSED = "refused"


@dataclass(frozen=True)
class KeyValueFailure:
    """A failed call; with ``maybe_applied``, its write may have taken effect.

    Read the key back and compare before repeating such a write.
    """

    kind: KeyValueFailureKind
    message: str
    maybe_applied: bool = False


@dataclass(frozen=True)
class Lease:
    """A granted lease; it expires ``ttl_s`` seconds after its last renewal."""

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
    """Changes of a prefix in order, and the revision to continue from."""

    changes: tuple[KeyChange, ...]
    revision: Revision


@dataclass(frozen=True)
class HistoryCompacted:
    """The requested changes have been compacted; read the keys again."""


@dataclass(frozen=True)
class LeaseLost:
    """A write that did not take effect because its lease has ended."""


@dataclass(frozen=True)
class Write:
    """One key to write; with a lease of 0 it does not expire."""

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
    """A transaction without effect; ``current`` holds the expected keys that exist."""

    current: Mapping[str, Entry]


class Watch(Protocol):
    """An active watch."""

    def cancel(self) -> None:
        """Stop watching."""


class KeyValue(Protocol):
    """The operations that the system needs of a key-value service; each counts as one call."""

    async def get(self, key: str) -> Entry | None | KeyValueFailure:
        """Read one key."""

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> EntryPage | KeyValueFailure:
        """Read keys under a prefix in order, starting after the key ``after``."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected: Revision, *, lease: int = 0
    ) -> WriteApplied | Conflict | KeyValueFailure:
        """Write a key if its revision is ``expected``; ``ABSENT`` creates it."""

    async def delete(
        self, key: str, expected: Revision
    ) -> WriteApplied | Conflict | KeyValueFailure:
        """Delete a key if its revision is ``expected``."""

    async def grant(self, ttl_s: float) -> Lease | KeyValueFailure:
        """Grant a lease."""

    async def renew(self, lease: int) -> Lease | None | KeyValueFailure:
        """Renew a lease; ``None`` if it has expired."""

    async def revoke(self, lease: int) -> None | KeyValueFailure:
        """Revoke a lease and delete its keys."""

    def watch(
        self,
        prefix: str,
        start: Revision,
        on_change: Callable[[KeyChange], None],
        on_lost: Callable[[str], None],
    ) -> Watch:
        """Report changes from a revision on; after ``on_lost``, scan and watch again."""


class TransactionalKeyValue(Protocol):
    """A key-value service with transactions over several keys and long-polled changes.

    ``call_counts`` counts the calls by kind since the process started; ``failing`` is set while
    the latest call failed; the callbacks in ``on_failure`` run after each such call; those in
    ``on_lost`` get the times at which calls were sent that will probably never be answered, once
    the service answers again;
    ``budget_waits_s`` holds how long the latest call of each kind waited for the call budget.
    """

    call_counts: Counter[str]
    failing: bool
    contact: ServiceContact
    budget_waits_s: dict[str, float]
    on_failure: list[Callable[[], object]]
    on_lost: list[Callable[[SendWindow], object]]

    async def get(self, key: str) -> Entry | None | KeyValueFailure:
        """Read one key."""

    async def scan(
        self, prefix: str, *, after: str = "", stale: bool = False
    ) -> EntryPage | KeyValueFailure:
        """Read a page of keys under a prefix; a stale read is cheap and may be seconds old."""

    async def transact(
        self, transaction: Transaction
    ) -> WriteApplied | TransactionConflict | LeaseLost | KeyValueFailure:
        """Apply a transaction; after ``maybe_applied`` it may still take effect later."""

    async def changes(
        self, prefix: str, after: Revision, wait_s: float
    ) -> ChangePage | HistoryCompacted | KeyValueFailure:
        """Return the changes after a revision, waiting up to ``wait_s`` for the first one."""

    async def grant(self, ttl_s: float) -> Lease | KeyValueFailure:
        """Grant a lease."""

    async def renew(self, lease: int) -> Lease | None | KeyValueFailure:
        """Renew a lease; ``None`` if it has expired."""

    async def revoke(self, lease: int) -> None | KeyValueFailure:
        """Revoke a lease and delete its keys."""
