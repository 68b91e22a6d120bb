"""The port to the platform's key-value service."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from parsleyrouter.ids import Revision

__all__ = [
    "ABSENT",
    "Changed",
    "Conflict",
    "Entry",
    "EntryPage",
    "KeyValue",
    "KeyValueFailure",
    "KeyValueFailureKind",
    "Lease",
    "Swapped",
    "Watch",
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
class Swapped:
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
class Changed:
    """One change seen by a watch; ``entry`` is ``None`` after a deletion."""

    key: str
    revision: Revision
    entry: Entry | None


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

    async def swap(
        self, key: str, value: bytes, expected: Revision, *, lease: int = 0
    ) -> Swapped | Conflict | KeyValueFailure:
        """Write a key if its revision is ``expected``; ``ABSENT`` creates it."""

    async def delete(self, key: str, expected: Revision) -> Swapped | Conflict | KeyValueFailure:
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
        on_change: Callable[[Changed], None],
        on_lost: Callable[[str], None],
    ) -> Watch:
        """Report changes from a revision on; after ``on_lost`` scan and watch anew."""
