"""Keep batch jobs in a transactional key-value service.

Every write is conditional, so that a call whose answer was lost does no harm when it takes effect
later: a job is created once, an item is listed once, and a position is given once.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from parsleyrouter.connection.key_value import (
    ABSENT,
    Entry,
    KeyValueFailure,
    LeaseLost,
    Transaction,
    TransactionalKeyValue,
    TransactionConflict,
    Write,
    WriteApplied,
)
from parsleyrouter.ids import ItemIndex, JobId, NodeId, Revision
from parsleyrouter.request.shared_job import (
    ItemResult,
    JobItem,
    JobRecord,
    JobState,
    SavedItem,
)

__all__ = [
    "JOBS_PREFIX",
    "OWNER",
    "RECORD",
    "JobKeys",
    "KeptJob",
    "Listed",
    "SharedJobStore",
    "by_position",
    "decode_record",
    "split_key",
]

JOBS_PREFIX = "parsley/live/job/"
RECORD = "/record"
OWNER = "/owner"

CHUNK_BYTES = 512 * 1024
"""Largest piece of a job's items in one value; the service takes 1 MB."""

_ITEMS = msgspec.msgpack.Decoder(list[JobItem])
_RECORD = msgspec.json.Decoder(JobRecord)
_SAVED = msgspec.msgpack.Decoder(list[SavedItem])
_RESULT = msgspec.msgpack.Decoder(ItemResult)


@dataclass(frozen=True)
class JobKeys:
    """The keys of one job; only record and owner lie under the prefix that all nodes follow."""

    job: JobId

    @property
    def record(self) -> str:
        """Return the key of the record."""
        return f"{JOBS_PREFIX}{self.job}{RECORD}"

    @property
    def owner(self) -> str:
        """Return the key that names the node which runs the job, under that node's lease."""
        return f"{JOBS_PREFIX}{self.job}{OWNER}"

    @property
    def chunks(self) -> str:
        """Return the prefix of the pieces of the items."""
        return f"parsley/items/{self.job}/"

    @property
    def results(self) -> str:
        """Return the prefix of the results by position."""
        return f"parsley/result/{self.job}/"

    @property
    def listed(self) -> str:
        """Return the prefix of the marks of listed items by index."""
        return f"parsley/listed/{self.job}/"

    @property
    def saved(self) -> str:
        """Return the key of what unfinished items have produced so far."""
        return f"parsley/saved/{self.job}"

    def chunk(self, number: int) -> str:
        """Return the key of a piece."""
        return f"{self.chunks}{number:03}"

    def result(self, position: int) -> str:
        """Return the key of a result."""
        return f"{self.results}{position:06}"

    def mark(self, index: ItemIndex) -> str:
        """Return the key that shows that an item is listed."""
        return f"{self.listed}{index:06}"


@dataclass(frozen=True)
class KeptJob:
    """A record with the revision to expect when it is changed."""

    record: JobRecord
    revision: Revision


@dataclass(frozen=True)
class Listed:
    """What is listed of a job."""

    indexes: frozenset[ItemIndex] = field(default_factory=frozenset)


