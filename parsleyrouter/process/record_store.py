"""Write job and part records by compare-and-swap, lost replies included."""

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

__all__ = ["Beaten", "Held", "RecordCache", "RecordWrites"]

LOST_REPLY_TRIES = 4
CHANGE_TRIES = 20
RETRY_S = 0.05
NONCE_BYTES = 6
CACHED_RECORDS = 4096

R = TypeVar("R", JobRecord, PartRecord)


@dataclass(frozen=True)
class Held(Generic[R]):
    """A record as it stands at a revision."""

    record: R
    revision: Revision


@dataclass(frozen=True)
class Beaten(Generic[R]):
    """Report that the record had changed; ``current`` is ``None`` when it is gone."""

    current: Held[R] | None


class RecordWrites:
    """Read and swap records; a nonce tells an own write whose reply was lost."""

    def __init__(self, loop: Loop, kv: KeyValue) -> None:
        self.loop = loop
        self.kv = kv

    async def read(self, key: str, record_type: type[R]) -> Held[R] | None | KeyValueFailure:
        """Read one record."""
        entry = await self.kv.get(key)
        if isinstance(entry, Entry):
            return Held(decode_record(record_type, entry.value), entry.revision)
        return entry

    async def write(
        self, key: str, record: R, expected: Revision
    ) -> Held[R] | Beaten[R] | KeyValueFailure:
        """Swap one record; a write with a lost reply is found again by its nonce."""
        marked = replace(record, nonce=secrets.token_hex(NONCE_BYTES))
        value = encode_record(marked)
        failure = KeyValueFailure(KeyValueFailureKind.UNAVAILABLE, f"{key} was not written")
        for attempt in range(LOST_REPLY_TRIES):
            outcome = await self.kv.compare_and_swap(key, value, expected)
            if isinstance(outcome, WriteApplied):
                return Held(marked, outcome.revision)
            if isinstance(outcome, Conflict):
                return _judge(marked, outcome.current)
            maybe_applied = failure.maybe_applied or outcome.maybe_applied
            failure = replace(outcome, maybe_applied=maybe_applied)
            if not outcome.maybe_applied:
                break
            await self.loop.sleep(RETRY_S * 2**attempt * random.uniform(0.5, 1))
        return await self._look(key, marked, expected, failure)

    async def _look(
        self, key: str, marked: R, expected: Revision, failure: KeyValueFailure
    ) -> Held[R] | Beaten[R] | KeyValueFailure:
        """Read back a write that got no reply; it is undecided while nothing has changed."""
        if not failure.maybe_applied:
            return failure
        entry = await self.kv.get(key)
        if isinstance(entry, KeyValueFailure):
            return failure
        revision = ABSENT if entry is None else entry.revision
        return failure if revision == expected else _judge(marked, entry)

    async def change(
        self, key: str, record_type: type[R], edit: Callable[[R], R | None]
    ) -> Held[R] | None | KeyValueFailure:
        """Read, edit and swap until it takes; ``edit`` returns ``None`` to leave it as it is."""
        held = await self.read(key, record_type)
        for attempt in range(CHANGE_TRIES):
            if held is None or isinstance(held, KeyValueFailure):
                return held
            edited = edit(held.record)
            if edited is None:
                return held
            outcome = await self.write(key, edited, held.revision)
            if not isinstance(outcome, Beaten):
                return outcome
            held = outcome.current
            await self.loop.sleep(RETRY_S * random.uniform(0, 1 + attempt))
        return KeyValueFailure(KeyValueFailureKind.REFUSED, f"{key} changes too often: try again")


class RecordCache:
    """Read records; while the key-value service is down, return what was read of them last."""

    def __init__(self, records: RecordWrites, size: int = CACHED_RECORDS) -> None:
        self.records = records
        self.size = size
        self.cache: OrderedDict[str, Held[JobRecord] | Held[PartRecord]] = OrderedDict()

    async def read(self, key: str, record_type: type[R]) -> Held[R] | None | KeyValueFailure:
        """Read one record, or return it from the cache after a failure."""
        held = await self.records.read(key, record_type)
        if isinstance(held, KeyValueFailure):
            old = self.cache.get(key)
            return held if old is None else old  # type: ignore[return-value]
        if held is None:
            self.cache.pop(key, None)
            return None
        self.cache[key] = held
        self.cache.move_to_end(key)
        if len(self.cache) > self.size:
            self.cache.popitem(last=False)
        return held


def _judge(marked: R, entry: Entry | None) -> Held[R] | Beaten[R]:
    if entry is None:
        return Beaten(None)
    current = Held(decode_record(type(marked), entry.value), entry.revision)
    return current if current.record.nonce == marked.nonce else Beaten(current)
