"""A request body that is read while it arrives."""

from collections.abc import Callable

from parsleyrouter.process.loop import Loop, Promise

__all__ = ["Upload", "UploadAborted"]

PAUSE_ABOVE_BYTES = 256 * 1024


class UploadAborted(Exception):
    """The rest of a body will not arrive; send the whole request again."""


class Upload:
    """Queue pieces of a body for its reader; ``pause`` and ``resume`` control the sender."""

    def __init__(self, loop: Loop, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        self.loop = loop
        self.pause = pause
        self.resume = resume
        self.queued = bytearray()
        self.total_bytes = 0
        self.paused = False
        self.ended = False
        self.abort_reason = ""
        self.waiter: Promise[None] | None = None

    def feed(self, data: bytes) -> None:
        """Queue a piece; pause the sender above ``PAUSE_ABOVE_BYTES``."""
        self.queued += data
        self.total_bytes += len(data)
        if len(self.queued) > PAUSE_ABOVE_BYTES and not self.paused:
            self.paused = True
            self.pause()
        self._wake()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self._wake()

    def abort(self, reason: str) -> None:
        """Mark the body as aborted: the rest will not arrive."""
        if not self.ended and not self.abort_reason:
            self.abort_reason = reason
            self._wake()

    def __aiter__(self) -> "Upload":
        return self

    async def __anext__(self) -> bytes:
        while not self.queued and not self.ended and not self.abort_reason:
            self.waiter = self.loop.promise()
            await self.waiter
        if self.abort_reason:
            raise UploadAborted(self.abort_reason)
        if not self.queued:
            raise StopAsyncIteration
        return self._take_queued()

    def _take_queued(self) -> bytes:
        data, self.queued = bytes(self.queued), bytearray()
        if self.paused:
            self.paused = False
            self.resume()
        return data

    def _wake(self) -> None:
        if self.waiter is not None:
            self.waiter.resolve(None)
