"""States of a caller's connection, and why clients are refused."""

from enum import Enum

__all__ = ["ConnectionStage", "RefusalCause"]


class ConnectionStage(Enum):
    """States of a connection, named after what it waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RESPONSE = "answer"
    DISCARD = "discard"


class RefusalCause(Enum):
    """Why a client was refused or its connection closed."""

    BAD_REQUEST = "bad_request"
    CONNECTIONS = "connections"
    MEMORY = "memory"
    SLOW = "slow"
    UNREAD = "unread"
    CALLS = "calls"
