"""Write chunks to several failure domains and read them from any copy."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from parsleyrouter.connection.key_value import ABSENT, Conflict, Entry, KeyValue, WriteApplied
from parsleyrouter.connection.peer import PeerFailure
from parsleyrouter.ids import ChunkName, DomainName, JobId, PartIndex
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.batch_metrics import BatchMetrics
from parsleyrouter.process.chunk_folder import Chunk, ChunkMeta, ChunkRole, chunk_name
from parsleyrouter.process.chunk_placement import (
    TARGET_COPIES,
    Disk,
    choose_disks,
    disks_of,
    rank_disks,
)
from parsleyrouter.process.fleet_view import FleetView
from parsleyrouter.process.job_keys import chunk_key
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.chunks.ttypes import (
    ChunkAnswer,
    ChunkList,
    GetChunk,
    ListChunks,
    PutAnswer,
    PutChunk,
    ReleaseChunks,
)

__all__ = ["ChunkClient", "ChunkLimits"]

PUT_TIMEOUT_S = 3.0
GET_TIMEOUT_S = 2.0
LIST_TIMEOUT_S = 1.0
MAX_LISTED_DISKS = 8
LIST_PAGE = 1000
RETRY_AFTER_S = 5.0


@dataclass(frozen=True)
class ChunkLimits:
    """Minimum copies, and how many bytes may go to the key-value service instead of disks."""

    min_copies: int = 2
    key_value_chunk_bytes: int = 256 * 1024
    key_value_total_bytes: int = 4 * 1024 * 1024


class ChunkClient:
    """Store and read chunks on the disk VMs of the fleet."""

    def __init__(
        self,
        runtime: Runtime,
        view: FleetView,
        *,
        kv: KeyValue | None = None,
        limits: ChunkLimits | None = None,
    ) -> None:
        self.runtime = runtime
        self.view = view
        self.kv = kv
        self.limits = limits or ChunkLimits()
        self.key_value_bytes = 0
        self.metrics = BatchMetrics.of(runtime.metrics)

    async def put(
        self, job: JobId, part: PartIndex, role: ChunkRole, data: bytes, expires_s: int
    ) -> ChunkName | Refusal:
        """Store a chunk; return its name once enough copies are durable."""
        name = chunk_name(job, part, role, data)
        meta = ChunkMeta(name, job, part, role, expires_s, len(data))
        domains = await self._store_copies(Chunk(meta, data))
        if len(domains) >= self.limits.min_copies:
            return name
        if domains and await self._put_in_key_value(job, name, data):
            return name
        return Refusal(
            RefusalKind.STORAGE_UNAVAILABLE,
            f"{len(domains)} of {self.limits.min_copies} copies stored: bring back disk VMs in "
            "different failure domains, then send the job again",
            ExecutionStatus.NOT_RUN,
            RETRY_AFTER_S,
        )

    async def get(
        self, job: JobId, part: PartIndex, role: ChunkRole, name: ChunkName
    ) -> bytes | None:
        """Return the bytes of a chunk, or ``None`` while no intact copy can be reached."""
        ranked = rank_disks(job, part, disks_of(self.view.nodes()))
        assigned = choose_disks(ranked)
        missing: list[Disk] = []
        for disk in ranked:
            answer = await self.runtime.peers.call(
                disk.address, "chunks.get", GetChunk(name), ChunkAnswer, GET_TIMEOUT_S
            )
            if isinstance(answer, PeerFailure):
                continue
            data = bytes(answer.data or b"")
            if answer.found and chunk_name(job, part, role, data) == name:
                meta = ChunkMeta(name, job, part, role, answer.expires_s, len(data))
                self._rewrite_copies(missing, Chunk(meta, data))
                return data
            if answer.refusal or disk in assigned:
                missing.append(disk)
        return await self._get_from_key_value(job, part, role, name)

    async def list_part(self, job: JobId, part: PartIndex, role: ChunkRole) -> list[ChunkMeta]:
        """Return the chunks of a part on the reachable disk VMs, ordered by name."""
        found: dict[ChunkName, ChunkMeta] = {}
        ranked = rank_disks(job, part, disks_of(self.view.nodes()))
        calls = [
            self.runtime.loop.spawn(self._list(disk, job, part, role))
            for disk in islice(ranked, MAX_LISTED_DISKS)
        ]
        for metas in await self.runtime.loop.gather(calls):
            found |= {meta.name: meta for meta in metas}
        return [found[name] for name in sorted(found)]

    def release(self, job: JobId, part: PartIndex, keep: Iterable[ChunkName]) -> None:
        """Tell the disk VMs that only some chunks of a part are still needed; best effort."""
        request = ReleaseChunks(job, part, list(keep))
        for disk in islice(rank_disks(job, part, disks_of(self.view.nodes())), MAX_LISTED_DISKS):
            self.runtime.peers.send_oneway(disk.address, "chunks.release", request)

    async def _store_copies(self, chunk: Chunk) -> set[DomainName]:
        meta = chunk.meta
        ranked = rank_disks(meta.job, meta.part, disks_of(self.view.nodes()))
        stored: set[DomainName] = set()
        while len(stored) < TARGET_COPIES:
            remaining = [disk for disk in ranked if disk.domain not in stored]
            chosen = choose_disks(remaining, TARGET_COPIES - len(stored))
            if not chosen:
                break
            tasks = [self.runtime.loop.spawn(self.send(disk, chunk)) for disk in chosen]
            refusals = await self.runtime.loop.gather(tasks)
            stored |= {d.domain for d, refusal in zip(chosen, refusals, strict=True) if not refusal}
            ranked = [disk for disk in ranked if disk not in chosen]
        return stored

    async def send(self, disk: Disk, chunk: Chunk) -> str:
        """Store one copy; return why it failed, or an empty string."""
        meta = chunk.meta
        request = PutChunk(
            meta.name, chunk.data, meta.job, meta.part, meta.expires_s, meta.role.value
        )
        answer = await self.runtime.peers.call(
            disk.address, "chunks.put", request, PutAnswer, PUT_TIMEOUT_S
        )
        if isinstance(answer, PeerFailure):
            return answer.message
        self.metrics.sent_bytes.inc(meta.bytes)
        return "" if answer.stored else answer.refusal

    def _rewrite_copies(self, missing: list[Disk], chunk: Chunk) -> None:
        """Rewrite the copies that a read found damaged or missing."""
        for disk in missing:
            self.metrics.repaired.inc()
            self.runtime.loop.spawn(self.send(disk, chunk), "repair copy")

    async def _list(
        self, disk: Disk, job: JobId, part: PartIndex, role: ChunkRole
    ) -> list[ChunkMeta]:
        metas: list[ChunkMeta] = []
        more = True
        while more:
            after = metas[-1].name if metas else ""
            answer = await self.runtime.peers.call(
                disk.address,
                "chunks.list",
                ListChunks(job, part, after, LIST_PAGE, role.value),
                ChunkList,
                LIST_TIMEOUT_S,
            )
            if isinstance(answer, PeerFailure):
                break
            metas += [
                ChunkMeta(ChunkName(info.name), job, part, role, info.expires_s, info.bytes)
                for info in answer.chunks
            ]
            more = answer.more
        return metas

    async def _put_in_key_value(self, job: JobId, name: ChunkName, data: bytes) -> bool:
        available_bytes = self.limits.key_value_total_bytes - self.key_value_bytes
        if self.kv is None or len(data) > min(available_bytes, self.limits.key_value_chunk_bytes):
            return False
        outcome = await self.kv.compare_and_swap(chunk_key(job, name), data, ABSENT)
        if isinstance(outcome, WriteApplied):
            self.key_value_bytes += len(data)
        return isinstance(outcome, WriteApplied | Conflict)

    async def _get_from_key_value(
        self, job: JobId, part: PartIndex, role: ChunkRole, name: ChunkName
    ) -> bytes | None:
        if self.kv is None:
            return None
        entry = await self.kv.get(chunk_key(job, name))
        if isinstance(entry, Entry) and chunk_name(job, part, role, entry.value) == name:
            return entry.value
        return None
