"""Read results of batch jobs from the node that runs them, and serve them to other nodes.

Clients read every job about twice a second at any node. Each read of the key-value service has a
cost, while the node that runs a job has its results in memory.
"""

import logging
from typing import Any

from parsleyrouter.connection.key_value import KeyValueFailure
from parsleyrouter.connection.peer import PeerClient, PeerFailure, PeerMethods
from parsleyrouter.ids import Address, ItemId, JobId, NodeId
from parsleyrouter.process.cell_members import CellMembers
from parsleyrouter.process.job_directory import JobDirectory
from parsleyrouter.process.job_reader import JobReader
from parsleyrouter.process.loop import Loop
from parsleyrouter.request.job_call import ResultPage
from parsleyrouter.request.shared_job import ItemResult, ItemState, JobRecord
from parsleyrouter.thrift_gen.nodes.ttypes import AskResults, JobResult, JobResults

__all__ = ["PeerResultReader", "add_result_methods"]

REPLY_MARGIN_S = 0.25
"""Timeout of a call beyond its requested wait; the call itself takes milliseconds."""

AVOID_NODE_S = 2.0
"""How long a node that did not answer gets no calls."""

MAX_WAIT_S = 10.0
"""Longest wait of one call for results."""

log = logging.getLogger(__name__)


class PeerResultReader:
    """Read results from the node that runs the job, or else from the key-value service.

    A job that no node is known to have run, such as one from before all nodes were restarted, is
    read through one node, so that the service is asked once.
    """

    def __init__(
        self,
        loop: Loop,
        peers: PeerClient,
        members: CellMembers,
        job_directory: JobDirectory,
        reader: JobReader,
    ) -> None:
        self.loop = loop
        self.peers = peers
        self.members = members
        self.registry = members.registry
        self.job_directory = job_directory
        self.reader = reader
        self.avoided_until_s: dict[NodeId, float] = {}

    async def read(
        self, record: JobRecord, start: int, wait_s: float
    ) -> ResultPage | KeyValueFailure:
        """Return results starting at a position, waiting up to ``wait_s`` for the first one."""
        asked_s = self.loop.now()
        page = self.reader.cached_page(record, start)
        if page is not None:
            return page
        target = self._running_node(record.job)
        if target is not None:
            page = await self._read_from(*target, record, start, wait_s)
            if page is not None:
                return page
        left_s = max(0.0, wait_s - (self.loop.now() - asked_s))
        return await self.reader.read(record, start, left_s)

    def _running_node(self, job: JobId) -> tuple[NodeId, Address] | None:
        """Return the node that runs the job, or ran it last or reads it, unless it is this one."""
        view = self.job_directory.jobs.get(job)
        node = view.owner or view.last_owner if view is not None else None
        if node not in self.registry.nodes:
            node = self.members.first_claimant(job)
        if node is None or node == self.registry.own.node:
            return None
        info = self.registry.nodes.get(node)
        if info is None or self.loop.now() < self.avoided_until_s.get(node, 0.0):
            return None
        return node, info.nodes

    async def _read_from(
        self, node: NodeId, address: Address, record: JobRecord, start: int, wait_s: float
    ) -> ResultPage | None:
        ask = AskResults(job=record.job, start=start, wait_ms=int(wait_s * 1000))
        reply = await self.peers.call(
            address, "jobs.results", ask, JobResults, wait_s + REPLY_MARGIN_S
        )
        reason = reply.message if isinstance(reply, PeerFailure) else reply.refusal
        if isinstance(reply, JobResults) and not reason:
            results = tuple(
                ItemResult(ItemId(one.item), ItemState(one.state), one.output)
                for one in reply.results
            )
            self.reader.add_results(record.job, start, results)
            return ResultPage(record.total, start, results)
        if isinstance(reply, PeerFailure):
            self.peers.close(address)
            self.avoided_until_s[node] = self.loop.now() + AVOID_NODE_S
        fields = {"job": record.job, "node": node, "reason": reason}
        log.info("results read from the service", extra=fields)
        return None


def add_result_methods(
    methods: PeerMethods, job_directory: JobDirectory, reader: JobReader
) -> None:
    """Register the method that serves results to other nodes."""

    @methods.add("jobs.results", AskResults)
    async def results(_: Any, ask: AskResults) -> JobResults:
        view = job_directory.jobs.get(JobId(ask.job))
        if view is None or view.versioned is None:
            return JobResults(refusal="the job is not known here", results=[])
        wait_s = min(ask.wait_ms / 1000, MAX_WAIT_S)
        page = await reader.read(view.versioned.record, ask.start, wait_s)
        if isinstance(page, KeyValueFailure):
            return JobResults(refusal=page.message, results=[])
        rows = [JobResult(one.item, one.state.value, one.output) for one in page.results]
        return JobResults(refusal="", results=rows)
