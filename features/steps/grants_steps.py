"""Steps for the client side of grants against real schedulers."""

from typing import Any

from behave import given, then, when

from features.support.loop import run_on_loop
from features.support.sharing import SmallFleet, engine
from parsleyrouter.outcome import ExecutionStatus, Refusal
from parsleyrouter.process.grant_port import CallResult, Grant
from parsleyrouter.process.grants import GrantOptions
from parsleyrouter.process.held_grants import BATCH_LEASE_S
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.slot_events import Usage
from parsleyrouter.version.snapshot import SettingsSnapshot

PATIENT = GrantOptions(answer_s=5.0)
"""Options that never take a busy machine for a silent scheduler."""


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


@when("a batch request holds the slot and an online request asks")
def online_asks(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, PATIENT)
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


@then("the batch holder is told to give it back and online gets the slot")
def online_got_it(context: Any) -> None:
    before, online, held = context.outcome
    assert not before
    assert isinstance(online, Grant) and not online.local
    assert held == 1, held


@when("the scheduler of the grant fleet freezes")
def freeze(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, GrantOptions(local_slots=2))
        client = fleet.clients[0]

        async def never(*_: Any) -> None:
            await runtime.loop.promise()

        for name, (kind, _) in list(fleet.schedulers[0].methods.methods.items()):
            fleet.schedulers[0].methods.methods[name] = (kind, never)
        first = await client.acquire(fleet.request())
        second = await client.acquire(fleet.request())
        third = await client.acquire(fleet.request(deadline_in_s=0.5))
        client.release(first, CallResult(ok=True))
        fourth = await client.acquire(fleet.request())
        batch = await client.acquire(fleet.request(batch=True, deadline_in_s=0.5))
        return [first, second, fourth], third, batch

    context.outcome = run_on_loop(main)


@then("online requests are dispatched only under the local limit")
def under_limit(context: Any) -> None:
    granted, refused, _ = context.outcome
    assert all(isinstance(grant, Grant) and grant.local for grant in granted), granted
    assert isinstance(refused, Refusal) and refused.ran is ExecutionStatus.NOT_RUN, refused


@then("batch requests are refused as not run")
def batch_refused(context: Any) -> None:
    batch = context.outcome[2]
    assert isinstance(batch, Refusal) and batch.ran is ExecutionStatus.NOT_RUN, batch


@when("the answer to an ask is delayed past the local limit")
def delay(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, GrantOptions(answer_s=0.05))
        client, scheduler = fleet.clients[0], fleet.schedulers[0]
        request_type, ask = scheduler.methods.methods["grant.ask"]

        async def slowly(extra: Any, message: Any) -> Any:
            answer = await ask(extra, message)
            await runtime.loop.sleep(0.4)
            return answer

        async def lose(*_: Any) -> None:
            return None

        release = scheduler.methods.methods["grant.release"]
        scheduler.methods.methods["grant.ask"] = (request_type, slowly)
        scheduler.methods.methods["grant.release"] = (release[0], lose)
        used = await client.acquire(fleet.request())
        await runtime.loop.sleep(0.1)
        scheduler.methods.methods["grant.release"] = release
        table = scheduler.tables["e1"]
        before = len(table.held)
        late = next(iter(table.held))
        for _ in range(50):
            await runtime.loop.sleep(0.1)
            if client.metrics.late._value.get() and late not in table.held:
                break
        return used, before, client.metrics.late._value.get(), late in table.held

    context.outcome = run_on_loop(main)


@then("the late grant is given back and never used")
def given_back(context: Any) -> None:
    used, before, late, held = context.outcome
    assert isinstance(used, Grant) and used.local, used
    assert before == 1 and late == 1, (before, late)
    assert not held


@when("a request that waits in the queue is cancelled")
def cancel_waiting(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, PATIENT)
        client, table = fleet.clients[0], fleet.schedulers[0].tables["e1"]
        first = await client.acquire(fleet.request())
        leaving = runtime.loop.spawn(client.acquire(fleet.request()))
        staying = runtime.loop.spawn(client.acquire(fleet.request()))
        await _until(runtime, lambda: len(table.online) == 2)
        leaving.cancel()
        await _until(runtime, lambda: len(table.online) == 1)
        waiting = len(table.online)
        client.release(first, CallResult(ok=True))
        return waiting, await runtime.loop.within(10, staying)

    context.outcome = run_on_loop(main)


async def _until(runtime: Runtime, met: Any, limit_s: float = 10.0) -> bool:
    until_s = runtime.loop.now() + limit_s
    while not met() and runtime.loop.now() < until_s:
        await runtime.loop.sleep(0.02)
    return bool(met())


@then("the home forgets the ask and gives the slot to the next")
def forgotten(context: Any) -> None:
    waiting, grant = context.outcome
    assert waiting == 1, waiting
    assert isinstance(grant, Grant), grant


