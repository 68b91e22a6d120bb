"""Store the items of a job as they arrive."""

from collections.abc import AsyncIterator

from parsleyrouter.ids import ChunkName, JobId, PartIndex
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.chunk_client import ChunkClient
from parsleyrouter.process.chunk_folder import ChunkRole
from parsleyrouter.process.part_results import chunk_expiry
from parsleyrouter.request.job_parser import JobParser

__all__ = ["JobInput"]


class JobInput:
    """Write the input chunks of one job, one part at a time."""

    def __init__(self, chunks: ChunkClient, job: JobId, expires_s: int) -> None:
        self.chunks = chunks
        self.job = job
        self.expires_s = expires_s
        self.names: list[ChunkName] = []

    async def store(
        self, parser: JobParser, body: AsyncIterator[bytes]
    ) -> list[ChunkName] | Refusal:
        """Read the body to its end; return the name of each part's chunk."""
        async for data in body:
            refusal = await self._put_parts(parser.feed(data))
            if refusal is not None:
                return refusal
            if parser.should_stop():
                break
        if not parser.should_stop():
            refusal = await self._put_parts(parser.finish())
            if refusal is not None:
                return refusal
        return _refusal(parser) or self.names

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


def _refusal(parser: JobParser) -> Refusal | None:
    if parser.items > parser.limits.job_items:
        message = f"more than {parser.limits.job_items} items: split the job"
        return Refusal(RefusalKind.TOO_LARGE, message, ExecutionStatus.NOT_RUN)
    if parser.problems:
        message = "no item was accepted; fix these lines: " + "; ".join(parser.problems)
        return Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN)
    return None
