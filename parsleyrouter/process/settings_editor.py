"""Accept the operators' changes: check, keep the audit trail, compare and swap, read back."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from parsleyrouter.connection.key_value import (
    ABSENT,
    Conflict,
    Entry,
    KeyValue,
    KeyValueFailure,
    WriteApplied,
)
from parsleyrouter.ids import Revision
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.version.audit import UNSET, AuditEntry, Author, PathNotSet, plan_change
from parsleyrouter.version.paths import AUDIT_PREFIX, SettingsPath, audit_key, settings_key
from parsleyrouter.version.records import (
    Change,
    InvalidRecord,
    SubtreeRecord,
    decode_change,
    decode_record,
    encode,
)
from parsleyrouter.version.replica import StoredRecord
from parsleyrouter.version.validation import SettingError, validate

__all__ = [
    "UNSET",
    "Accepted",
    "Author",
    "ChangeFailure",
    "ChangeFailureKind",
    "SettingsEditor",
    "StoredSubtree",
]

READ_BACKS = 5
READ_BACK_PAUSE_S = 0.2
HISTORY_PAGE = 200


@dataclass(frozen=True)
class StoredSubtree:
    """A subtree as it stands in the key-value service; version 0 when it never stood."""

    record: SubtreeRecord | None
    revision: Revision

    @property
    def version(self) -> int:
        """Return the version to name in a change."""
        return self.record.version if self.record is not None else 0

    @property
    def value(self) -> Any:
        """Return the subtree's value, ``None`` when it is not set."""
        return self.record.value if self.record is not None else None


@dataclass(frozen=True)
class Accepted:
    """Report a change that is committed; a dry run has revision 0."""

    change: Change
    revision: Revision


class ChangeFailureKind(Enum):
    """Say why a change was not accepted."""

    INVALID = "invalid"
    NOT_SET = "not_set"
    CONFLICT = "raced"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class ChangeFailure:
    """Report a change that was not accepted, or for ``UNKNOWN`` may have been.

    ``other`` is the change that came first.
    """

    kind: ChangeFailureKind
    message: str
    faults: tuple[SettingError, ...] = ()
    other: Change | None = None


