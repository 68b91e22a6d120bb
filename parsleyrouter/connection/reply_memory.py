"""Memory for replies that are read as a whole."""

__all__ = ["ReplyMemory"]

MAX_REPLIES_BYTES = 64 * 1024 * 1024
"""Size of all replies in progress that are read as a whole; those of the services used are far
smaller."""


class ReplyMemory:
    """Share a number of bytes among replies; one may take as much as it leaves free."""

    def __init__(self, max_bytes: int = MAX_REPLIES_BYTES) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def take(self, count: int) -> None:
        """Count received bytes."""
        self.used_bytes += count

    def free(self, count: int) -> None:
        """Return the bytes of a reply that has ended."""
        self.used_bytes -= count

    def allows(self, size: int) -> bool:
        """Return whether a reply of which ``size`` bytes are counted may go on."""
        return size <= self.max_bytes - self.used_bytes
