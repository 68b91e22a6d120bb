"""Steps for the client side of grants against real schedulers."""

from typing import Any

from behave import given, then, when

from features.support.loop import run_on_loop
from features.support.sharing import SmallFleet, engine
from parsleyrouter.outcome import Ran, Refusal
from parsleyrouter.process.grant_port import CallResult, Grant
from parsleyrouter.process.grants import GrantOptions
from parsleyrouter.process.runtime import Runtime

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
    assert isinstance(refused, Refusal) and refused.ran is Ran.NOT_RUN, refused


@then("batch requests are refused as not run")
def batch_refused(context: Any) -> None:
    batch = context.outcome[2]
    assert isinstance(batch, Refusal) and batch.ran is Ran.NOT_RUN, batch


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
