"""Store the items of a job while they arrive."""

from collections.abc import AsyncIterator

from parsleyrouter.ids import ChunkName, JobId, PartIndex
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.chunk_client import ChunkClient
from parsleyrouter.process.chunk_folder import ChunkRole
from parsleyrouter.process.part_results import chunk_expiry
from parsleyrouter.request.job_parser import JobIntake

__all__ = ["JobInput"]


class JobInput:
    """Write the input chunks of one job, a part at a time."""

    def __init__(self, chunks: ChunkClient, job: JobId, expires_s: int) -> None:
        self.chunks = chunks
        self.job = job
        self.expires_s = expires_s
        self.names: list[ChunkName] = []

    async def take(
        self, intake: JobIntake, body: AsyncIterator[bytes]
    ) -> list[ChunkName] | Refusal:
        """Read the whole body; return the chunk of each part."""
        async for data in body:
            refusal = await self._keep(intake.feed(data))
            if refusal is not None:
                return refusal
            if intake.too_many():
                break
        if not intake.too_many():
            refusal = await self._keep(intake.finish())
            if refusal is not None:
                return refusal
        return _refusal(intake) or self.names

    async def _keep(self, parts: list[bytes]) -> Refusal | None:
        for data in parts:
            part = PartIndex(len(self.names))
            name = await self.chunks.put(
                self.job, part, ChunkRole.INPUT, data, chunk_expiry(self.expires_s)
            )
            if isinstance(name, Refusal):
                return name
            self.names.append(name)
        return None


def _refusal(intake: JobIntake) -> Refusal | None:
    if intake.items > intake.limits.job_items:
        message = f"more than {intake.limits.job_items} items: split the job"
        return Refusal(RefusalKind.TOO_LARGE, message, ExecutionStatus.NOT_RUN)
    if intake.problems:
        message = "no item was taken; mend these lines: " + "; ".join(intake.problems)
        return Refusal(RefusalKind.BAD_REQUEST, message, ExecutionStatus.NOT_RUN)
    return None
