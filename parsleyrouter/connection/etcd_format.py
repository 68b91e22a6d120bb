"""The etcd v3 JSON gateway format, for the client and the stand-in."""

from base64 import b64decode, b64encode
from typing import Any

from parsleyrouter.connection.key_value import Entry, KeyChange
from parsleyrouter.ids import Revision

__all__ = [
    "decode_changes",
    "decode_entries",
    "decode_key",
    "decode_revision",
    "decode_text",
    "encode_entry",
    "encode_text",
    "range_end",
]


def encode_text(text: str) -> str:
    """Encode a key as base64."""
    return b64encode(text.encode()).decode()


def decode_text(text: str) -> str:
    """Decode a key from base64."""
    return b64decode(text).decode(errors="surrogateescape")


def decode_key(body: dict[str, Any]) -> str:
    """Return the key that a request or an entry names."""
    return decode_text(body.get("key", ""))


def decode_revision(body: dict[str, Any]) -> Revision:
    """Return the service's revision from a reply's header."""
    return Revision(int(body.get("header", {}).get("revision", 0)))


def range_end(prefix: str) -> str:
    """Return the first key after all keys with the prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else "\0"


def encode_entry(entry: Entry, lease: int = 0) -> dict[str, Any]:
    """Encode an entry as the gateway does, with 64-bit numbers as strings."""
    value = {
        "key": encode_text(entry.key),
        "mod_revision": str(entry.revision),
        "version": str(entry.version),
        "value": b64encode(entry.value).decode(),
    }
    return value | {"lease": str(lease)} if lease else value


def decode_entry(body: dict[str, Any]) -> Entry:
    """Decode one entry; the gateway may omit fields that are zero."""
    return Entry(
        decode_key(body),
        b64decode(body.get("value", "")),
        Revision(int(body.get("mod_revision", 0))),
        int(body.get("version", 1)),
    )


def decode_entries(body: dict[str, Any]) -> tuple[Entry, ...]:
    """Decode the entries of a range response."""
    return tuple(decode_entry(one) for one in body.get("kvs", ()))


def decode_changes(result: dict[str, Any]) -> list[KeyChange]:
    """Decode the changes of one watch message."""
    changes = []
    for event in result.get("events", ()):
        entry = decode_entry(event["kv"])
        deleted = event.get("type") == "DELETE"
        changes.append(KeyChange(entry.key, entry.revision, None if deleted else entry))
    return changes
