"""Records of batch jobs and their parts, as stored in the key-value service."""

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

import msgspec

from parsleyrouter.ids import ChunkName, Epoch, JobId, KindName, NodeId, PartIndex, TeamName

__all__ = [
    "JobPhase",
    "JobRecord",
    "PartOutcome",
    "PartPhase",
    "PartRecord",
    "Tally",
    "decode_record",
    "encode_record",
]


class JobPhase(Enum):
    """Phase of a job; its parts run only while it is running."""

    ACCEPTING = "accepting"
    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


class PartPhase(Enum):
    """Phase of a part."""

    WAITING = "waiting"
    RUNNING = "running"
    CANCELLED = "cancelled"
    DONE = "done"


@dataclass(frozen=True)
class Tally:
    """Number of items with a result, by outcome, and their usage."""

    ok: int = 0
    error: int = 0
    unknown: int = 0
    cancelled: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    bytes: int = 0

    def __add__(self, other: "Tally") -> "Tally":
        names = self.__dataclass_fields__
        return Tally(**{name: getattr(self, name) + getattr(other, name) for name in names})

    @property
    def items(self) -> int:
        """Return how many items have a result."""
        return self.ok + self.error + self.unknown + self.cancelled


@dataclass(frozen=True)
class PartOutcome:
    """Entry of a finished part in its job's record."""

    manifest: ChunkName
    tally: Tally


@dataclass(frozen=True)
class JobRecord:
    """One job; times are in seconds since 1970.

    ``firsts`` holds the index of the first item of each part. Each write has
    its own ``nonce``, by which a writer recognises its write after a lost reply.
    """

    job: JobId
    team: TeamName
    kind: KindName
    digest: str
    items: int
    firsts: tuple[int, ...]
    created_s: float
    deadline_s: float
    expires_s: int
    phase: JobPhase = JobPhase.ACCEPTING
    nonce: str = ""
    bytes: int = 0
    parts: dict[int, PartOutcome] = field(default_factory=dict)
    manifest: ChunkName = ChunkName("")
    tally: Tally = Tally()
    late: bool = False


@dataclass(frozen=True)
class PartRecord:
    """One part; ``chunks`` hold its committed results, of which the first one of an item counts.

    ``started`` counts for each item how often owners started it without leaving a result.
    """

    job: JobId
    team: TeamName
    kind: KindName
    part: PartIndex
    first: int
    items: int
    input: ChunkName
    deadline_s: float
    expires_s: int
    phase: PartPhase = PartPhase.WAITING
    epoch: Epoch = Epoch(0)
    owner: NodeId = NodeId("")
    nonce: str = ""
    chunks: tuple[ChunkName, ...] = ()
    tally: Tally = Tally()
    started: dict[int, int] = field(default_factory=dict)
    crashes: int = 0
    late: bool = False
    manifest: ChunkName = ChunkName("")


R = TypeVar("R", JobRecord, PartRecord)

_encoder = msgspec.json.Encoder()


def encode_record(record: JobRecord | PartRecord) -> bytes:
    """Encode a record for the key-value service."""
    return _encoder.encode(record)


def decode_record(record_type: type[R], value: bytes) -> R:
    """Decode a record; raise ``msgspec.ValidationError`` when it is damaged."""
    return msgspec.json.decode(value, type=record_type)
