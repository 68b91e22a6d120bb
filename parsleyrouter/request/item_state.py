"""Why a batch item that a node holds is not listed yet. Performs no I/O."""

from enum import Enum

__all__ = ["WaitReason"]


class WaitReason(Enum):
    """What an unlisted item waits for."""

    HELD = "held"
    """A group of its prompt parts is in quarantine."""
    NO_ROUTE = "no_route"
    """No batch route takes its path."""
    NO_ENDPOINT = "no_endpoint"
    """No endpoint of its service is available."""
    NOT_LISTED = "not_listed"
    """It is done or given up, and its result is not listed."""
    NO_ROOM = "no_room"
    """No endpoint has room for it, or had room for one before it on its route."""
    RESERVED = "reserved"
    """Slots that it could use are kept free for a step of online demand that is expected."""
    PAUSED = "paused"
    """A run, or an attempt to start one, has ended a moment ago."""
    RUNNING = "running"

    @property
    def fills_route(self) -> bool:
        """Return whether further items of the route are passed over in the same turn."""
        return self in (WaitReason.NO_ENDPOINT, WaitReason.NO_ROOM, WaitReason.RESERVED)