class SharedJobStore:
    """Read and change jobs; a failure says whether a write may still take effect."""

    def __init__(self, store: TransactionalKeyValue) -> None:
        self.store = store

    async def create(
        self, record: JobRecord, items: Sequence[JobItem], node: NodeId, lease: int
    ) -> KeptJob | TransactionConflict | LeaseLost | KeyValueFailure:
        """Create a job owned by a node, if there is a lease; a conflict means that it exists."""
        keys = JobKeys(record.job)
        data = msgspec.msgpack.encode(list(items))
        pieces = [data[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES)]
        record = msgspec.structs.replace(record, chunks=len(pieces))
        writes = [Write(keys.record, msgspec.json.encode(record))]
        writes += [Write(keys.chunk(number), piece) for number, piece in enumerate(pieces)]
        if lease:
            writes.append(Write(keys.owner, node.encode(), lease))
        done = await self.store.transact(Transaction({keys.record: ABSENT}, tuple(writes)))
        return KeptJob(record, done.revision) if isinstance(done, WriteApplied) else done

    async def read(self, job: JobId) -> KeptJob | None | KeyValueFailure:
        """Read the record of a job."""
        entry = await self.store.get(JobKeys(job).record)
        if entry is None or isinstance(entry, KeyValueFailure):
            return entry
        return decode_record(entry)

    async def items(self, record: JobRecord) -> list[JobItem] | KeyValueFailure:
        """Read the items of a job."""
        pieces = await self._scan(JobKeys(record.job).chunks)
        if isinstance(pieces, KeyValueFailure):
            return pieces
        return _ITEMS.decode(b"".join(entry.value for entry in pieces))

    async def listed(self, job: JobId) -> Listed | KeyValueFailure:
        """Read which items are listed."""
        prefix = JobKeys(job).listed
        marks = await self._scan(prefix)
        if isinstance(marks, KeyValueFailure):
            return marks
        return Listed(frozenset(ItemIndex(int(mark.key.removeprefix(prefix))) for mark in marks))

    async def claim(
        self, kept: KeptJob, node: NodeId, lease: int, expected: Revision
    ) -> WriteApplied | TransactionConflict | LeaseLost | KeyValueFailure:
        """Become the owner of an open job if its owner's key has the expected revision."""
        keys = JobKeys(kept.record.job)
        conditions = {keys.record: kept.revision, keys.owner: expected}
        write = Write(keys.owner, node.encode(), lease)
        return await self.store.transact(Transaction(conditions, (write,)))

    async def list_results(
        self, job: JobId, start: int, results: Mapping[ItemIndex, ItemResult]
    ) -> WriteApplied | TransactionConflict | KeyValueFailure:
        """List results from a free position on, all or none."""
        keys = JobKeys(job)
        conditions: dict[str, Revision] = {}
        writes: list[Write] = []
        for position, (index, result) in enumerate(results.items(), start):
            conditions[keys.result(position)] = ABSENT
            conditions[keys.mark(index)] = ABSENT
            writes.append(Write(keys.result(position), msgspec.msgpack.encode(result)))
            writes.append(Write(keys.mark(index), str(position).encode()))
        done = await self.store.transact(Transaction(conditions, tuple(writes)))
        assert not isinstance(done, LeaseLost)
        return done

    async def save(
        self, job: JobId, owner_revision: Revision, items: Sequence[SavedItem]
    ) -> WriteApplied | TransactionConflict | KeyValueFailure:
        """Save the progress of unfinished items while the owner's key has a revision."""
        keys = JobKeys(job)
        write = Write(keys.saved, msgspec.msgpack.encode(list(items)))
        done = await self.store.transact(Transaction({keys.owner: owner_revision}, (write,)))
        assert not isinstance(done, LeaseLost)
        return done

    async def saved(self, job: JobId) -> list[SavedItem] | KeyValueFailure:
        """Read the progress that was saved last."""
        entry = await self.store.get(JobKeys(job).saved)
        if isinstance(entry, KeyValueFailure):
            return entry
        return _SAVED.decode(entry.value) if entry is not None else []

    async def close(
        self, kept: KeptJob, state: JobState
    ) -> WriteApplied | TransactionConflict | KeyValueFailure:
        """Change an open job's state for good and free it of its owner."""
        keys = JobKeys(kept.record.job)
        record = msgspec.structs.replace(kept.record, state=state)
        write = Write(keys.record, msgspec.json.encode(record))
        change = Transaction({keys.record: kept.revision}, (write,), (keys.owner,))
        done = await self.store.transact(change)
        assert not isinstance(done, LeaseLost)
        return done

    async def _scan(self, prefix: str) -> list[Entry] | KeyValueFailure:
        entries: list[Entry] = []
        while True:
            page = await self.store.scan(prefix, after=entries[-1].key if entries else "")
            if isinstance(page, KeyValueFailure):
                return page
            entries.extend(page.entries)
            if not page.more or not page.entries:
                return entries


def decode_record(entry: Entry) -> KeptJob:
    """Return the record in an entry."""
    return KeptJob(_RECORD.decode(entry.value), entry.revision)


def split_key(key: str) -> tuple[JobId, str]:
    """Return the job of a followed key and what it holds: the record or the owner."""
    job, _, part = key.removeprefix(JOBS_PREFIX).partition("/")
    return JobId(job), f"/{part}"


def position_of(key: str) -> int:
    """Return the position in the key of a result."""
    return int(key.rpartition("/")[2])


def decode_result(entry: Entry) -> ItemResult:
    """Return the result in an entry."""
    return _RESULT.decode(entry.value)


def by_position(entries: Iterable[Entry]) -> dict[int, ItemResult]:
    """Return results by their positions."""
    return {position_of(entry.key): decode_result(entry) for entry in entries}
