"""Decode requests to retire a store VM, and encode the report that it is empty."""

import msgspec

from parsleyrouter.connection.key_value import Write
from parsleyrouter.ids import NodeId

__all__ = ["encode_drained", "node_to_drain"]

_PREFIX = "op/retire/"


def node_to_drain(key: str) -> NodeId | None:
    """Return the VM that a key requests to retire, ``None`` for other keys."""
    return NodeId(key.removeprefix(_PREFIX)) if key.startswith(_PREFIX) else None


def encode_drained(node: NodeId) -> Write:
    """Return the report; the platform removes the VM and its disk as soon as it reads it."""
    return Write(f"status/retire/{node}", msgspec.json.encode({"state": "completed"}))
