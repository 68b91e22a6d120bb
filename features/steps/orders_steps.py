"""Steps for commands to engines."""

from typing import Any

import msgspec
from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.support.agents import start_agent, until
from features.support.loop import run_on_loop
from features.support.sharing import SmallFleet, engine
from parsleyrouter.connection.key_value import ABSENT
from parsleyrouter.ids import Address, DomainName, EndpointId, ModelName, NodeId, Revision
from parsleyrouter.process.engine_commands import (
    ClaimMonitor,
    ClaimTimes,
    EngineClaim,
    claim_key,
    may_send,
)
from parsleyrouter.process.engine_reconciler import EngineReconciler, live_grants
from parsleyrouter.process.fleet_view import NodeInfo, Service
from parsleyrouter.process.grant_port import CallResult, Grant
from parsleyrouter.process.grants import GrantOptions
from parsleyrouter.process.model_drain import ModelDrainTracker
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.settings_editor import Author, SettingsEditor
from parsleyrouter.process.weight_load_semaphore import WeightLoadSemaphore
from parsleyrouter.standins.engine import Engine
from parsleyrouter.standins.memory_key_value import MemoryKeyValue
from parsleyrouter.version.paths import parse_path

AUTHOR = Author("o", "test", 0.0)
ENGINE = EndpointId("e")
SHORT_TIMES = ClaimTimes(claim_s=2.0, max_command_s=1.0, settle_s=0.3)


@when("claim holders of an engine claim, pause and send commands in any order")
def claim_in_any_order(context: Any) -> None:
    context.runs = []
    step = st.tuples(st.integers(0, 2), st.sampled_from(["try", "send", "end"]), st.floats(0, 40))

    @settings(max_examples=400)
    @given(st.booleans(), st.lists(step, max_size=30))
    def check(checks: bool, steps: list[tuple[int, str, float]]) -> None:
        context.runs.append(_simulate_holders(checks, steps))

    check()


def _simulate_holders(checks: bool, steps: list[tuple[int, str, float]]) -> list[tuple[int, float]]:
    """Let three nodes claim by their own clocks.

    Return the commands that the engine obeyed as (checks fencing, fence, start, end).
    """
    times = ClaimTimes(claim_s=5, max_command_s=10)
    monitors = [ClaimMonitor(times) for _ in range(3)]
    record, revision, now = None, Revision(0), 0.0
    claims: dict[int, tuple[EngineClaim, Revision, float]] = {}
    obeyed: list[tuple[int, float, float]] = []
    highest = 0
    for node, action, wait_s in steps:
        now += wait_s
        if action == "try" and monitors[node].may_claim(ENGINE, record, revision, checks, now):
            fence = 1 if record is None else record.fence + 1
            record = EngineClaim(fence, str(node), False, "")
            revision = Revision(revision + 1)
            claims[node] = (record, revision, now)
        elif action == "send" and node in claims and may_send(claims[node][2], now, times):
            fence = claims[node][0].fence
            if not checks or fence >= highest:
                highest = max(highest, fence)
                obeyed.append((fence, now, now + times.max_command_s))
        elif action == "end" and node in claims and claims[node][1] == revision:
            ends = [end for fence, _, end in obeyed if fence == claims[node][0].fence]
            if all(end <= now for end in ends):
                held = claims.pop(node)[0]
                record = EngineClaim(held.fence, held.holder, True, "")
                revision = Revision(revision + 1)
    return [(checks, *order) for order in obeyed]  # type: ignore[return-value]


@then("no former holder's command is obeyed after the first command of a later one")
def latest_holder_obeyed(context: Any) -> None:
    assert any(context.runs)
    for run in context.runs:
        for checks, fence, _, ends in run:
            for _, other, first_start, _ in run:
                if other > fence:
                    later = [start for _, number, start, _ in run if number == fence]
                    assert max(later) <= first_start
                    assert checks or ends <= first_start, run


