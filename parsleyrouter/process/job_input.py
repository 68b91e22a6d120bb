"""Store the items of a job while they arrive."""

from collections.abc import AsyncIterator

from parsleyrouter.ids import ChunkName, JobId, PartIndex
from parsleyrouter.outcome import Ran, Refusal, RefusalKind
from parsleyrouter.process.chunk_client import ChunkClient
from parsleyrouter.process.chunk_folder import ChunkRole
from parsleyrouter.process.part_results import chunk_expiry
from parsleyrouter.request.job_intake import JobParser

__all__ = ["JobInput"]


class JobInput:
    """Write the input chunks of one job, a part at a time."""

    def __init__(self, chunks: ChunkClient, job: JobId, expires_s: int) -> None:
        self.chunks = chunks
        self.job = job
        self.expires_s = expires_s
        self.names: list[ChunkName] = []

    async def store(
        self, intake: JobParser, body: AsyncIterator[bytes]
    ) -> list[ChunkName] | Refusal:
        """Read the whole body; return the chunk of each part."""
        async for data in body:
            refusal = await self._put_parts(intake.feed(data))
            if refusal is not None:
                return refusal
            if intake.should_stop():
                break
        if not intake.should_stop():
            refusal = await self._put_parts(intake.finish())
            if refusal is not None:
                return refusal
        return _refusal(intake) or self.names

    async def _put_parts(self, parts: list[bytes]) -> Refusal | None:
        for data in parts:
            part = PartIndex(len(self.names))
            name = await self.chunks.put(
                self.job, part, ChunkRole.INPUT, data, chunk_expiry(self.expires_s)
            )
            if isinstance(name, Refusal):
                return name
            self.names.append(name)
        return None


def _refusal(intake: JobParser) -> Refusal | None:
    if intake.items > intake.limits.job_items:
        message = f"more than {intake.limits.job_items} items: split the job"
        return Refusal(RefusalKind.TOO_LARGE, message, Ran.NOT_RUN)
    if intake.problems:
        message = "no item was taken; mend these lines: " + "; ".join(intake.problems)
        return Refusal(RefusalKind.BAD_REQUEST, message, Ran.NOT_RUN)
    return None
