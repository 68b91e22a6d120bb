"""Pack result lines into chunks and unpack them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from parsleyrouter.ids import ChunkName, ItemIndex
from parsleyrouter.process.job_records import JobRecord, PartOutcome, Tally
from parsleyrouter.request.batch_item import ItemOutcome, index_of_line

__all__ = [
    "JobManifest",
    "PartManifest",
    "ResultChunk",
    "chunk_expiry",
    "decode_manifest",
    "encode_manifest",
    "lines_by_index",
    "pack_lines",
    "tally_line",
]

RESULT_CHUNK_BYTES = 4 * 1024 * 1024
CHUNK_MARGIN_S = 3600


@dataclass(frozen=True)
class ResultChunk:
    """One chunk of result lines in item order."""

    name: ChunkName
    first: int
    count: int


@dataclass(frozen=True)
class PartManifest:
    """The chunks of a finished part, in item order."""

    chunks: tuple[ResultChunk, ...]
    tally: Tally


@dataclass(frozen=True)
class JobManifest:
    """The parts of a finished job; ``firsts`` are the indexes of their first items.

    It is written only once the job's record holds every part, so all chunks it names are committed.
    ``job`` is that record, for reads while the key-value service is down.
    """

    firsts: tuple[int, ...]
    parts: tuple[PartOutcome, ...]
    job: JobRecord


M = TypeVar("M", PartManifest, JobManifest)


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Body(msgspec.Struct):
    usage: _Usage | None = None


class _Response(msgspec.Struct):
    body: msgspec.Raw = msgspec.Raw(b"null")


class _Line(msgspec.Struct):
    outcome: ItemOutcome
    response: _Response | None = None


_line_decoder = msgspec.json.Decoder(_Line)
_body_decoder = msgspec.json.Decoder(_Body)


def chunk_expiry(record_expires_s: int) -> int:
    """Return when a chunk may be deleted, some time after the records that name it."""
    return record_expires_s + CHUNK_MARGIN_S


def encode_manifest(manifest: PartManifest | JobManifest) -> bytes:
    """Encode a manifest for a chunk."""
    return msgspec.json.encode(manifest)


def decode_manifest(manifest_type: type[M], data: bytes) -> M:
    """Decode a manifest; raise ``msgspec.ValidationError`` when it is of another type."""
    return msgspec.json.decode(data, type=manifest_type)


def lines_by_index(chunks: Iterable[bytes]) -> dict[ItemIndex, bytes]:
    """Return result lines by item; the first line of an item counts."""
    found: dict[ItemIndex, bytes] = {}
    for chunk in chunks:
        for line in chunk.splitlines(keepends=True):
            found.setdefault(index_of_line(line), line)
    return found


def pack_lines(lines: Mapping[ItemIndex, bytes]) -> list[tuple[int, int, bytes]]:
    """Return ``(first index, count, bytes)`` of the chunks that hold all lines in item order."""
    packed: list[tuple[int, int, bytes]] = []
    waiting: list[bytes] = []
    first = 0
    size = 0
    for index in sorted(lines):
        line = lines[index]
        if waiting and size + len(line) > RESULT_CHUNK_BYTES:
            packed.append((first, len(waiting), b"".join(waiting)))
            waiting, size = [], 0
        if not waiting:
            first = index
        waiting.append(line)
        size += len(line)
    if waiting:
        packed.append((first, len(waiting), b"".join(waiting)))
    return packed


def tally_line(line: bytes) -> Tally:
    """Return the tally of one result line."""
    parsed = _line_decoder.decode(line)
    usage = _usage_of(parsed)
    return Tally(
        **{parsed.outcome.value: 1},
        prompt_tokens=usage.prompt_tokens,
        output_tokens=usage.completion_tokens,
        bytes=len(line),
    )


def _usage_of(parsed: _Line) -> _Usage:
    if parsed.response is None:
        return _Usage()
    try:
        return _body_decoder.decode(parsed.response.body).usage or _Usage()
    except msgspec.DecodeError:
        return _Usage()
