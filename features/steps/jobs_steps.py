"""Steps for accepting, reading and cancelling batch jobs."""

import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from behave import given, then, when
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from features.support.batch_fleet import (
    TEAM,
    TEAM_SETTINGS,
    BatchFleet,
    item_line,
    job_body,
    pieces,
    read_all,
    spec,
)
from features.support.loop import run_on_loop
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.job_keys import JOB_PREFIX, PART_PREFIX
from parsleyrouter.process.job_port import JobState, JobStatus
from parsleyrouter.process.job_usage import JobExpiry, read_usage
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.key_value_faults import CallFault, CallKind
from parsleyrouter.standins.memory_key_value import MemoryKeyValue
from parsleyrouter.version.schema import LimitSettings
from parsleyrouter.version.snapshot import SettingsSnapshot


def run_fleet(context: Any, main: Callable[[BatchFleet], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine with a new fleet of the scenario's size."""

    async def start(runtime: Runtime) -> Any:
        # Threads of the fleet may still write to the folder while it is removed.
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
            return await main(BatchFleet(runtime, Path(folder), **context.fleet))

    return run_on_loop(start)


@given("a batch fleet with {stores:d} disk VMs and {nodes:d} nodes")
def fleet_size(context: Any, stores: int, nodes: int) -> None:
    context.fleet = {"stores": stores, "nodes": nodes}


@when("a job of {items:d} items is submitted and ends")
def job_ends(context: Any, items: int) -> None:
    async def main(fleet: BatchFleet) -> None:
        job_service = fleet.nodes["n0"].job_service
        status = await job_service.submit(spec(), pieces(job_body(items)))
        assert isinstance(status, JobStatus), status
        context.status = await fleet.ended(job_service, status.job)
        context.results = await read_all(job_service, status.job)
        await fleet.until(lambda: not part_keys(fleet))
        context.part_keys = part_keys(fleet)
        context.dispatched = fleet.dispatched

    run_fleet(context, main)


def part_keys(fleet: BatchFleet) -> list[str]:
    """Return the keys of all part records."""
    return [key for key in fleet.store.keys if key.startswith(PART_PREFIX)]


@then("the job's results are those of its {items:d} items in order")
def results_whole(context: Any, items: int) -> None:
    assert context.status.state is JobState.COMPLETED, context.status
    assert [line["index"] for line in context.results] == list(range(items))
    assert [line["custom_id"] for line in context.results] == [f"c{n}" for n in range(items)]
    assert {line["outcome"] for line in context.results} == {"ok"}
    assert set(context.dispatched.values()) == {1}


@then("the job's part records are gone")
def parts_gone(context: Any) -> None:
    assert context.part_keys == []


@when("a job with invalid lines is submitted")
def bad_lines(context: Any) -> None:
    body = b"".join(
        [
            item_line(0),
            b"{not json\n",
            item_line(1).replace(b"/v1/chat/completions", b"/v1/other"),
            item_line(0),
            item_line(2).replace(b'"model": "m"', b'"model": 5'),
        ]
    )

    async def main(fleet: BatchFleet) -> None:
        context.refusal = await fleet.nodes["n0"].job_service.submit(spec(), pieces(body, 7))
        context.keys = list(fleet.store.keys)
        context.dispatched = dict(fleet.dispatched)

    run_fleet(context, main)


@then("the refusal names the invalid lines and nothing of the job is recorded or run")
def lines_named(context: Any) -> None:
    refusal = context.refusal
    assert isinstance(refusal, Refusal), refusal
    assert refusal.kind is RefusalKind.BAD_REQUEST
    assert refusal.ran is ExecutionStatus.NOT_RUN
    for line in (2, 3, 4, 5):
        assert f"line {line}:" in refusal.message, refusal.message
    assert "line 1:" not in refusal.message
    assert context.keys == []
    assert context.dispatched == {}


@when("a job is submitted to two entries at once and again after it has ended")
def send_twice(context: Any) -> None:
    async def main(fleet: BatchFleet) -> None:
        desks = [node.job_service for node in fleet.nodes.values()]
        body = job_body(2500)
        tasks = [
            fleet.runtime.loop.spawn(job_service.submit(spec(), pieces(body)))
            for job_service in desks
        ]
        context.answers = await fleet.runtime.loop.gather(tasks)
        await fleet.ended(desks[0], context.answers[0].job)
        context.answers.append(await desks[1].submit(spec(), pieces(body, 999)))
        context.results = await read_all(desks[1], context.answers[0].job)
        context.dispatched = fleet.dispatched

    run_fleet(context, main)


@then("the answers name one job and each item was dispatched once")
def one_job(context: Any) -> None:
    assert all(isinstance(answer, JobStatus) for answer in context.answers), context.answers
    assert len({answer.job for answer in context.answers}) == 1
    assert context.answers[-1].state is JobState.COMPLETED
    assert [line["index"] for line in context.results] == list(range(2500))
    assert len(context.dispatched) == 2500
    assert set(context.dispatched.values()) == {1}


@when("a job is submitted and then other items with its key")
def other_content(context: Any) -> None:
    async def main(fleet: BatchFleet) -> None:
        job_service = fleet.nodes["n0"].job_service
        assert isinstance(await job_service.submit(spec(), pieces(job_body(3))), JobStatus)
        context.refusal = await job_service.submit(spec(), pieces(job_body(4)))

    run_fleet(context, main)


@then("the second job is refused as a conflict that was not run")
def is_conflict(context: Any) -> None:
    assert isinstance(context.refusal, Refusal)
    assert context.refusal.kind is RefusalKind.CONFLICT
    assert context.refusal.ran is ExecutionStatus.NOT_RUN


@when("a job is submitted while replies of the key-value service are lost")
def lost_replies(context: Any) -> None:
    async def main(fleet: BatchFleet) -> None:
        node = fleet.nodes["n0"]
        turn = [0]

        def script(kind: CallKind, key: str) -> CallFault:
            turn[0] += kind is CallKind.SWAP
            lost = kind is CallKind.SWAP and turn[0] % 2
            return CallFault.LOST_AFTER if lost else CallFault.NONE

        node.faults.script = script
        status = await node.job_service.submit(spec(), pieces(job_body(2500)))
        assert isinstance(status, JobStatus), status
        context.status = await fleet.ended(node.job_service, status.job)
        context.results = await read_all(node.job_service, status.job)
        context.dispatched = fleet.dispatched

    run_fleet(context, main)


@when("the key-value service fails after any number of writes of a submission")
def halfway(context: Any) -> None:
    context.runs = []

    @settings(max_examples=12)
    @examples(st.integers(0, 5), st.sampled_from([CallFault.UNAVAILABLE, CallFault.LOST_AFTER]))
    def check(writes: int, fault: CallFault) -> None:
        async def main(fleet: BatchFleet) -> None:
            node = fleet.nodes["n0"]
            left = [writes]

            def script(kind: CallKind, key: str) -> CallFault:
                if kind in (CallKind.SWAP, CallKind.DELETE):
                    left[0] -= 1
                return fault if left[0] < 0 else CallFault.NONE

            node.faults.script = script
            first = await node.job_service.submit(spec(), pieces(job_body(5000)))
            await fleet.runtime.loop.sleep(0.05)
            node.faults.script = None
            not_run = isinstance(first, Refusal) and first.ran is ExecutionStatus.NOT_RUN
            early = sum(fleet.dispatched.values()) if not_run else 0
            status = await node.job_service.submit(spec(), pieces(job_body(5000)))
            assert isinstance(status, JobStatus), status
            await fleet.ended(node.job_service, status.job)
            results = await read_all(node.job_service, status.job)
            context.runs.append((early, results, max(fleet.dispatched.values())))

        run_fleet(context, main)

    check()


@then("nothing ran before the resend and afterwards each item has one result")
def resend_completes(context: Any) -> None:
    assert context.runs
    for early, results, most in context.runs:
        assert early == 0
        assert [line["index"] for line in results] == list(range(5000))
        assert most == 1


@when("a running job is cancelled")
def cancel_running(context: Any) -> None:
    async def main(fleet: BatchFleet) -> None:
        for node in fleet.nodes.values():
            node.calls.time_s = 0.05
        job_service = fleet.nodes["n0"].job_service
        status = await job_service.submit(spec(), pieces(job_body(4000)))
        await fleet.until(lambda: sum(fleet.dispatched.values()) > 500)
        context.before = await read_all(job_service, status.job)
        while not context.before:
            await fleet.runtime.loop.sleep(0.02)
            context.before = await read_all(job_service, status.job)
        answer = await job_service.cancel(TEAM, status.job)
        assert isinstance(answer, JobStatus), answer
        assert answer.state is JobState.CANCELLED
        context.at_cancel = sum(fleet.dispatched.values())
        context.running = sum(node.calls.running for node in fleet.nodes.values())
        await fleet.ended(job_service, status.job)
        await fleet.runtime.loop.sleep(0.3)
        context.later = sum(fleet.dispatched.values())
        context.after = await read_all(job_service, status.job)

    run_fleet(context, main)


@then("no item is dispatched after the cancel and each item has one result")
def stopped(context: Any) -> None:
    assert context.running == 0
    assert context.later == context.at_cancel < 4000
    assert [line["index"] for line in context.after] == list(range(4000))
    outcomes = {line["outcome"] for line in context.after}
    assert outcomes == {"ok", "cancelled"}, outcomes


@then("committed results are unchanged by the cancel")
def unchanged(context: Any) -> None:
    assert context.before
    assert context.after[: len(context.before)] == context.before


@when("the results of a running job are read page by page")
def read_running(context: Any) -> None:
    async def main(fleet: BatchFleet) -> None:
        node = fleet.nodes["n0"]
        node.calls.time_s = 0.03
        status = await node.job_service.submit(spec(), pieces(job_body(2000)))
        context.pages = []
        offset = 0
        while offset < 2000:
            page = await node.job_service.results(TEAM, status.job, offset, 20_000)
            assert not isinstance(page, Refusal), page
            context.pages.append((offset, page))
            offset = page.next_offset
            await fleet.runtime.loop.sleep(0.02)
        context.whole = await node.job_service.results(TEAM, status.job, 0, 10_000_000)

    run_fleet(context, main)


@then("each page continues the last one and no result changes")
def pages_join(context: Any) -> None:
    filled = [page for _, page in context.pages if page.lines]
    assert len(filled) > 3
    assert b"".join(page.lines for page in filled) == context.whole.lines
    assert context.whole.next_offset == 2000
    assert context.whole.complete


@when("jobs end and their records expire while writes and replies are lost")
def expire_jobs(context: Any) -> None:
    context.usages = []

    @settings(max_examples=8)
    @examples(st.lists(st.sampled_from(list(CallFault)), max_size=8))
    def check(faults: list[CallFault]) -> None:
        async def main(fleet: BatchFleet) -> None:
            node = fleet.nodes["n0"]
            for key in ("k1", "k2", "k3"):
                status = await node.job_service.submit(spec(key), pieces(job_body(20)))
                await fleet.ended(node.job_service, status.job)
            left = list(faults)
            kv = MemoryKeyValue(fleet.runtime.loop, store=fleet.store)
            kv.faults.script = lambda kind, key: left.pop() if left else CallFault.NONE
            expiry = JobExpiry(fleet.runtime.loop, kv, node.view)
            before = await read_usage(node.job_service.kv, TEAM)
            for _ in range(len(faults) + 2):
                await expiry.expire(4e9)
            after = await read_usage(node.job_service.kv, TEAM)
            kept = [key for key in fleet.store.keys if key.startswith(JOB_PREFIX)]
            context.usages.append((before, after, kept))

        run_fleet(context, main)

    check()


@then("the team's usage is that of all items once and no job record is left")
def usage_once(context: Any) -> None:
    assert context.usages
    for before, after, kept in context.usages:
        assert kept == []
        assert before.tally == after.tally
        assert (after.tally.ok, after.tally.prompt_tokens, after.tally.output_tokens) == (
            60,
            120,
            180,
        )


@when("a team allowed one open job submits a second job and resends the first")
def over_limit(context: Any) -> None:
    async def main(fleet: BatchFleet) -> None:
        node = fleet.nodes["n0"]
        node.calls.time_s = 5.0
        limits = LimitSettings(batch_jobs_open=1)
        team = TEAM_SETTINGS.model_copy(update={"limits": limits})
        node.view.set(snapshot=SettingsSnapshot(teams={TEAM: team}))
        keys = ("k1", "k2", "k1")
        context.answers = [
            await node.job_service.submit(spec(key), pieces(job_body(3))) for key in keys
        ]

    run_fleet(context, main)


@then("the second is refused as not run and the resend refers to the first")
def limit_held(context: Any) -> None:
    first, second, again = context.answers
    assert isinstance(second, Refusal)
    assert second.kind is RefusalKind.TOO_MANY
    assert second.ran is ExecutionStatus.NOT_RUN
    assert isinstance(first, JobStatus)
    assert again.job == first.job


@when("the key-value service goes down after one job has ended and another is half done")
def read_in_outage(context: Any) -> None:
    async def main(fleet: BatchFleet) -> None:
        desks = [node.job_service for node in fleet.nodes.values()]
        done = await desks[0].submit(spec("done"), pieces(job_body(2500)))
        await fleet.ended(desks[0], done.job)
        context.whole = await read_all(desks[0], done.job)
        for node in fleet.nodes.values():
            node.calls.time_s = 0.1
        half = await desks[0].submit(spec("half"), pieces(job_body(2000)))
        context.half = []
        while not context.half:
            await fleet.runtime.loop.sleep(0.05)
            context.half = await read_all(desks[0], half.job)
        for node in fleet.nodes.values():
            node.faults.outage = True
        context.done_reads = [await read_all(job_service, done.job) for job_service in desks]
        context.half_read = await read_all(desks[0], half.job)
        context.refusal = await desks[0].submit(spec("new"), pieces(job_body(3)))

    run_fleet(context, main)


@then("the ended job reads the same at both entries and the half done one where it was read")
def outage_reads(context: Any) -> None:
    assert len(context.whole) == 2500
    assert context.done_reads == [context.whole, context.whole]
    assert context.half
    assert context.half_read == context.half


@then("a new job is refused as not run")
def refused_in_outage(context: Any) -> None:
    assert isinstance(context.refusal, Refusal)
    assert context.refusal.kind is RefusalKind.PLATFORM_UNAVAILABLE
    assert context.refusal.ran is ExecutionStatus.NOT_RUN


@when("a job is submitted whose items take longer than its deadline allows")
def late_job(context: Any) -> None:
    async def main(fleet: BatchFleet) -> None:
        node = fleet.nodes["n0"]
        node.calls.time_s = 0.5
        submitted = await node.job_service.submit(spec(deadline_in_s=10.0), pieces(job_body(2000)))
        context.reports = []
        while time.time() < submitted.deadline_s and not any(late for _, late in context.reports):
            await fleet.runtime.loop.sleep(0.1)
            status = await node.job_service.status(TEAM, submitted.job)
            context.reports.append((time.time() < status.deadline_s, status.late))

    run_fleet(context, main)


@then("its status says late while the deadline is still ahead")
def reported_late(context: Any) -> None:
    assert (True, True) in context.reports, context.reports[-3:]