@when("calls begin and end in any order around the withdrawal of a model")
def calls_around_withdrawal(context: Any) -> None:
    context.idle = 0
    step = st.tuples(
        st.sampled_from(["begin", "end", "unknown"]), st.integers(0, 5), st.floats(0, 3)
    )

    @settings(max_examples=300)
    @given(st.sets(st.integers(0, 5)), st.lists(step, max_size=25))
    def check(before: set[int], steps: list[tuple[str, int, float]]) -> None:
        drain_tracker = ModelDrainTracker(settle_s=2.0)
        model = ModelName("m")
        live = {f"old-{number}" for number in before}
        now = 0.0
        drain_tracker.observe(ENGINE, [model], live, now)
        for action, number, wait_s in steps:
            now += wait_s
            if action == "begin":
                live.add(f"new-{number}")
            elif action == "end":
                live.discard(f"old-{number}")
            known = None if action == "unknown" else live
            if drain_tracker.observe(ENGINE, [model], known, now):
                assert not any(call.startswith("old") for call in live)
                context.idle += 1

    check()


@then("the model is reported idle only after all calls that could use it have ended")
def idle_after_calls(context: Any) -> None:
    assert context.idle


class ReconcilerFixture:
    """Engines and one node with its reconciler."""

    def __init__(self, runtime: Runtime, engines: int = 2) -> None:
        self.runtime = runtime
        self.key_value = MemoryKeyValue(runtime.loop)
        self.agent = start_agent(runtime, self.key_value, "n0")
        self.agent.set_service(Service.SCHEDULER, Address("127.0.0.1:9"))
        self.settings_editor = SettingsEditor(runtime, self.key_value, self.agent.apply_accepted)
        self.engines = [Engine(runtime).register(runtime) for _ in range(engines)]
        self.live: set[str] | None = set()
        self.reconciler = EngineReconciler(
            runtime, self.key_value, self.agent, live_calls=self._live, times=SHORT_TIMES
        )

    async def _live(self, endpoint: EndpointId) -> set[str] | None:
        return None if self.live is None else set(self.live)

    async def configure(self, models: list[str], *, role: str = "", checks: bool = False) -> None:
        """Set the endpoints and wait until the settings are proved current."""
        endpoints = {
            f"e{number}": {
                "address": await engine.address,
                "models": models,
                "role": role,
                "checks_fencing": checks,
            }
            for number, engine in enumerate(self.engines)
        }
        await self.settings_editor.change(parse_path("/fleet/endpoints"), endpoints, AUTHOR)
        await until(self.runtime, lambda: self.agent.settings().proved_current)