@when("a batch grant is revoked before its answer has come")
def overtake(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, PATIENT)
        client, scheduler = fleet.clients[0], fleet.schedulers[0]
        request_type, ask = scheduler.methods.methods["grant.ask"]

        async def slowly(extra: Any, message: Any) -> Any:
            answer = await ask(extra, message)
            if message.batch:
                await runtime.loop.sleep(0.3)
            return answer

        scheduler.methods.methods["grant.ask"] = (request_type, slowly)
        told: list[bool] = []
        request = fleet.request(batch=True, deadline_in_s=1.0)
        batch = runtime.loop.spawn(client.acquire(request, lambda: told.append(True)))
        await _until(runtime, lambda: scheduler.tables["e1"].held)
        online = await runtime.loop.within(10, runtime.loop.spawn(client.acquire(fleet.request())))
        return online, await batch, told

    context.outcome = run_on_loop(main)


@then("the grant is not used and the slot comes free")
def not_used(context: Any) -> None:
    online, batch, told = context.outcome
    assert isinstance(online, Grant), online
    assert isinstance(batch, Refusal) and not told, (batch, told)


@when("the home of a batch grant freezes for longer than the lease")
def lapse(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, PATIENT)
        client, scheduler = fleet.clients[0], fleet.schedulers[0]
        told: list[str] = []
        await client.acquire(fleet.request(batch=True), lambda: told.append("batch"))
        await client.acquire(fleet.request(), lambda: told.append("online"))
        await runtime.loop.sleep(1.0)
        early = list(told)

        async def never(*_: Any) -> None:
            await runtime.loop.promise()

        request_type = scheduler.methods.methods["grant.renew"][0]
        scheduler.methods.methods["grant.renew"] = (request_type, never)
        await _until(runtime, lambda: told)
        return early, told, len(scheduler.tables["e1"].held)

    context.outcome = run_on_loop(main)


@then("the batch holder is told within the lease and the online holder goes on")
def told_in_time(context: Any) -> None:
    early, told, held = context.outcome
    assert early == [] and told == ["batch"], (early, told)
    assert held == 2, "the home gave the slot up before the holder was told"


@when("the home of a batch grant says that it has ended")
def ended(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = await _start(runtime, context.slots, PATIENT)
        client, scheduler = fleet.clients[0], fleet.schedulers[0]
        told: list[float] = []
        grant = await client.acquire(
            fleet.request(batch=True), lambda: told.append(runtime.loop.now())
        )
        assert isinstance(grant, Grant)
        scheduler.tables["e1"].release(grant.grant, Usage(ok=False), runtime.loop.now())
        await _until(runtime, lambda: told)
        held = client.held.held[grant.grant]
        return told, held.renewed_s

    context.outcome = run_on_loop(main)


@then("the holder is told at the next renewal")
def told_next(context: Any) -> None:
    told, renewed_s = context.outcome
    assert len(told) == 1, told
    assert told[0] - renewed_s < BATCH_LEASE_S, (told, renewed_s)


@when("the home learns of the endpoint later than the asking process")
def learns_later(context: Any) -> None:
    async def main(runtime: Runtime) -> Any:
        fleet = await _start(runtime, context.slots, PATIENT)
        scheduler = fleet.schedulers[0]
        known = scheduler.view.settings()
        scheduler.view.set(snapshot=SettingsSnapshot())
        waiting = runtime.loop.spawn(fleet.clients[0].acquire(fleet.request()))
        await runtime.loop.sleep(0.3)
        early = waiting.done
        scheduler.view.set(snapshot=known)
        return early, await runtime.loop.within(10, waiting)

    context.outcome = run_on_loop(main)


@then("the request waits for the home and is not dispatched without it")
def waits_for_home(context: Any) -> None:
    early, grant = context.outcome
    assert not early
    assert isinstance(grant, Grant) and not grant.local, grant


@when("four homes of eight endpoints freeze")
def many_freeze(context: Any) -> None:
    async def main(runtime: Runtime) -> tuple[Any, ...]:
        fleet = SmallFleet(runtime, {f"e{number}": engine(4) for number in range(8)})
        for number in range(4):
            fleet.add_scheduler(f"n{number}")
        client = fleet.add_client("c1", GrantOptions())
        await runtime.loop.sleep(0.05)
        fleet.publish()
        asked = []

        async def never(_: Any, message: Any) -> None:
            asked.append(message.endpoint)
            await runtime.loop.promise()

        for scheduler in fleet.schedulers:
            request_type = scheduler.methods.methods["grant.ask"][0]
            scheduler.methods.methods["grant.ask"] = (request_type, never)
        grant = await client.acquire(fleet.request())
        return grant, asked, sum(bool(s.tables) for s in fleet.schedulers)

    context.outcome = run_on_loop(main)


@then("an online request waits for two homes at most before it does without")
def two_at_most(context: Any) -> None:
    grant, asked, homes = context.outcome
    assert isinstance(grant, Grant) and grant.local, grant
    assert homes > 2, homes
    assert 1 <= len(asked) <= 2, asked
