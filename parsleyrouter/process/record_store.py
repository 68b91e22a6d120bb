"""Read job and part records, and write them by compare-and-swap despite lost replies."""

import random
import secrets
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

from parsleyrouter.connection.key_value import (
    ABSENT,
    Conflict,
    Entry,
    KeyValue,
    KeyValueFailure,
    KeyValueFailureKind,
    WriteApplied,
)
from parsleyrouter.ids import Revision
from parsleyrouter.process.job_records import JobRecord, PartRecord, decode_record, encode_record
from parsleyrouter.process.loop import Loop

__all__ = ["RecordConflict", "VersionedRecord", "RecordCache", "RecordStore"]

MAX_WRITE_TRIES = 4
MAX_UPDATE_TRIES = 20
RETRY_PAUSE_S = 0.05
NONCE_BYTES = 6
MAX_CACHED_RECORDS = 4096

R = TypeVar("R", JobRecord, PartRecord)


@dataclass(frozen=True)
class VersionedRecord(Generic[R]):
    """A record and its revision."""

    record: R
    revision: Revision


@dataclass(frozen=True)
class RecordConflict(Generic[R]):
    """The record had changed; ``current`` is ``None`` if it is deleted."""

    current: VersionedRecord[R] | None


class RecordStore:
    """Read and write records; a nonce identifies an own write whose reply was lost."""

    def __init__(self, loop: Loop, kv: KeyValue) -> None:
        self.loop = loop
        self.kv = kv

    async def read(
        self, key: str, record_type: type[R]
    ) -> VersionedRecord[R] | None | KeyValueFailure:
        """Read one record."""
        entry = await self.kv.get(key)
        if isinstance(entry, Entry):
            return VersionedRecord(decode_record(record_type, entry.value), entry.revision)
        return entry

    async def write(
        self, key: str, record: R, expected: Revision
    ) -> VersionedRecord[R] | RecordConflict[R] | KeyValueFailure:
        """Write one record if it has the expected revision, also if replies are lost."""
        tagged = replace(record, nonce=secrets.token_hex(NONCE_BYTES))
        value = encode_record(tagged)
        failure = KeyValueFailure(KeyValueFailureKind.UNAVAILABLE, f"{key} was not written")
        for attempt in range(MAX_WRITE_TRIES):
            outcome = await self.kv.compare_and_swap(key, value, expected)
            if isinstance(outcome, WriteApplied):
                return VersionedRecord(tagged, outcome.revision)
            if isinstance(outcome, Conflict):
                return _own_or_conflict(tagged, outcome.current)
            maybe_applied = failure.maybe_applied or outcome.maybe_applied
            failure = replace(outcome, maybe_applied=maybe_applied)
            if not outcome.maybe_applied:
                break
            await self.loop.sleep(RETRY_PAUSE_S * 2**attempt * random.uniform(0.5, 1))
        return await self._read_back(key, tagged, expected, failure)

    async def _read_back(
        self, key: str, tagged: R, expected: Revision, failure: KeyValueFailure
    ) -> VersionedRecord[R] | RecordConflict[R] | KeyValueFailure:
        """Read back a write that got no reply; it stays undecided while the record is unchanged."""
        if not failure.maybe_applied:
            return failure
        entry = await self.kv.get(key)
        if isinstance(entry, KeyValueFailure):
            return failure
        revision = ABSENT if entry is None else entry.revision
        return failure if revision == expected else _own_or_conflict(tagged, entry)

    async def update(
        self, key: str, record_type: type[R], edit: Callable[[R], R | None]
    ) -> VersionedRecord[R] | None | KeyValueFailure:
        """Retry an edit until no conflict occurs; ``edit`` returns ``None`` to change nothing."""
        versioned = await self.read(key, record_type)
        for attempt in range(MAX_UPDATE_TRIES):
            if versioned is None or isinstance(versioned, KeyValueFailure):
                return versioned
            edited = edit(versioned.record)
            if edited is None:
                return versioned
            outcome = await self.write(key, edited, versioned.revision)
            if not isinstance(outcome, RecordConflict):
                return outcome
            versioned = outcome.current
            await self.loop.sleep(RETRY_PAUSE_S * random.uniform(0, 1 + attempt))
        return KeyValueFailure(KeyValueFailureKind.REFUSED, f"{key} changes too often: try again")


class RecordCache:
    """Read records; while the key-value service is down, return them as last read."""

    def __init__(self, records: RecordStore, size: int = MAX_CACHED_RECORDS) -> None:
        self.records = records
        self.size = size
        self.cache: OrderedDict[str, VersionedRecord[JobRecord] | VersionedRecord[PartRecord]] = (
            OrderedDict()
        )

    async def read(
        self, key: str, record_type: type[R]
    ) -> VersionedRecord[R] | None | KeyValueFailure:
        """Read one record, or return it from the cache after a failure."""
        versioned = await self.records.read(key, record_type)
        if isinstance(versioned, KeyValueFailure):
            old = self.cache.get(key)
            return versioned if old is None else old  # type: ignore[return-value]
        if versioned is None:
            self.cache.pop(key, None)
            return None
        self.cache[key] = versioned
        self.cache.move_to_end(key)
        if len(self.cache) > self.size:
            self.cache.popitem(last=False)
        return versioned


def _own_or_conflict(tagged: R, entry: Entry | None) -> VersionedRecord[R] | RecordConflict[R]:
    if entry is None:
        return RecordConflict(None)
    current = VersionedRecord(decode_record(type(tagged), entry.value), entry.revision)
    return current if current.record.nonce == tagged.nonce else RecordConflict(current)