@when("the settings name other models and another role for two engines")
def change_settings(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        fixture = ReconcilerFixture(runtime)
        await fixture.configure(["wanted"], role="decode")
        fixture.reconciler.start(interval_s=0.1)
        await until(
            runtime,
            lambda: all(
                set(engine.admin_state.models) == {"wanted"} and engine.admin_state.role == "decode"
                for engine in fixture.engines
            ),
        )
        context.records = [engine.admin_state.record for engine in fixture.engines]

    run_on_loop(main)


@then("each engine gets load, unload and role commands with increasing fencing numbers")
def commands_sent(context: Any) -> None:
    for record in context.records:
        fences = [order["body"]["fence"] for order in record]
        assert fences == sorted(set(fences)), fences
        assert {order["order"] for order in record} == {"load", "unload", "role"}
        assert not any(order["stale"] for order in record)


@when("a model is withdrawn from an engine on which a request runs")
def withdraw_busy_model(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        fixture = ReconcilerFixture(runtime, engines=1)
        before = set(fixture.engines[0].admin_state.models)
        assert before
        fixture.live = {"call-1"}
        await fixture.configure(["wanted"])
        fixture.reconciler.start(interval_s=0.1)
        await until(runtime, lambda: "wanted" in fixture.engines[0].admin_state.models)
        await runtime.loop.sleep(4 * SHORT_TIMES.settle_s)
        context.kept = before <= set(fixture.engines[0].admin_state.models)
        fixture.live = {"call-2"}
        await until(runtime, lambda: not before & set(fixture.engines[0].admin_state.models))

    run_on_loop(main)


@then("the model is unloaded only after that request has ended")
def unloaded_after_request(context: Any) -> None:
    assert context.kept


@when("one process holds a grant from the engine's scheduler and another a local one")
def hold_grants(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        fleet = SmallFleet(runtime, {ENGINE: engine(2)})
        fleet.add_scheduler("n1")
        clients = [fleet.add_client(node, GrantOptions(local_slots=1)) for node in ("c1", "c2")]
        fleet.publish()
        live = live_grants(runtime, clients[0].view)
        await runtime.loop.sleep(0.05)
        granted = await clients[0].acquire(fleet.request())
        fleet.schedulers[0].methods.methods.clear()
        local = await clients[1].acquire(fleet.request())
        assert isinstance(granted, Grant) and isinstance(local, Grant) and local.local
        context.expected = {granted.grant, local.grant}
        context.live = await live(ENGINE)
        for client, grant in zip(clients, (granted, local), strict=True):
            client.release(grant, CallResult(ok=True))
        context.released = await live(ENGINE)
        gone = NodeInfo(NodeId("c2"), DomainName("d1"), {Service.AGENT: Address("127.0.0.1:9")})
        clients[0].view.set((gone,), fleet.snapshot())
        context.unreachable = await live(ENGINE)

    run_on_loop(main)


@then("both are live until they are released, and unknown while a process does not answer")
def live_known(context: Any) -> None:
    assert context.live == context.expected
    assert context.released == set()
    assert context.unreachable is None


@when("many loads are requested at once with a limit of two")
def load_concurrently(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        semaphore = WeightLoadSemaphore(MemoryKeyValue(runtime.loop), 30.0)
        held = 0
        context.max_held = context.loads = 0

        async def load(number: int) -> None:
            nonlocal held
            while (permit := await semaphore.acquire(2, f"n{number}")) is None:
                await runtime.loop.sleep(0.02)
            held += 1
            context.max_held = max(context.max_held, held)
            await runtime.loop.sleep(0.03)
            held -= 1
            context.loads += 1
            await semaphore.release(permit)

        await runtime.loop.gather([runtime.loop.spawn(load(number)) for number in range(8)])

    run_on_loop(main)


@then("at most two load permits are held at a time")
def at_most_two_loads(context: Any) -> None:
    assert context.loads == 8
    assert context.max_held == 2


@when("the holder of an engine's unreleased claim stops responding")
def unresponsive_holder(context: Any) -> None:
    context.waits = {}

    async def main(runtime: Runtime, checks: bool) -> float:
        fixture = ReconcilerFixture(runtime, engines=1)
        record = msgspec.json.encode(EngineClaim(7, "gone", False, ""))
        await fixture.key_value.compare_and_swap(claim_key(EndpointId("e0")), record, ABSENT)
        await fixture.configure(["wanted"], checks=checks)
        began_s = runtime.loop.now()
        fixture.reconciler.start(interval_s=0.05)
        await until(runtime, lambda: fixture.engines[0].admin_state.record)
        context.fence = fixture.engines[0].admin_state.record[0]["body"]["fence"]
        return runtime.loop.now() - began_s

    for checks in (True, False):
        context.waits[checks] = run_on_loop(lambda runtime, c=checks: main(runtime, c))


@then(
    "an engine that checks fencing gets commands after the claim, another after the longest command"
)
def commands_after_claim(context: Any) -> None:
    assert context.fence == 8
    assert context.waits[True] >= SHORT_TIMES.claim_s
    assert context.waits[False] >= SHORT_TIMES.claim_s + SHORT_TIMES.max_command_s


@when("an engine's endpoint in the settings lists no models")
def no_models(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        fixture = ReconcilerFixture(runtime, engines=1)
        await fixture.configure([])
        fixture.reconciler.start(interval_s=0.05)
        await runtime.loop.sleep(6 * SHORT_TIMES.settle_s)
        context.record = list(fixture.engines[0].admin_state.record)

    run_on_loop(main)


@then("the engine gets no command")
def no_command(context: Any) -> None:
    assert context.record == []
