"""Apply operators' changes: validate, write the audit trail, compare and swap, read back."""

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

WRITE_RETRIES = 5
WRITE_RETRY_PAUSE_S = 0.2
HISTORY_PAGE = 200


@dataclass(frozen=True)
class StoredSubtree:
    """A subtree as stored in the key-value service; version 0 if it was never set."""

    record: SubtreeRecord | None
    revision: Revision

    @property
    def version(self) -> int:
        """Return the version that a change must expect."""
        return self.record.version if self.record is not None else 0

    @property
    def value(self) -> Any:
        """Return the subtree's value, ``None`` if it is not set."""
        return self.record.value if self.record is not None else None


@dataclass(frozen=True)
class Accepted:
    """A committed change; a dry run has revision 0."""

    change: Change
    revision: Revision


class ChangeFailureKind(Enum):
    """Why a change was not accepted; ``CONFLICT`` means that another change came first."""

    INVALID = "invalid"
    NOT_SET = "not_set"
    CONFLICT = "raced"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class ChangeFailure:
    """A change that was not accepted, or with ``UNKNOWN`` may have been.

    ``other`` is the change that came first.
    """

    kind: ChangeFailureKind
    message: str
    faults: tuple[SettingError, ...] = ()
    other: Change | None = None


class SettingsEditor:
    """Read and change settings by path.

    ``on_accepted`` receives each accepted record, so that the agent distributes it without waiting
    for a watch.
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
        return _stored_subtree(found)

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

        With ``expected_version`` the change applies only to the version that the operator read.
        """
        stored_subtree = await self.get(path.subtree)
        if isinstance(stored_subtree, KeyValueFailure):
            return _unavailable(stored_subtree)
        if expected_version is not None and stored_subtree.version != expected_version:
            return _conflict_with(stored_subtree.record)
        nonce = secrets.token_hex(8)
        try:
            record, audit_entry = plan_change(stored_subtree.record, path, new, author, nonce)
        except PathNotSet:
            return ChangeFailure(ChangeFailureKind.NOT_SET, f"{path} is not set: nothing to unset")
        faults = validate(path.subtree, record.value) if record.value is not None else ()
        if faults:
            message = "; ".join(map(str, faults))
            return ChangeFailure(ChangeFailureKind.INVALID, message, faults)
        if dry_run:
            return Accepted(record.change, Revision(0))
        return await self._commit(path.subtree, stored_subtree, record, audit_entry)

    async def history(self, subtree: str, limit: int = 50) -> list[Change] | KeyValueFailure:
        """Return the latest changes of a subtree, newest first."""
        stored_subtree = await self.get(subtree)
        if isinstance(stored_subtree, KeyValueFailure):
            return stored_subtree
        if stored_subtree.record is None:
            return []
        first = max(1, stored_subtree.version - limit + 1)
        after = audit_key(subtree, first - 1)
        changes = await self._audit_after(f"{AUDIT_PREFIX}{subtree}/", after, limit)
        if isinstance(changes, KeyValueFailure):
            return changes
        older = [change for change in changes if first <= change.version < stored_subtree.version]
        return [stored_subtree.record.change, *reversed(older)][:limit]

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
        self,
        subtree: str,
        stored_subtree: StoredSubtree,
        record: SubtreeRecord,
        audit_entry: AuditEntry | None,
    ) -> Accepted | ChangeFailure:
        if audit_entry is not None:
            failure = await self._write_audit_entry(audit_entry)
            if failure is not None:
                return _unavailable(failure)
        data = encode(record)
        swapped = await self.key_value.compare_and_swap(
            settings_key(subtree), data, stored_subtree.revision
        )
        if isinstance(swapped, WriteApplied):
            return self._accepted(subtree, swapped.revision, record)
        if isinstance(swapped, Conflict):
            return _conflict(swapped)
        if not swapped.maybe_applied:
            return _unavailable(swapped)
        return await self._resolve_lost_reply(subtree, stored_subtree, record)

    async def _write_audit_entry(self, audit_entry: AuditEntry) -> KeyValueFailure | None:
        swapped = await self.key_value.compare_and_swap(audit_entry.key, audit_entry.data, ABSENT)
        if isinstance(swapped, KeyValueFailure) and swapped.maybe_applied:
            swapped = await self.key_value.compare_and_swap(
                audit_entry.key, audit_entry.data, ABSENT
            )
        return swapped if isinstance(swapped, KeyValueFailure) else None

    async def _resolve_lost_reply(
        self, subtree: str, stored_subtree: StoredSubtree, record: SubtreeRecord
    ) -> Accepted | ChangeFailure:
        """Retry a write whose reply was lost; the same compare and swap cannot succeed twice."""
        for _ in range(WRITE_RETRIES):
            await self.loop.sleep(WRITE_RETRY_PAUSE_S)
            swapped = await self.key_value.compare_and_swap(
                settings_key(subtree), encode(record), stored_subtree.revision
            )
            if isinstance(swapped, WriteApplied):
                return self._accepted(subtree, swapped.revision, record)
            if isinstance(swapped, Conflict):
                outcome = await self._resolve_conflict(subtree, swapped.current, record)
                if outcome is not None:
                    return outcome
        message = "no reply from the key-value service: look at the history before trying again"
        return ChangeFailure(ChangeFailureKind.UNKNOWN, message)

    async def _resolve_conflict(
        self, subtree: str, found: Entry | None, record: SubtreeRecord
    ) -> Accepted | ChangeFailure | None:
        stored_subtree = _stored_subtree(found)
        if stored_subtree.version < record.version:
            return None
        if stored_subtree.version == record.version:
            assert stored_subtree.record is not None
            if stored_subtree.record.change.nonce != record.change.nonce:
                return _conflict_with(stored_subtree.record)
            return self._accepted(subtree, stored_subtree.revision, record)
        entry = await self.key_value.get(audit_key(subtree, record.version))
        if isinstance(entry, KeyValueFailure) or entry is None:
            return None
        if decode_change(entry.value).nonce != record.change.nonce:
            return _conflict_with(stored_subtree.record)
        return Accepted(record.change, entry.revision)

    def _accepted(self, subtree: str, revision: Revision, record: SubtreeRecord) -> Accepted:
        self.on_accepted(StoredRecord(subtree, revision, encode(record)))
        return Accepted(record.change, revision)


def _stored_subtree(found: Entry | None) -> StoredSubtree:
    if found is None:
        return StoredSubtree(None, ABSENT)
    return StoredSubtree(decode_record(found.value), found.revision)


def _unavailable(failure: KeyValueFailure) -> ChangeFailure:
    message = f"nothing was changed: {failure.message}; try again later"
    return ChangeFailure(ChangeFailureKind.UNAVAILABLE, message)


def _conflict(conflict: Conflict) -> ChangeFailure:
    try:
        return _conflict_with(_stored_subtree(conflict.current).record)
    except InvalidRecord as error:
        return ChangeFailure(ChangeFailureKind.CONFLICT, str(error))


def _conflict_with(record: SubtreeRecord | None) -> ChangeFailure:
    if record is None:
        message = "the subtree was never set: read it again, then change it"
        return ChangeFailure(ChangeFailureKind.CONFLICT, message)
    other = record.change
    message = (
        f"nothing was changed: {other.who} changed {other.path} to version {record.version} first;"
        " read it again, then repeat your change"
    )
    return ChangeFailure(ChangeFailureKind.CONFLICT, message, other=other)
