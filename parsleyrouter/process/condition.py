"""A condition variable for the tasks of one loop."""

from parsleyrouter.process.loop import Loop, Promise, TimedOut

__all__ = ["Condition"]


class Condition:
    """Let tasks wait for a change; a wait that times out is removed."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.waiters: set[Promise[None]] = set()

    def notify_all(self) -> None:
        """Wake all waiting tasks."""
        waiters, self.waiters = self.waiters, set()
        for promise in waiters:
            promise.resolve(None)

    async def wait(self, limit_s: float) -> None:
        """Wait for the next change for at most ``limit_s`` seconds."""
        promise: Promise[None] = Promise(self.loop)
        self.waiters.add(promise)
        try:
            await self.loop.within(limit_s, promise)
        except TimedOut:
            return
        finally:
            self.waiters.discard(promise)
