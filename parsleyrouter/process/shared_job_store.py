"""Store batch jobs in a transactional key-value service.

Every write is conditional, so that a call whose reply was lost does no harm if it takes effect
later: a job is created once, an item is listed once, and a position is assigned once. To list a
result is to append it to the results of its job at a position that never changes.
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
from parsleyrouter.decoding import MAX_UNIX_MS, InvalidData, decode_json
from parsleyrouter.ids import ItemIndex, JobId, NodeId, Revision
from parsleyrouter.process.shared_job_keys import (
    JOBS_PREFIX,
    LEFT,
    OWNER,
    RECORD,
    JobKeys,
    split_key,
)
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
    "JobSave",
    "LEFT",
    "Listed",
    "ShareWrite",
    "SharedJobStore",
    "VersionedJob",
    "by_position",
    "decode_record",
    "split_key",
]

MAX_CHUNK_BYTES = 512 * 1024
"""Maximum size of a piece of a job's items in one value; the service accepts 1 MB."""

_ITEMS = msgspec.msgpack.Decoder(list[JobItem])
_SAVED = msgspec.msgpack.Decoder(list[SavedItem])
_RESULT = msgspec.msgpack.Decoder(ItemResult)


@dataclass(frozen=True)
class VersionedJob:
    """A record and its revision, which a change expects."""

    record: JobRecord
    revision: Revision


@dataclass(frozen=True)
class Listed:
    """The items of a job that are listed."""

    indexes: frozenset[ItemIndex] = field(default_factory=frozenset)


@dataclass(frozen=True)
class ShareWrite:
    """Conditional write of one share of a route's limit on waiting tokens."""

    key: str
    expected: Revision
    value: bytes


@dataclass(frozen=True)
class JobSave:
    """Progress of a job's unfinished items, saved while its owner key has a revision."""

    job: JobId
    owner_revision: Revision
    items: list[SavedItem]

    @property
    def events(self) -> dict[ItemIndex, str]:
        """Return the last event of each item."""
        return {item.index: item.last_event for item in self.items}

    @property
    def size(self) -> int:
        """Return the size of the output, in characters."""
        return sum(len(piece) for item in self.items for piece in item.pieces)


