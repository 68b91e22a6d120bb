"""Steps for the grant client with real schedulers."""

from typing import Any

from behave import given, then, when

from features.support.loop import run_on_loop
from features.support.sharing import SmallFleet, engine
from parsleyrouter.outcome import ExecutionStatus, Refusal
from parsleyrouter.process.grant_port import CallResult, Grant
from parsleyrouter.process.grants import GrantOptions
from parsleyrouter.process.held_grants import BATCH_LEASE_S
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.slot_events import SlotUsage
from parsleyrouter.version.snapshot import SettingsSnapshot

LONG_TIMEOUT = GrantOptions(answer_s=5.0)
"""Long enough that a busy machine is not mistaken for an unresponsive scheduler."""


async def _start(runtime: Runtime, slots: int, options: GrantOptions | None) -> SmallFleet:
    fleet = SmallFleet(runtime, {"e1": engine(slots)})
    fleet.add_scheduler("n1")
    fleet.add_client("c1", options)
    await runtime.loop.sleep(0.05)
    fleet.publish()
    await runtime.loop.sleep(0.05)
    return fleet


@given("a grant fleet with one endpoint of {slots:d} slot")
@given("a grant fleet with one endpoint of {slots:d} slots")
def one_endpoint(context: Any, slots: int) -> None:
    context.slots = slots


@when("a batch request holds the slot and an online request arrives")
def request_online(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, LONG_TIMEOUT)
        client = fleet.clients[0]
        revoked = runtime.loop.promise()
        batch = await client.acquire(fleet.request(batch=True), lambda: revoked.resolve(None))
        assert isinstance(batch, Grant), batch
        waiting = runtime.loop.spawn(client.acquire(fleet.request()))
        await runtime.loop.within(10, revoked)
        before = waiting.done
        client.release(batch, CallResult(ok=False))
        online = await runtime.loop.within(10, waiting)
        return before, online, len(fleet.schedulers[0].tables["e1"].held)

    context.outcome = run_on_loop(main)


@then("the batch holder is told to release the slot and the online request gets it")
def online_granted(context: Any) -> None:
    before, online, held = context.outcome
    assert not before
    assert isinstance(online, Grant) and not online.local
    assert held == 1, held


@when("the scheduler of the grant fleet hangs")
def hang_scheduler(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, GrantOptions(local_slots=2))
        client = fleet.clients[0]

        async def no_answer(*_: Any) -> None:
            await runtime.loop.promise()

        for name, (kind, _) in list(fleet.schedulers[0].methods.methods.items()):
            fleet.schedulers[0].methods.methods[name] = (kind, no_answer)
        first = await client.acquire(fleet.request())
        second = await client.acquire(fleet.request())
        third = await client.acquire(fleet.request(deadline_in_s=0.5))
        client.release(first, CallResult(ok=True))
        fourth = await client.acquire(fleet.request())
        batch = await client.acquire(fleet.request(batch=True, deadline_in_s=0.5))
        return [first, second, fourth], third, batch

    context.outcome = run_on_loop(main)


@then("online requests are dispatched only within the limit of local grants")
def within_local_limit(context: Any) -> None:
    granted, refused, _ = context.outcome
    assert all(isinstance(grant, Grant) and grant.local for grant in granted), granted
    assert isinstance(refused, Refusal) and refused.ran is ExecutionStatus.NOT_RUN, refused


@then("batch requests are refused as not run")
def batch_refused(context: Any) -> None:
    batch = context.outcome[2]
    assert isinstance(batch, Refusal) and batch.ran is ExecutionStatus.NOT_RUN, batch


@when("the answer to a slot request is delayed beyond the answer timeout")
def delay_answer(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, GrantOptions(answer_s=0.05))
        client, scheduler = fleet.clients[0], fleet.schedulers[0]
        request_type, handle_request = scheduler.methods.methods["grant.ask"]

        async def answer_slowly(extra: Any, message: Any) -> Any:
            answer = await handle_request(extra, message)
            await runtime.loop.sleep(0.4)
            return answer

        async def discard(*_: Any) -> None:
            return None

        release = scheduler.methods.methods["grant.release"]
        scheduler.methods.methods["grant.ask"] = (request_type, answer_slowly)
        scheduler.methods.methods["grant.release"] = (release[0], discard)
        granted = await client.acquire(fleet.request())
        await runtime.loop.sleep(0.1)
        scheduler.methods.methods["grant.release"] = release
        table = scheduler.tables["e1"]
        before = len(table.held)
        late = next(iter(table.held))
        for _ in range(50):
            await runtime.loop.sleep(0.1)
            if client.metrics.late._value.get() and late not in table.held:
                break
        return granted, before, client.metrics.late._value.get(), late in table.held

    context.outcome = run_on_loop(main)


@then("the late grant is released and never used")
def late_grant_released(context: Any) -> None:
    granted, before, late, held = context.outcome
    assert isinstance(granted, Grant) and granted.local, granted
    assert before == 1 and late == 1, (before, late)
    assert not held


@when("a request that waits in the queue is cancelled")
def cancel_waiting_request(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, LONG_TIMEOUT)
        client, table = fleet.clients[0], fleet.schedulers[0].tables["e1"]
        first = await client.acquire(fleet.request())
        cancelled = runtime.loop.spawn(client.acquire(fleet.request()))
        next_request = runtime.loop.spawn(client.acquire(fleet.request()))
        await _wait_until(runtime, lambda: len(table.online_queue) == 2)
        cancelled.cancel()
        await _wait_until(runtime, lambda: len(table.online_queue) == 1)
        waiting = len(table.online_queue)
        client.release(first, CallResult(ok=True))
        return waiting, await runtime.loop.within(10, next_request)

    context.outcome = run_on_loop(main)


