"""The claim record that makes a keyed request run at most once, and how resends use it."""

import hashlib
from dataclasses import dataclass
from enum import Enum

import msgspec

from parsleyrouter.ids import TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.call_port import Call, Reply

__all__ = [
    "CONTENT_CONFLICT",
    "ClaimRecord",
    "ClaimState",
    "StillRunning",
    "claim_key",
    "content_hash",
    "decode_claim",
    "encode_claim",
    "finished_claim",
    "resolve_claim",
]

CLAIMS_PREFIX = "/parsley/claims/"
MAX_STORED_BODY_BYTES = 64 * 1024

CONTENT_CONFLICT = Refusal(
    RefusalKind.CONFLICT,
    "the Idempotency-Key was used with other content: use a new key",
    ExecutionStatus.NOT_RUN,
)


class ClaimState(Enum):
    """Whether the claimed request has finished."""

    STARTED = "started"
    DONE = "done"


class ClaimRecord(msgspec.Struct, frozen=True):
    """One claim; its holder gives up by ``until_s``, in seconds since 1970."""

    nonce: str
    entry: str
    content: str
    until_s: float
    state: ClaimState = ClaimState.STARTED
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    kept: bool = True
    refusal: str = ""
    ran: ExecutionStatus = ExecutionStatus.UNKNOWN


@dataclass(frozen=True)
class StillRunning:
    """The holder may still be running the request; to be polled again."""


def claim_key(team: TeamName, application: str, key: str) -> str:
    """Return the key under which the claim of an idempotency key is stored."""
    digest = hashlib.sha256(f"{application}\0{key}".encode("utf-8", "replace")).hexdigest()
    return f"{CLAIMS_PREFIX}{team}/{digest}"


def content_hash(call: Call) -> str:
    """Return the hash that detects other content under the same idempotency key."""
    head = f"{call.method}\0{call.path}\0".encode("utf-8", "replace")
    return hashlib.sha256(head + call.body).hexdigest()


def encode_claim(record: ClaimRecord) -> bytes:
    """Encode a record as JSON."""
    return msgspec.json.encode(record)


def decode_claim(value: bytes) -> ClaimRecord:
    """Decode a record; raise ``msgspec.MsgspecError`` if it is invalid."""
    return msgspec.json.decode(value, type=ClaimRecord)


def finished_claim(record: ClaimRecord, outcome: Reply | Refusal) -> ClaimRecord:
    """Return the record of a finished request; drop the body of a large reply."""
    done = msgspec.structs.replace(record, state=ClaimState.DONE)
    if isinstance(outcome, Refusal):
        return msgspec.structs.replace(done, refusal=outcome.message, ran=outcome.ran)
    kept = len(outcome.body) <= MAX_STORED_BODY_BYTES
    return msgspec.structs.replace(
        done,
        status=outcome.status,
        headers=outcome.headers,
        body=outcome.body if kept else b"",
        kept=kept,
        ran=ExecutionStatus.RAN,
    )


def resolve_claim(
    record: ClaimRecord, content: str, now_s: float
) -> Reply | Refusal | StillRunning:
    """Return the outcome for a resend; ``now_s`` is in seconds since 1970."""
    if record.content != content:
        return CONTENT_CONFLICT
    if record.state is ClaimState.DONE:
        return _replay(record)
    if now_s > record.until_s:
        message = (
            "the entry that ran this request was lost: check at the service whether it took effect"
        )
        return Refusal(RefusalKind.ENDPOINT_FAILED, message, ExecutionStatus.UNKNOWN)
    return StillRunning()


def _replay(record: ClaimRecord) -> Reply | Refusal:
    if record.refusal:
        return Refusal(RefusalKind.ENDPOINT_FAILED, record.refusal, record.ran)
    if not record.kept:
        limit = MAX_STORED_BODY_BYTES
        message = f"the request ran; its response exceeded {limit} bytes and was not stored"
        return Refusal(RefusalKind.CONFLICT, message, ExecutionStatus.RAN)
    return Reply(record.status, dict(record.headers), record.body)