class SharedJobStore:
    """Read and write jobs; a failure tells whether a write may still take effect."""

    def __init__(self, store: TransactionalKeyValue) -> None:
        self.store = store

    async def create(
        self,
        record: JobRecord,
        items: Sequence[JobItem],
        node: NodeId,
        lease: int,
        share: ShareWrite | None = None,
    ) -> VersionedJob | TransactionConflict | LeaseLost | KeyValueFailure:
        """Create a job, owned by a node if it has a lease, and write the share that counts it.

        A conflict means that the job exists or, with a share, that the share has changed.
        """
        keys = JobKeys(record.job)
        data = msgspec.msgpack.encode(list(items))
        pieces = [data[at : at + MAX_CHUNK_BYTES] for at in range(0, len(data), MAX_CHUNK_BYTES)]
        record = msgspec.structs.replace(record, chunks=len(pieces))
        writes = [Write(keys.record, msgspec.json.encode(record))]
        writes += [Write(keys.chunk(number), piece) for number, piece in enumerate(pieces)]
        if lease:
            writes.append(Write(keys.owner, node.encode(), lease))
        expected = {keys.record: ABSENT}
        if share is not None:
            expected[share.key] = share.expected
            writes.append(Write(share.key, share.value))
        done = await self.store.transact(Transaction(expected, tuple(writes)))
        return VersionedJob(record, done.revision) if isinstance(done, WriteApplied) else done

    async def write_shares(
        self, shares: Sequence[ShareWrite]
    ) -> WriteApplied | TransactionConflict | KeyValueFailure:
        """Write shares, all or none."""
        expected = {share.key: share.expected for share in shares}
        writes = tuple(Write(share.key, share.value) for share in shares)
        done = await self.store.transact(Transaction(expected, writes))
        assert not isinstance(done, LeaseLost)
        return done

    async def read(self, job: JobId) -> VersionedJob | None | KeyValueFailure:
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
        self, versioned: VersionedJob, node: NodeId, lease: int, expected: Revision
    ) -> WriteApplied | TransactionConflict | LeaseLost | KeyValueFailure:
        """Make a node the owner of an open job if the owner key has the expected revision."""
        keys = JobKeys(versioned.record.job)
        conditions = {keys.record: versioned.revision, keys.owner: expected}
        write = Write(keys.owner, node.encode(), lease)
        return await self.store.transact(Transaction(conditions, (write,)))

    async def list_results(
        self,
        job: JobId,
        start: int,
        results: Mapping[ItemIndex, ItemResult],
        left_tokens: int | None = None,
        closing: VersionedJob | None = None,
    ) -> WriteApplied | TransactionConflict | KeyValueFailure:
        """List results starting at a free position, all or none, and close their job if given.

        ``left_tokens`` is written as the tokens of the items that are not listed after that. It is
        exact, since the position is free only if nothing else was listed meanwhile.
        """
        keys = JobKeys(job)
        conditions: dict[str, Revision] = {}
        writes: list[Write] = []
        for position, (index, result) in enumerate(results.items(), start):
            conditions[keys.result(position)] = ABSENT
            conditions[keys.mark(index)] = ABSENT
            writes.append(Write(keys.result(position), msgspec.msgpack.encode(result)))
            writes.append(Write(keys.mark(index), str(position).encode()))
        if left_tokens is not None:
            writes.append(Write(keys.left, str(left_tokens).encode()))
        deletes: tuple[str, ...] = ()
        if closing is not None:
            conditions[keys.record] = closing.revision
            writes.append(_closed(closing, JobState.DONE))
            deletes = (keys.owner,)
        done = await self.store.transact(Transaction(conditions, tuple(writes), deletes))
        assert not isinstance(done, LeaseLost)
        return done

    async def save(
        self, saves: Sequence[JobSave]
    ) -> WriteApplied | TransactionConflict | KeyValueFailure:
        """Save the progress of jobs, all or none, if their owner keys have their revisions."""
        expected = {JobKeys(save.job).owner: save.owner_revision for save in saves}
        writes = [
            Write(JobKeys(save.job).saved, msgspec.msgpack.encode(save.items)) for save in saves
        ]
        done = await self.store.transact(Transaction(expected, tuple(writes)))
        assert not isinstance(done, LeaseLost)
        return done

    async def saved(self, job: JobId) -> list[SavedItem] | KeyValueFailure:
        """Read the progress that was saved last."""
        entry = await self.store.get(JobKeys(job).saved)
        if isinstance(entry, KeyValueFailure):
            return entry
        return _SAVED.decode(entry.value) if entry is not None else []

    async def close(
        self, versioned: VersionedJob, state: JobState
    ) -> WriteApplied | TransactionConflict | KeyValueFailure:
        """Set the final state of an open job and remove its owner."""
        keys = JobKeys(versioned.record.job)
        write = _closed(versioned, state)
        change = Transaction({keys.record: versioned.revision}, (write,), (keys.owner,))
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


def _closed(versioned: VersionedJob, state: JobState) -> Write:
    record = msgspec.structs.replace(versioned.record, state=state)
    return Write(JobKeys(record.job).record, msgspec.json.encode(record))


def decode_record(entry: Entry) -> VersionedJob:
    """Return the record in an entry; raise ``InvalidData`` if it cannot be read."""
    record = decode_json(entry.value, JobRecord)
    times = (record.submitted_ms, record.due_ms, record.kept_until_ms)
    if not all(0 <= one <= MAX_UNIX_MS for one in times):
        raise InvalidData(f"a time; allowed: 0 to {MAX_UNIX_MS}")
    return VersionedJob(record, entry.revision)


def position_of(key: str) -> int:
    """Return the position in the key of a result."""
    return int(key.rpartition("/")[2])


def decode_result(entry: Entry) -> ItemResult:
    """Return the result in an entry."""
    return _RESULT.decode(entry.value)


def by_position(entries: Iterable[Entry]) -> dict[int, ItemResult]:
    """Return results by their positions."""
    return {position_of(entry.key): decode_result(entry) for entry in entries}