async def _wait_until(runtime: Runtime, condition: Any, limit_s: float = 10.0) -> bool:
    until_s = runtime.loop.now() + limit_s
    while not condition() and runtime.loop.now() < until_s:
        await runtime.loop.sleep(0.02)
    return bool(condition())


@then("the home scheduler drops the request and grants the slot to the next one")
def request_dropped(context: Any) -> None:
    waiting, grant = context.outcome
    assert waiting == 1, waiting
    assert isinstance(grant, Grant), grant


@when("a batch grant is revoked before its answer has arrived")
def revoke_before_answer(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, LONG_TIMEOUT)
        client, scheduler = fleet.clients[0], fleet.schedulers[0]
        request_type, handle_request = scheduler.methods.methods["grant.ask"]

        async def answer_slowly(extra: Any, message: Any) -> Any:
            answer = await handle_request(extra, message)
            if message.batch:
                await runtime.loop.sleep(0.3)
            return answer

        scheduler.methods.methods["grant.ask"] = (request_type, answer_slowly)
        notified: list[bool] = []
        request = fleet.request(batch=True, deadline_in_s=1.0)
        batch = runtime.loop.spawn(client.acquire(request, lambda: notified.append(True)))
        await _wait_until(runtime, lambda: scheduler.tables["e1"].held)
        online = await runtime.loop.within(10, runtime.loop.spawn(client.acquire(fleet.request())))
        return online, await batch, notified

    context.outcome = run_on_loop(main)


@then("the grant is not used and the slot becomes free")
def grant_unused(context: Any) -> None:
    online, batch, notified = context.outcome
    assert isinstance(online, Grant), online
    assert isinstance(batch, Refusal) and not notified, (batch, notified)


@when("the home scheduler of a batch grant hangs for longer than the lease")
def hang_renewals(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, LONG_TIMEOUT)
        client, scheduler = fleet.clients[0], fleet.schedulers[0]
        notified: list[str] = []
        await client.acquire(fleet.request(batch=True), lambda: notified.append("batch"))
        await client.acquire(fleet.request(), lambda: notified.append("online"))
        await runtime.loop.sleep(1.0)
        early = list(notified)

        async def no_answer(*_: Any) -> None:
            await runtime.loop.promise()

        request_type = scheduler.methods.methods["grant.renew"][0]
        scheduler.methods.methods["grant.renew"] = (request_type, no_answer)
        await _wait_until(runtime, lambda: notified)
        return early, notified, len(scheduler.tables["e1"].held)

    context.outcome = run_on_loop(main)


@then("the batch holder is notified within the lease and the online holder continues")
def notified_within_lease(context: Any) -> None:
    early, notified, held = context.outcome
    assert early == [] and notified == ["batch"], (early, notified)
    assert held == 2, "the home expired the grant before the holder was notified"


@when("the home scheduler of a batch grant reports that it has ended")
def end_grant(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, LONG_TIMEOUT)
        client, scheduler = fleet.clients[0], fleet.schedulers[0]
        notified: list[float] = []
        grant = await client.acquire(
            fleet.request(batch=True), lambda: notified.append(runtime.loop.now())
        )
        assert isinstance(grant, Grant)
        scheduler.tables["e1"].release(grant.grant, SlotUsage(ok=False), runtime.loop.now())
        await _wait_until(runtime, lambda: notified)
        held = client.held.held[grant.grant]
        return notified, held.renewed_s

    context.outcome = run_on_loop(main)


@then("the holder is notified at the next renewal")
def notified_at_renewal(context: Any) -> None:
    notified, renewed_s = context.outcome
    assert len(notified) == 1, notified
    assert notified[0] - renewed_s < BATCH_LEASE_S, (notified, renewed_s)


@when("the home scheduler learns of the endpoint later than the requesting process")
def learn_endpoint_later(context: Any) -> None:
    async def main(runtime: Runtime) -> Any:
        fleet = await _start(runtime, context.slots, LONG_TIMEOUT)
        scheduler = fleet.schedulers[0]
        known = scheduler.view.settings()
        scheduler.view.set(snapshot=SettingsSnapshot())
        waiting = runtime.loop.spawn(fleet.clients[0].acquire(fleet.request()))
        await runtime.loop.sleep(0.3)
        early = waiting.done
        scheduler.view.set(snapshot=known)
        return early, await runtime.loop.within(10, waiting)

    context.outcome = run_on_loop(main)


@then("the request waits for the home scheduler and is not dispatched without it")
def waits_for_home(context: Any) -> None:
    early, grant = context.outcome
    assert not early
    assert isinstance(grant, Grant) and not grant.local, grant


@when("the four home schedulers of eight endpoints hang")
def hang_homes(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = SmallFleet(runtime, {f"e{number}": engine(4) for number in range(8)})
        for number in range(4):
            fleet.add_scheduler(f"n{number}")
        client = fleet.add_client("c1", GrantOptions())
        await runtime.loop.sleep(0.05)
        fleet.publish()
        requested = []

        async def no_answer(_: Any, message: Any) -> None:
            requested.append(message.endpoint)
            await runtime.loop.promise()

        for scheduler in fleet.schedulers:
            request_type = scheduler.methods.methods["grant.ask"][0]
            scheduler.methods.methods["grant.ask"] = (request_type, no_answer)
        grant = await client.acquire(fleet.request())
        return grant, requested, sum(bool(s.tables) for s in fleet.schedulers)

    context.outcome = run_on_loop(main)


@then("an online request waits for at most two home schedulers before a local grant")
def at_most_two_homes(context: Any) -> None:
    grant, requested, homes = context.outcome
    assert isinstance(grant, Grant) and grant.local, grant
    assert homes > 2, homes
    assert 1 <= len(requested) <= 2, requested
