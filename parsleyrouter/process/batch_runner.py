"""The batch process: receive part notices and run the parts of its home shards."""

import itertools

from parsleyrouter.connection.key_value import KeyValue
from parsleyrouter.connection.peer import PeerMethods, PeerServer
from parsleyrouter.ids import Address, JobId
from parsleyrouter.process.batch_limits import BatchLimits
from parsleyrouter.process.batch_metrics import BatchMetrics
from parsleyrouter.process.call_port import CallExecutor
from parsleyrouter.process.chunk_client import ChunkClient
from parsleyrouter.process.fleet_view import FleetView, Service
from parsleyrouter.process.item_durations import ItemDurations
from parsleyrouter.process.job_keys import shard_home, shard_of
from parsleyrouter.process.job_records import PartRecord
from parsleyrouter.process.job_usage import JobExpiry
from parsleyrouter.process.part_supervisor import PartSupervisor
from parsleyrouter.process.record_store import RecordStore, VersionedRecord
from parsleyrouter.process.runner_context import CommitPace, RunnerContext
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.jobs.ttypes import (
    CancelAnswer,
    CancelJob,
    NewParts,
    PartKeys,
    PartNotice,
)
from parsleyrouter.version.schema import TeamSettings

__all__ = ["BATCH_METHODS", "BatchRunner"]

BATCH_METHODS = PeerMethods()
_channel_numbers = itertools.count()


class BatchRunner:
    """Serve the peers of a batch process and supervise its parts."""

    def __init__(
        self,
        runtime: Runtime,
        bind: Address,
        kv: KeyValue,
        chunks: ChunkClient,
        view: FleetView,
        calls: CallExecutor,
        *,
        limits: BatchLimits | None = None,
    ) -> None:
        self.runtime = runtime
        self.view = view
        self.limits = limits or BatchLimits()
        context = RunnerContext(
            pace=CommitPace(self.limits),
            loop=runtime.loop,
            node=view.self_node().node,
            calls=calls,
            chunks=chunks,
            records=RecordStore(runtime.loop, kv),
            limits=self.limits,
            times=ItemDurations(self.limits.items_at_once),
            metrics=BatchMetrics.of(runtime.metrics),
            team_settings=self._team_settings,
        )
        self.supervisor = PartSupervisor(context, kv, view, runtime.peers)
        self.supervisor.on_handed_over = self._notify_home_node
        channel = f"batch-{next(_channel_numbers)}"
        self.peer = PeerServer(runtime.loop, bind, BATCH_METHODS, self, channel=channel)
        self.peer.register(runtime)
        runtime.loop.call_soon(self.supervisor.start)
        JobExpiry(runtime.loop, kv, view).start()

    def address(self) -> Address:
        """Return the address chosen by the operating system."""
        return self.peer.bound_address()

    async def stop(self) -> None:
        """Hand over all parts; to be registered as a stop hook."""
        await self.supervisor.stop()

    def _team_settings(self, part: PartRecord) -> TeamSettings:
        return self.view.settings().teams.get(part.team, TeamSettings())

    def _notify_home_node(self, key: str, versioned: VersionedRecord[PartRecord]) -> None:
        """Notify the part's next home node, which would otherwise find it only at its next scan."""
        me = self.view.self_node().node
        others = tuple(info for info in self.view.nodes() if info.node != me)
        home = shard_home(shard_of(key, self.limits.shard_digits), others)
        for info in others:
            if info.node == home:
                message = NewParts([PartNotice(key, versioned.revision)])
                self.runtime.peers.send_oneway(info.addresses[Service.BATCH], "parts.new", message)


@BATCH_METHODS.add("parts.new", NewParts)
async def new_parts(runner: BatchRunner, request: NewParts) -> None:
    """Refresh parts that were created or changed."""
    for notice in request.parts:
        await runner.supervisor.on_notice(notice.key, notice.revision)


@BATCH_METHODS.add("jobs.cancel", CancelJob)
async def cancel_job(runner: BatchRunner, request: CancelJob) -> CancelAnswer:
    """Stop the parts of a job that run on this node."""
    return CancelAnswer(runner.supervisor.cancel_job(JobId(request.job)))


@BATCH_METHODS.add("parts.running", PartKeys)
async def running_parts(runner: BatchRunner, request: PartKeys) -> PartKeys:
    """Return which of the given parts run on this node."""
    return PartKeys([key for key in request.keys if key in runner.supervisor.runners])
