"""The batch process: take notices about parts and run those it looks after."""

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
from parsleyrouter.process.part_supervisor import PartKeeper
from parsleyrouter.process.record_store import Held, RecordWrites
from parsleyrouter.process.runner_context import CommitPace, RunnerTools
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
_NUMBERS = itertools.count()


class BatchRunner:
    """Serve a batch process's peers and keep its parts."""

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
        tools = RunnerTools(
            pace=CommitPace(self.limits),
            loop=runtime.loop,
            node=view.self_node().node,
            calls=calls,
            chunks=chunks,
            records=RecordWrites(runtime.loop, kv),
            limits=self.limits,
            times=ItemDurations(self.limits.items_at_once),
            metrics=BatchMetrics.of(runtime.metrics),
            team=self._team,
        )
        self.keeper = PartKeeper(tools, kv, view, runtime.peers)
        self.keeper.on_handed_over = self._tell_home
        channel = f"batch-{next(_NUMBERS)}"
        self.peer = PeerServer(runtime.loop, bind, BATCH_METHODS, self, channel=channel)
        self.peer.register(runtime)
        runtime.loop.call_soon(self.keeper.begin)
        JobExpiry(runtime.loop, kv, view).begin()

    def address(self) -> Address:
        """Return the address that the system chose."""
        return self.peer.bound_address()

    async def stop(self) -> None:
        """Hand all parts over; register it as a stop hook."""
        await self.keeper.stop()

    def _team(self, part: PartRecord) -> TeamSettings:
        return self.view.settings().teams.get(part.team, TeamSettings())

    def _tell_home(self, key: str, held: Held[PartRecord]) -> None:
        """Tell the part's next home, so that it need not wait for its next scan."""
        me = self.view.self_node().node
        others = tuple(info for info in self.view.nodes() if info.node != me)
        home = shard_home(shard_of(key, self.limits.shard_digits), others)
        for info in others:
            if info.node == home:
                message = NewParts([PartNotice(key, held.revision)])
                self.runtime.peers.send_oneway(info.addresses[Service.BATCH], "parts.new", message)


@BATCH_METHODS.add("parts.new", NewParts)
async def new_parts(runner: BatchRunner, request: NewParts) -> None:
    """Look at parts that have been created or changed."""
    for notice in request.parts:
        await runner.keeper.notice(notice.key, notice.revision)


@BATCH_METHODS.add("jobs.cancel", CancelJob)
async def cancel_job(runner: BatchRunner, request: CancelJob) -> CancelAnswer:
    """Stop the parts of a job that run here."""
    return CancelAnswer(runner.keeper.cancel_job(JobId(request.job)))


@BATCH_METHODS.add("parts.running", PartKeys)
async def running_parts(runner: BatchRunner, request: PartKeys) -> PartKeys:
    """Tell which of the parts run here."""
    return PartKeys([key for key in request.keys if key in runner.keeper.runners])
