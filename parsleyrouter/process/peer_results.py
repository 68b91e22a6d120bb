"""Read results of batch jobs from the node that runs them, and answer other nodes that ask.

Answers the load of readers: clients read every job about twice a second at any node, and each
read of the service is paid for, while the node that runs a job knows its results.
"""

import logging
from typing import Any

from parsleyrouter.connection.key_value import KeyValueFailure
from parsleyrouter.connection.peer import PeerClient, PeerFailure, PeerMethods
from parsleyrouter.ids import Address, ItemId, JobId, NodeId
from parsleyrouter.process.job_directory import JobDirectory
from parsleyrouter.process.job_reader import JobReader
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.node_registry import NodeRegistry
from parsleyrouter.request.job_call import ResultPage
from parsleyrouter.request.shared_job import ItemResult, ItemState, JobRecord
from parsleyrouter.thrift_gen.nodes.ttypes import AskResults, JobResult, JobResults

__all__ = ["JobPeers", "add_job_methods"]

ANSWER_S = 0.25
"""Time beyond the wait in which the other node must answer; a call takes milliseconds."""

AVOID_S = 2.0
"""How long a node that did not answer is asked nothing."""

log = logging.getLogger(__name__)


class JobPeers:
    """Read results where they are known first; fall back to the key-value service."""

    def __init__(
        self,
        loop: Loop,
        peers: PeerClient,
        registry: NodeRegistry,
        job_directory: JobDirectory,
        reader: JobReader,
    ) -> None:
        self.loop = loop
        self.peers = peers
        self.registry = registry
        self.job_directory = job_directory
        self.reader = reader
        self.avoided_s: dict[NodeId, float] = {}

    async def read(
        self, record: JobRecord, start: int, wait_s: float
    ) -> ResultPage | KeyValueFailure:
        """Return results from a position on, waiting up to ``wait_s`` for the first one."""
        asked_s = self.loop.now()
        page = self.reader.known(record, start)
        if page is not None:
            return page
        target = self._target(record.job)
        if target is not None:
            page = await self._ask(*target, record, start, wait_s)
            if page is not None:
                return page
        left_s = max(0.0, wait_s - (self.loop.now() - asked_s))
        return await self.reader.read(record, start, left_s)

    def _target(self, job: JobId) -> tuple[NodeId, Address] | None:
        """Return the node that runs the job, or ran it last, if it is another one."""
        view = self.job_directory.jobs.get(job)
        node = view.owner or view.last_owner if view is not None else None
        if node is None or node == self.registry.own.node:
            return None
        info = self.registry.nodes.get(node)
        if info is None or self.loop.now() < self.avoided_s.get(node, 0.0):
            return None
        return node, info.nodes

    async def _ask(
        self, node: NodeId, address: Address, record: JobRecord, start: int, wait_s: float
    ) -> ResultPage | None:
        ask = AskResults(job=record.job, start=start, wait_ms=int(wait_s * 1000))
        answer = await self.peers.call(address, "jobs.results", ask, JobResults, wait_s + ANSWER_S)
        reason = answer.message if isinstance(answer, PeerFailure) else answer.refusal
        if isinstance(answer, JobResults) and not reason:
            results = tuple(
                ItemResult(ItemId(one.item), ItemState(one.state), one.output)
                for one in answer.results
            )
            self.reader.feed(record.job, start, results)
            return ResultPage(record.total, start, results)
        if isinstance(answer, PeerFailure):
            self.peers.close(address)
            self.avoided_s[node] = self.loop.now() + AVOID_S
        fields = {"job": record.job, "node": node, "reason": reason}
        log.info("results read from the service", extra=fields)
        return None


def add_job_methods(methods: PeerMethods, job_directory: JobDirectory, reader: JobReader) -> None:
    """Answer other nodes' readers."""

    @methods.add("jobs.results", AskResults)
    async def results(_: Any, ask: AskResults) -> JobResults:
        view = job_directory.jobs.get(JobId(ask.job))
        if view is None or view.kept is None:
            return JobResults(refusal="the job is not known here", results=[])
        page = await reader.read(view.kept.record, ask.start, ask.wait_ms / 1000)
        if isinstance(page, KeyValueFailure):
            return JobResults(refusal=page.message, results=[])
        rows = [JobResult(one.item, one.state.value, one.output) for one in page.results]
        return JobResults(refusal="", results=rows)
