"""Store immutable chunks as files under one data folder; all functions block."""

import errno
import json
import os
import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass
from enum import Enum
from hashlib import blake2b
from pathlib import Path

from parsleyrouter.ids import ChunkName, JobId, PartIndex

__all__ = [
    "Chunk",
    "ChunkFolder",
    "ChunkMeta",
    "ChunkRole",
    "CorruptChunk",
    "chunk_name",
]

MAGIC = b"PCH1"
HEADER = struct.Struct("!4sII")
SUFFIX = ".chunk"
NAME_BYTES = 20
META_READ_BYTES = 1024
EXPIRY_SLACK_S = 3600


class ChunkRole(Enum):
    """What a chunk contains."""

    INPUT = "input"
    RESULTS = "results"
    MANIFEST = "manifest"


class CorruptChunk(Exception):
    """Report a chunk that does not match its checksum; read another copy instead."""


@dataclass(frozen=True)
class ChunkMeta:
    """Metadata of a chunk; ``expires_s`` is in seconds since 1970."""

    name: ChunkName
    job: JobId
    part: PartIndex
    role: ChunkRole
    expires_s: int
    bytes: int


@dataclass(frozen=True)
class Chunk:
    """A chunk with its metadata."""

    meta: ChunkMeta
    data: bytes


def chunk_name(job: JobId, part: PartIndex, role: ChunkRole, data: bytes) -> ChunkName:
    """Return the name of a chunk, a hash of its job, part, role and content."""
    digest = blake2b(f"{job}\0{part}\0{role.value}\0".encode(), digest_size=NAME_BYTES)
    digest.update(data)
    return ChunkName(digest.hexdigest())


class ChunkFolder:
    """Read and write chunk files; each write is fsynced, then renamed into place."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def scan(self) -> Iterator[ChunkMeta]:
        """Delete unfinished and damaged files and return the metadata of all others."""
        self.path.mkdir(parents=True, exist_ok=True)
        for file in sorted(self.path.glob("*/*")):
            if file.suffix != SUFFIX:
                file.unlink(missing_ok=True)
                continue
            try:
                yield self._read_meta(file)
            except CorruptChunk:
                file.unlink(missing_ok=True)

    def write(self, chunks: Iterable[Chunk]) -> dict[ChunkName, str]:
        """Write chunks with one fsync per directory; return error messages by chunk name."""
        refusals: dict[ChunkName, str] = {}
        folders = set()
        for chunk in chunks:
            try:
                folders.add(self._write_one(chunk))
            except OSError as error:
                refusals[chunk.meta.name] = _refusal_text(error)
        for folder in folders:
            _sync_folder(folder)
        return refusals

    def read(self, name: ChunkName) -> Chunk | None:
        """Return a chunk; raise ``CorruptChunk`` if it cannot be read or fails its checksum."""
        try:
            content = self._file(name).read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise CorruptChunk(f"chunk {name} cannot be read: {error}") from error
        chunk = _decode(content)
        if chunk.meta.name != name:
            raise CorruptChunk(f"file of chunk {name} contains chunk {chunk.meta.name}")
        return chunk

    def delete(self, names: Iterable[ChunkName]) -> None:
        """Delete chunks; names that do not exist are ignored."""
        for name in names:
            self._file(name).unlink(missing_ok=True)

    def _file(self, name: ChunkName) -> Path:
        return self.path / name[:1] / (name + SUFFIX)

    def _write_one(self, chunk: Chunk) -> Path:
        target = self._file(chunk.meta.name)
        target.parent.mkdir(parents=True, exist_ok=True)
        partial = target.with_suffix(".partial")
        try:
            with open(partial, "wb") as file:
                file.write(_encode(chunk))
                file.flush()
                os.fsync(file.fileno())
            os.replace(partial, target)
        except OSError:
            partial.unlink(missing_ok=True)
            raise
        return target.parent

    def _read_meta(self, file: Path) -> ChunkMeta:
        with open(file, "rb") as opened:
            head = opened.read(META_READ_BYTES)
        meta, _ = _split(head)
        if file.stat().st_size != HEADER.size + _meta_size(head) + meta.bytes:
            raise CorruptChunk(f"chunk file {file.name} is truncated")
        return meta


def _encode(chunk: Chunk) -> bytes:
    fields = asdict(chunk.meta) | {"role": chunk.meta.role.value}
    meta = json.dumps(fields).encode()
    checksum = zlib.crc32(chunk.data, zlib.crc32(meta))
    return HEADER.pack(MAGIC, checksum, len(meta)) + meta + chunk.data


def _decode(content: bytes) -> Chunk:
    meta, data = _split(content)
    _, checksum, size = HEADER.unpack_from(content)
    if zlib.crc32(content[HEADER.size :]) != checksum:
        raise CorruptChunk(f"chunk {meta.name} fails its checksum")
    return Chunk(meta, data)


def _split(content: bytes) -> tuple[ChunkMeta, bytes]:
    try:
        magic, _, size = HEADER.unpack_from(content)
        fields = json.loads(content[HEADER.size : HEADER.size + size])
        meta = ChunkMeta(**fields | {"role": ChunkRole(fields["role"])})
    except (struct.error, ValueError, TypeError, KeyError) as error:
        raise CorruptChunk(f"chunk file has no readable header: {error}") from error
    if magic != MAGIC:
        raise CorruptChunk("chunk file has an unknown format")
    return meta, content[HEADER.size + size :]


def _meta_size(head: bytes) -> int:
    return int(HEADER.unpack_from(head)[2])


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _refusal_text(error: OSError) -> str:
    if error.errno in (errno.ENOSPC, errno.EDQUOT):
        return "disk full: free space or add a disk VM"
    return f"cannot write: {error}"
