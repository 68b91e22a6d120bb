"""Steps for parts whose record names a live owner that does not run them."""

from typing import Any

from behave import given, then, when

from features.support.loop import run_on_loop
from parsleyrouter.connection.peer import PeerMethods, PeerServer
from parsleyrouter.ids import (
    Address,
    ChunkName,
    DomainName,
    Epoch,
    JobId,
    KindName,
    NodeId,
    PartIndex,
    Revision,
    TeamName,
)
from parsleyrouter.process.fleet_view import NodeInfo, Service, StaticFleetView
from parsleyrouter.process.job_keys import part_key, shard_of
from parsleyrouter.process.job_records import PartPhase, PartRecord
from parsleyrouter.process.part_claims import Step
from parsleyrouter.process.part_owner_check import PartOwnerCheck
from parsleyrouter.process.part_table import PartTable
from parsleyrouter.process.record_store import VersionedRecord
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.jobs.ttypes import PartKeys

HOME = NodeId("home")
OWNER = NodeId("owner")
LATER_S = 10.0


@given("a part whose record names a live owner")
def part_of_live_owner(context: Any) -> None:
    context.record = PartRecord(
        job=JobId("job"),
        team=TeamName("team"),
        kind=KindName("kind"),
        part=PartIndex(0),
        first=0,
        items=10,
        input=ChunkName("input"),
        deadline_s=0.0,
        expires_s=0,
        phase=PartPhase.RUNNING,
        epoch=Epoch(1),
        owner=OWNER,
    )
    context.key = part_key(context.record.job, context.record.part)


@when("the owner is asked and does not run the part")
def asked_not_running(context: Any) -> None:
    context.step = _ask(context, running=False, changes=False)


@when("the owner is asked and runs the part")
def asked_running(context: Any) -> None:
    context.step = _ask(context, running=True, changes=False)


@when("the record changes while the owner is asked")
def asked_while_changing(context: Any) -> None:
    context.step = _ask(context, running=False, changes=True)


@when("a process that has just started and knows no other node looks at it")
def fresh_process(context: Any) -> None:
    context.part_table = PartTable(HOME, 1, owner_timeout_s=1000)
    context.part_table.home_shards = frozenset({shard_of(context.key, 1)})
    context.part_table.live = frozenset({HOME})
    context.part_table.view_complete = False
    context.part_table.learn(context.key, VersionedRecord(context.record, Revision(7)), 0.0)
    context.step = context.part_table.step(context.key, 1.0, running_here=False)


@when("it has had time to learn of all nodes")
def settled_process(context: Any) -> None:
    context.part_table.view_complete = True
    context.step = context.part_table.step(context.key, 4.0, running_here=False)


@then("the home node of the part claims it")
def claims(context: Any) -> None:
    assert context.step is Step.CLAIM, context.step


@then("the home node of the part does not claim it")
def leaves_alone(context: Any) -> None:
    assert context.step is Step.WATCH, context.step


def _ask(context: Any, *, running: bool, changes: bool) -> Step:
    async def main(runtime: Runtime) -> Step:
        methods = PeerMethods()

        @methods.add("parts.running", PartKeys)
        async def answer(_: Any, request: PartKeys) -> PartKeys:
            if changes:
                table.learn(
                    context.key, VersionedRecord(context.record, Revision(8)), runtime.loop.now()
                )
            return PartKeys(request.keys if running else [])

        server = PeerServer(runtime.loop, Address("127.0.0.1:0"), methods, None)
        server.register(runtime)
        owner = NodeInfo(OWNER, DomainName("b"), {Service.BATCH: server.bound_address()})
        view = StaticFleetView(NodeInfo(HOME, DomainName("a"), {}), (owner,))
        table = PartTable(HOME, 1, owner_timeout_s=1000)
        table.home_shards = frozenset({shard_of(context.key, 1)})
        table.live = frozenset({HOME, OWNER})
        now = runtime.loop.now()
        table.learn(context.key, VersionedRecord(context.record, Revision(7)), now - LATER_S)
        assert table.step(context.key, now, running_here=False) is Step.WATCH
        owners = PartOwnerCheck(runtime.loop, runtime.peers, view, table)
        owners.last_asked_s = now - LATER_S
        owners.run_if_due()
        while owners.asking:
            await runtime.loop.sleep(0.01)
        return table.step(context.key, runtime.loop.now(), running_here=False)

    return run_on_loop(main)