class SettingsEditor:
    """Read and change settings by path.

    ``on_accepted`` is told of each accepted record, so that it spreads without waiting for a
    watch: pass ``agent.take_accepted``.
    """

    def __init__(
        self,
        runtime: Runtime,
        key_value: KeyValue,
        on_accepted: Callable[[StoredRecord], None] = lambda record: None,
    ) -> None:
        self.loop = runtime.loop
        self.key_value = key_value
        self.on_accepted = on_accepted

    async def get(self, subtree: str) -> StoredSubtree | KeyValueFailure:
        """Read a subtree from the key-value service."""
        found = await self.key_value.get(settings_key(subtree))
        if isinstance(found, KeyValueFailure):
            return found
        return _standing(found)

    async def change(
        self,
        path: SettingsPath,
        new: Any,
        author: Author,
        *,
        expected_version: int | None = None,
        dry_run: bool = False,
    ) -> Accepted | ChangeFailure:
        """Set a path, or remove it with ``UNSET``.

        With ``expected_version`` the change holds only against the version that the operator read.
        """
        standing = await self.get(path.subtree)
        if isinstance(standing, KeyValueFailure):
            return _unavailable(standing)
        if expected_version is not None and standing.version != expected_version:
            return _raced(standing.record)
        nonce = secrets.token_hex(8)
        try:
            record, copy = plan_change(standing.record, path, new, author, nonce)
        except PathNotSet:
            return ChangeFailure(ChangeFailureKind.NOT_SET, f"{path} is not set: nothing to unset")
        faults = validate(path.subtree, record.value) if record.value is not None else ()
        if faults:
            message = "; ".join(map(str, faults))
            return ChangeFailure(ChangeFailureKind.INVALID, message, faults)
        if dry_run:
            return Accepted(record.change, Revision(0))
        return await self._commit(path.subtree, standing, record, copy)

    async def history(self, subtree: str, limit: int = 50) -> list[Change] | KeyValueFailure:
        """Return the last changes of a subtree, the newest first."""
        standing = await self.get(subtree)
        if isinstance(standing, KeyValueFailure):
            return standing
        if standing.record is None:
            return []
        first = max(1, standing.version - limit + 1)
        after = audit_key(subtree, first - 1)
        changes = await self._audit_after(f"{AUDIT_PREFIX}{subtree}/", after, limit)
        if isinstance(changes, KeyValueFailure):
            return changes
        older = [change for change in changes if first <= change.version < standing.version]
        return [standing.record.change, *reversed(older)][:limit]

    async def _audit_after(
        self, prefix: str, after: str, limit: int
    ) -> list[Change] | KeyValueFailure:
        changes: list[Change] = []
        while len(changes) < limit:
            page = await self.key_value.scan(prefix, after=after, limit=HISTORY_PAGE)
            if isinstance(page, KeyValueFailure):
                return page
            changes += [decode_change(entry.value) for entry in page.entries]
            if not page.more or not page.entries:
                break
            after = page.entries[-1].key
        return changes

    async def _commit(
        self, subtree: str, standing: StoredSubtree, record: SubtreeRecord, copy: AuditEntry | None
    ) -> Accepted | ChangeFailure:
        if copy is not None:
            failure = await self._keep(copy)
            if failure is not None:
                return _unavailable(failure)
        data = encode(record)
        swapped = await self.key_value.compare_and_swap(
            settings_key(subtree), data, standing.revision
        )
        if isinstance(swapped, WriteApplied):
            return self._accepted(subtree, swapped.revision, record)
        if isinstance(swapped, Conflict):
            return _conflict(swapped)
        if not swapped.maybe_applied:
            return _unavailable(swapped)
        return await self._settle(subtree, standing, record)

    async def _keep(self, copy: AuditEntry) -> KeyValueFailure | None:
        kept = await self.key_value.compare_and_swap(copy.key, copy.data, ABSENT)
        if isinstance(kept, KeyValueFailure) and kept.maybe_applied:
            kept = await self.key_value.compare_and_swap(copy.key, copy.data, ABSENT)
        return kept if isinstance(kept, KeyValueFailure) else None

    async def _settle(
        self, subtree: str, standing: StoredSubtree, record: SubtreeRecord
    ) -> Accepted | ChangeFailure:
        """Repeat a write whose reply was lost; the same compare and swap cannot hold twice."""
        for _ in range(READ_BACKS):
            await self.loop.sleep(READ_BACK_PAUSE_S)
            swapped = await self.key_value.compare_and_swap(
                settings_key(subtree), encode(record), standing.revision
            )
            if isinstance(swapped, WriteApplied):
                return self._accepted(subtree, swapped.revision, record)
            if isinstance(swapped, Conflict):
                outcome = await self._judge(subtree, swapped.current, record)
                if outcome is not None:
                    return outcome
        message = "no reply from the key-value service: look at the history before trying again"
        return ChangeFailure(ChangeFailureKind.UNKNOWN, message)

    async def _judge(
        self, subtree: str, found: Entry | None, record: SubtreeRecord
    ) -> Accepted | ChangeFailure | None:
        standing = _standing(found)
        if standing.version < record.version:
            return None
        if standing.version == record.version:
            assert standing.record is not None
            if standing.record.change.nonce != record.change.nonce:
                return _raced(standing.record)
            return self._accepted(subtree, standing.revision, record)
        kept = await self.key_value.get(audit_key(subtree, record.version))
        if isinstance(kept, KeyValueFailure) or kept is None:
            return None
        if decode_change(kept.value).nonce != record.change.nonce:
            return _raced(standing.record)
        return Accepted(record.change, kept.revision)

    def _accepted(self, subtree: str, revision: Revision, record: SubtreeRecord) -> Accepted:
        self.on_accepted(StoredRecord(subtree, revision, encode(record)))
        return Accepted(record.change, revision)


def _standing(found: Entry | None) -> StoredSubtree:
    if found is None:
        return StoredSubtree(None, ABSENT)
    return StoredSubtree(decode_record(found.value), found.revision)


def _unavailable(failure: KeyValueFailure) -> ChangeFailure:
    message = f"nothing was changed: {failure.message}; try again later"
    return ChangeFailure(ChangeFailureKind.UNAVAILABLE, message)


def _conflict(conflict: Conflict) -> ChangeFailure:
    try:
        return _raced(_standing(conflict.current).record)
    except InvalidRecord as error:
        return ChangeFailure(ChangeFailureKind.CONFLICT, str(error))


def _raced(record: SubtreeRecord | None) -> ChangeFailure:
    if record is None:
        message = "the subtree was never set: read it again, then change it"
        return ChangeFailure(ChangeFailureKind.CONFLICT, message)
    other = record.change
    message = (
        f"nothing was changed: {other.who} changed {other.path} to version {record.version} first;"
        " read it again, then repeat your change"
    )
    return ChangeFailure(ChangeFailureKind.CONFLICT, message, other=other)
