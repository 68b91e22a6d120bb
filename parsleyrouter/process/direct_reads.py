"""Read changes from the key-value service; repeat reads that were lost once it answers again."""

import logging
from dataclasses import dataclass
from functools import partial

from parsleyrouter.connection.key_value import (
    ChangePage,
    HistoryCompacted,
    KeyValueFailure,
    TransactionalKeyValue,
)
from parsleyrouter.connection.service_contact import SendWindow
from parsleyrouter.ids import Revision
from parsleyrouter.process.loop import Cancelled, Loop, Task

__all__ = ["DirectReads"]

ReadResult = ChangePage | HistoryCompacted | KeyValueFailure

log = logging.getLogger(__name__)


@dataclass
class _PendingRead:
    task: Task[ReadResult]
    sent_s: float
    abandoned: bool = False


class DirectReads:
    """The reads of changes that wait at the service, at most one for each prefix."""

    def __init__(self, loop: Loop, store: TransactionalKeyValue) -> None:
        self.loop = loop
        self.store = store
        self.pending: dict[str, _PendingRead] = {}
        # The answered call may itself be a read, which must end before lost ones are sought.
        store.on_lost.append(lambda window: loop.call_soon(partial(self._abandon_lost, window)))

    async def changes(self, prefix: str, after: Revision, wait_s: float) -> ReadResult:
        """Read the changes after a revision, again without waiting if the read is abandoned."""
        while True:
            task = self.loop.spawn(self.store.changes(prefix, after, wait_s), f"read {prefix}")
            read = self.pending[prefix] = _PendingRead(task, self.loop.now())
            try:
                return await task
            except Cancelled:
                if not read.abandoned:
                    task.cancel()
                    raise
                wait_s = 0.0
            finally:
                self.pending.pop(prefix, None)

    def abandon(self, prefix: str, reason: str) -> None:
        """Give up the pending read of a prefix, which is then repeated."""
        read = self.pending.get(prefix)
        if read is not None and not read.abandoned:
            read.abandoned = True
            fields = {"prefix": prefix, "read_s": round(self.loop.now() - read.sent_s, 3)}
            log.warning("read of changes abandoned", extra=fields | {"reason": reason})
            read.task.cancel()

    def _abandon_lost(self, window: SendWindow) -> None:
        for prefix, read in list(self.pending.items()):
            if read.sent_s in window:
                self.abandon(prefix, "the service did not answer calls sent at that time")
