"""Wake the tasks that wait for a change."""

from parsleyrouter.process.loop import Loop, Promise, TimedOut

__all__ = ["Condition"]


class Condition:
    """Let tasks wait for a change; waits that run out leave nothing behind."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.waiting: set[Promise[None]] = set()

    def notify_all(self) -> None:
        """Wake all waiting tasks."""
        waiting, self.waiting = self.waiting, set()
        for promise in waiting:
            promise.resolve(None)

    async def wait(self, limit_s: float) -> None:
        """Wait for the next change, at most ``limit_s`` seconds."""
        promise: Promise[None] = Promise(self.loop)
        self.waiting.add(promise)
        try:
            await self.loop.within(limit_s, promise)
        except TimedOut:
            return
        finally:
            self.waiting.discard(promise)
