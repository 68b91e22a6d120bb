"""Translate keys and changes between nodes of a cell."""

from parsleyrouter.connection.key_value import Entry, KeyChange
from parsleyrouter.ids import Revision
from parsleyrouter.thrift_gen.nodes.ttypes import FollowedKey

__all__ = ["to_change", "to_entry", "to_wire"]


def to_wire(key: str, revision: Revision, entry: Entry | None) -> FollowedKey:
    """Return a key or its removal as it is sent."""
    return FollowedKey(key=key, revision=revision, value=None if entry is None else entry.value)


def to_entry(key: FollowedKey) -> Entry:
    """Return a key that was received."""
    return Entry(key.key, key.value, Revision(key.revision))


def to_change(key: FollowedKey) -> KeyChange:
    """Return a change that was received."""
    entry = None if key.value is None else to_entry(key)
    return KeyChange(key.key, Revision(key.revision), entry)
