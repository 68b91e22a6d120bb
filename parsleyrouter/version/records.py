"""The stored record of one settings subtree, which includes its latest change."""

from typing import Any

import msgspec

__all__ = ["InvalidRecord", "Change", "SubtreeRecord", "decode_change", "decode_record", "encode"]


_REMEDY = "restore it from the audit trail, in the key-value service"


class InvalidRecord(ValueError):
    """Report a stored record that cannot be decoded; restore it from the audit trail."""


class Change(msgspec.Struct, frozen=True):
    """One accepted change; ``when_s`` is in seconds since 1970."""

    who: str
    when_s: float
    source: str
    path: str
    was: Any
    now: Any
    version: int
    nonce: str


class SubtreeRecord(msgspec.Struct, frozen=True):
    """One version of a subtree; ``value`` is ``None`` if the subtree was removed."""

    value: Any
    version: int
    change: Change


def encode(record: SubtreeRecord | Change) -> bytes:
    """Encode a record or a change as JSON."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> SubtreeRecord:
    """Decode a record; raise ``BadRecord``."""
    try:
        return msgspec.json.decode(data, type=SubtreeRecord)
    except msgspec.MsgspecError as error:
        raise InvalidRecord(f"a settings record cannot be read: {error}; {_REMEDY}") from error


def decode_change(data: bytes) -> Change:
    """Decode an entry of the audit trail; raise ``BadRecord``."""
    try:
        return msgspec.json.decode(data, type=Change)
    except msgspec.MsgspecError as error:
        raise InvalidRecord(f"an audit record cannot be read: {error}; {_REMEDY}") from error
