"""Decode requests to empty a store machine, and encode the report that it is empty."""

import msgspec

from parsleyrouter.connection.key_value import Write
from parsleyrouter.ids import NodeId

__all__ = ["encode_drained", "node_to_drain"]

_PREFIX = "op/retire/"


def node_to_drain(key: str) -> NodeId | None:
    """Return the machine that a key asks to be emptied."""
    return NodeId(key.removeprefix(_PREFIX)) if key.startswith(_PREFIX) else None


def encode_drained(node: NodeId) -> Write:
    """Return the report; the platform removes the machine with its disk as soon as it reads it."""
    return Write(f"status/retire/{node}", msgspec.json.encode({"state": "completed"}))
