"""Steps for the graceful shutdown of all nodes within the life of one list of addresses."""

import json
from random import Random
from typing import Any

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import Caller, FrontFleet
from features.support.load_exchange_fleet import LoadExchangeFleet
from features.support.loop import run_on_loop
from features.support.members import registered_members
from features.support.platform_endpoint import Arrival, EndpointStandIn, silent
from features.support.stop_play import StopPlay
from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.connection.stream import ConnectFailed
from parsleyrouter.ids import Address, DomainName
from parsleyrouter.process.address_directory import AddressDirectory
from parsleyrouter.process.cells import ACTIVE_CELL
from parsleyrouter.process.front import Front
from parsleyrouter.process.front_shutdown import FrontShutdown
from parsleyrouter.process.stop_gate import START_S, StopGate
from parsleyrouter.process.stop_window import KEPT_LIFETIMES, REQUEST_ARRIVAL_S, StopWindow

STOP_INTERVAL_S = 0.5
JOB = b'{"items":[{"id":"i1","path":"/bulk/i1","headers":{},"body":"","tokens":1}]}'


def shutdown_of(fleet: FrontFleet, number: int = 0) -> FrontShutdown:
    hook: Any = fleet.runtime.stop_hooks[number]
    shutdown: FrontShutdown = hook.__self__
    return shutdown


class StoppingFleet:
    """Stops all nodes of a fleet in series; callers come as long as a list allows."""

    def __init__(self, fleet: FrontFleet) -> None:
        self.fleet = fleet
        self.loop = fleet.loop
        self.random = Random(7)
        self.exited_s: dict[Address, float] = {}
        self.open_at_exit: list[str] = []
        self.listed_until_s: dict[Address, float] = {}
        self.cut: list[tuple[str, int]] = []
        self.answered = 0
        self.refused = 0

    async def stop(self, number: int) -> None:
        await self.loop.sleep(STOP_INTERVAL_S * number)
        shutdown = shutdown_of(self.fleet, number)
        server = shutdown.server
        reply = server.reply_to_unanswered

        def at_exit(status: int) -> None:
            self.open_at_exit += server.open_requests()
            reply(status)

        server.reply_to_unanswered = at_exit  # type: ignore[method-assign]
        await shutdown.run()
        self.exited_s[self.fleet.options[number].callers] = self.loop.now()

    async def look_up(self, front: Front) -> tuple[list[Address], float]:
        """Return the listed addresses and the time up to which a caller may keep them."""
        number = self.fleet.fronts.index(front)
        asked = Caller(self.fleet.runtime, self.fleet.options[number].locate)
        answer = await asked.ask("GET", "/resolve?zone=z1")
        asked.close()
        if answer.status != 200:
            return [], 0.0
        found = json.loads(answer.body)
        until_s = self.loop.now() + KEPT_LIFETIMES * found["ttlS"]
        for address in found["addresses"]:
            self.listed_until_s[address] = max(self.listed_until_s.get(address, 0.0), until_s)
        return found["addresses"], until_s

    async def call(self, number: int) -> None:
        """Keep looking up addresses and sending requests on new connections."""
        count = 0
        addresses: list[Address] = []
        kept_until_s = 0.0
        while len(self.exited_s) < len(self.fleet.fronts):
            running = [
                front
                for front, options in zip(self.fleet.fronts, self.fleet.options, strict=True)
                if options.callers not in self.exited_s
            ]
            if self.loop.now() >= kept_until_s:
                addresses, kept_until_s = await self.look_up(self.random.choice(running))
            usable = [one for one in addresses if one not in self.exited_s]
            if not usable:
                await self.loop.sleep(0.05)
                continue
            count += 1
            await self.send(self.random.choice(usable), f"a{number}-{count}")

    async def send(self, address: Address, attempt: str) -> None:
        caller = Caller(self.fleet.runtime, address)
        try:
            answer = await caller.ask("POST", "/chat/1", attempt=attempt)
        except ConnectFailed:
            return
        finally:
            caller.close()
        if answer.status == 503:
            self.refused += 1
            await self.loop.sleep(float(answer.headers["Retry-After"]) + 0.02)
        elif answer.complete and answer.status == 200:
            self.answered += 1
        elif self._ran(attempt):
            self.cut.append((attempt, answer.status))

    def _ran(self, attempt: str) -> bool:
        arrivals = [one for endpoint in self.fleet.endpoints.values() for one in endpoint.arrivals]
        return any(one.header("X-Attempt-Id") == attempt for one in arrivals)


@when("all nodes stop one after another while callers look up addresses and open connections")
def step_stop_all(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2", "e3", "e4"):
            fleet.register(name).gap_s = 0.15
        await fleet.start(3)
        await fleet.until(lambda: all(len(one.registry.nodes) == 3 for one in fleet.fronts))
        context.play = play = StoppingFleet(fleet)
        callers = [fleet.loop.spawn(play.call(number)) for number in range(8)]
        await fleet.loop.sleep(0.8)
        await fleet.loop.gather([fleet.loop.spawn(play.stop(number)) for number in range(3)])
        await fleet.loop.gather(callers)

    run_with_fleet(context, scenario)


@then("no node exits with an open request")
def step_none_open(context: Any) -> None:
    assert context.play.open_at_exit == [], context.play.open_at_exit


@then("every request that reached an endpoint got its complete response")
def step_complete(context: Any) -> None:
    assert context.play.cut == [], context.play.cut
    assert context.play.answered > 20, context.play.answered


@then("no list was given out that outlasts a node that it names")
def step_lists(context: Any) -> None:
    play = context.play
    late = {
        address: until_s - play.exited_s[address]
        for address, until_s in play.listed_until_s.items()
        if until_s > play.exited_s[address]
    }
    assert not late, late


@when("any number of nodes stop in any series while callers look up addresses and send requests")
def step_play(context: Any) -> None:
    context.plays = []

    @settings(max_examples=80, derandomize=True, deadline=None)
    @for_all(
        st.integers(1, 12),
        st.floats(0.0, 3.0),
        st.floats(1.0, 30.0),
        st.floats(0.2, 3.0),
        st.floats(0.1, 30.0),
        st.integers(0, 2**20),
    )
    def play(
        nodes: int, gap_s: float, grace_s: float, back_s: float, deadline_s: float, seed: int
    ) -> None:
        context.plays.append(StopPlay(nodes, gap_s, grace_s, back_s, deadline_s, seed).run())

    play()


@then("every caller with an unexpired list met a running process")
def step_running(context: Any) -> None:
    assert not [one.lost_callers for one in context.plays if one.lost_callers]
    assert sum(one.served for one in context.plays) > 1000


@then("every request that began ended before its process exited")
def step_ended(context: Any) -> None:
    assert not [one.cut for one in context.plays if one.cut]


@then("no request was refused whose deadline was before the exit of its node")
def step_in_time(context: Any) -> None:
    assert not [one.refused_in_time for one in context.plays if one.refused_in_time]
    assert sum(one.refused for one in context.plays) > 1000


@when("requests of every kind arrive late at a stopping node")
def step_late_kinds(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        fleet.register("c1", "cards")
        await fleet.start()
        shutdown = shutdown_of(fleet)
        fleet.loop.spawn(shutdown.run(), "stop")
        await fleet.until(lambda: shutdown.gate.window is not None)
        window = shutdown.gate.window
        assert window is not None
        shutdown.gate.begin_stop(
            StopWindow(window.started_s - 0.8 * window.grace_s, window.grace_s)
        )
        shutdown.gate.durations.clear()
        context.arrivals = arrivals = sum(len(one.arrivals) for one in fleet.endpoints.values())
        context.late = [
            await fleet.caller().ask("GET", "/lots/abc?after=0", headers=[("X-Wait-Ms", "1000")]),
            await fleet.caller().ask("POST", "/card/2", b"x" * 60_000, attempt="late-upload"),
            await fleet.caller().ask("POST", "/chat/2", attempt="late-stream"),
            await fleet.caller().ask("POST", "/bulk/ab", JOB, attempt="ab"),
        ]
        context.ran = sum(len(one.arrivals) for one in fleet.endpoints.values()) - arrivals

    run_with_fleet(context, scenario)


@then("each of them is refused at once as not run, with a time to come again")
def step_refused(context: Any) -> None:
    statuses = {one.status for one in context.late}
    assert statuses == {503}, [one.body for one in context.late]
    assert all("Retry-After" in one.headers for one in context.late)
    assert all(one.headers["Connection"] == "close" for one in context.late)
    assert context.ran == 0


@when("a node exits while an endpoint has not answered a request")
def step_silent(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").default_behaviour = silent
        await fleet.start()
        shutdown = shutdown_of(fleet)
        shutdown.grace_s = 1.0
        caller = fleet.caller()
        await caller.send("POST", "/chat/1", deadline_ms=60_000)
        await fleet.until(lambda: fleet.endpoints["e1"].arrivals)
        await shutdown.run()
        context.answer = await caller.wait(1.0)

    run_with_fleet(context, scenario)


@then("the caller gets a failure that promises nothing, not a closed connection")
def step_told(context: Any) -> None:
    assert context.answer.complete and context.answer.status == 502, context.answer.status


@when("callers that look up no addresses send long requests to a node until it exits")
def step_direct(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2", "e3", "e4"):
            fleet.register(name).gap_s = 0.4
        await fleet.start()
        context.play = play = StoppingFleet(fleet)
        address = fleet.options[0].callers
        quitter = Caller(fleet.runtime, address)
        await quitter.send("POST", "/chat/1", attempt="quitter")
        await fleet.loop.sleep(0.3)
        quitter.close()

        async def keep_sending(number: int) -> None:
            count = 0
            while not play.exited_s:
                count += 1
                await play.send(address, f"d{number}-{count}")

        callers = [fleet.loop.spawn(keep_sending(number)) for number in range(12)]
        await fleet.loop.sleep(2.5)
        await play.stop(0)
        await fleet.loop.gather(callers)

    run_with_fleet(context, scenario)


@then("the late ones are refused")
def step_late_refused(context: Any) -> None:
    assert context.play.refused > 0


@when("a node fails, the others stop and one of these returns")
def step_return(context: Any) -> None:
    fleet = registered_members(["a", "own", "killed", "back"])
    now = fleet.loop.now()
    for node in ("a", "back"):
        fleet.report(node, boot=1, leaving=True, named_until_s=now + 3.0)
    fleet.stop_own(named_until_s=now + 2.0)
    directory = AddressDirectory(fleet.members)
    context.stopping = directory.for_domain(DomainName("d"))
    fleet.register("back", boot=2)
    context.returned = directory.for_domain(DomainName("d"))


@then("lists name stopping nodes for the time that they have left, beside one without a report")
def step_beside(context: Any) -> None:
    found = context.stopping
    assert {info.node for info in found.nodes} == {"a", "back", "own", "killed"}, found
    assert set(found.leaving) == {"a", "back", "own"}, found
    assert found.ttl_s <= 2.0 / KEPT_LIFETIMES


@then("then only the one that has returned")
def step_returned(context: Any) -> None:
    assert [info.node for info in context.returned.nodes] == ["back"], context.returned
    assert context.returned.leaving == ()


@when("all active nodes of a large fleet stop while standby nodes serve")
def step_standby(context: Any) -> None:
    async def scenario(runtime: Any) -> None:
        fleet = LoadExchangeFleet(runtime, {"north": 14, "south": 14})
        await fleet.loop.sleep(1.2)
        stopped_s = fleet.loop.now()
        for node in fleet.in_cell(ACTIVE_CELL):
            registry = fleet.exchanges[node].registry
            registry.leaving, registry.named_until_s = True, stopped_s + 4.5
            fleet.exchanges[node].broadcast()
        await fleet.loop.sleep(0.9)
        context.active = set(fleet.in_cell(ACTIVE_CELL))
        standby = [node for node in fleet.exchanges if node not in context.active]
        context.lists = [
            AddressDirectory(fleet.exchanges[node].members).for_domain(DomainName("north"))
            for node in standby
        ]

    run_on_loop(scenario)


@then("standby nodes name no stopping node")
def step_standby_lists(context: Any) -> None:
    for found in context.lists:
        named = {info.node for info in found.nodes}
        assert named and not named & context.active, named


@when("a node is stopped while the store refuses calls and while it registers")
def step_revocation(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        front = await fleet.start()
        fleet.store.faults.refuse = 503
        leaving = fleet.loop.spawn(front.registry.leave(fleet.loop.now() + 5.0), "leave")
        await fleet.loop.sleep(0.4)
        fleet.store.faults.refuse = 0
        await leaving
        context.keys = [key for key in fleet.store.rows if "/node/" in key]
        fleet.store.faults.delay_s = 0.2
        await fleet.start(configured=False)
        await fleet.loop.sleep(0.1)
        await fleet.fronts[1].registry.leave(fleet.loop.now() + 1.0)
        fleet.store.faults.delay_s = 0.0
        await fleet.loop.sleep(0.8)
        context.keys += [key for key in fleet.store.rows if "/node/" in key]

    run_with_fleet(context, scenario)


@then("its registration is gone soon after")
def step_unregistered(context: Any) -> None:
    assert context.keys == [], context.keys


@when("short requests have ended, and long ones arrive late at a stopping node")
def step_long_late(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        fleet.register("c1", "cards")
        await fleet.start()
        for number in range(5):
            assert (await fleet.caller().ask("POST", f"/chat/{number}")).status == 200
        endpoint.gap_s = 0.5
        shutdown = shutdown_of(fleet)
        shutdown.grace_s = 4.0
        kept = fleet.caller()
        await kept.ask("GET", "/unknown")
        stop = fleet.loop.spawn(shutdown.run(), "stop")
        await fleet.loop.sleep(1.8)
        before = len(endpoint.arrivals)
        context.late = [
            await caller.ask("POST", f"/{kind}/2", attempt=f"late-{number}", deadline_ms=3000)
            for number, (caller, kind) in enumerate(
                ((kept, "chat"), (fleet.caller(), "chat"), (fleet.caller(), "tale"))
            )
        ]
        context.ran = len(endpoint.arrivals) - before
        short = [(fleet.caller(), "card", 900), (fleet.caller(), "chat", 1500)]
        endpoint.gap_s = 0.01
        context.in_time = [
            await caller.ask("POST", f"/{kind}/3", deadline_ms=deadline_ms)
            for caller, kind, deadline_ms in short
        ]
        await stop

    run_with_fleet(context, scenario)


@then("those whose deadline is before the exit are answered")
def step_in_time_answered(context: Any) -> None:
    assert [one.status for one in context.in_time] == [200, 200]
    assert all(one.complete for one in context.in_time)


@when("an endpoint refuses a long request after its node has begun to stop")
def step_retry_late(context: Any) -> None:
    async def refuse_late(
        endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
    ) -> None:
        await endpoint.runtime.loop.sleep(0.4)
        exchange.reply(503, [*endpoint.proof(arrival), (b"X-Not-Executed", b"1")], b"")

    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name).default_behaviour = refuse_late
        await fleet.start()
        shutdown = shutdown_of(fleet)
        shutdown.grace_s = 1.5
        caller = fleet.caller()
        await caller.send("POST", "/chat/1", deadline_ms=20_000)
        await fleet.until(lambda: any(one.arrivals for one in fleet.endpoints.values()))
        stop = fleet.loop.spawn(shutdown.run(), "stop")
        context.answer = await caller.wait(1.4)
        await stop
        context.ran = sum(len(one.arrivals) for one in fleet.endpoints.values())

    run_with_fleet(context, scenario)


@then("it is refused as not run, and no other endpoint gets it")
def step_not_retried(context: Any) -> None:
    assert context.answer.status == 503, context.answer.status
    assert "Retry-After" in context.answer.headers
    assert context.ran == 1, context.ran


@when("the only earlier call was given up by its caller, and another one is still running")
def step_given_up(context: Any) -> None:
    known = registered_members(["own"])
    gate = StopGate(known.loop, known.members)
    gate.end("s", gate.start("s"), answered=False)
    gate.begin_stop(StopWindow(known.loop.now() - 4.0, 8.0))
    context.by_assumption = gate.refuse_call("s", 5.0)
    gate.end("s", gate.start("s"), answered=True)
    context.after_short = gate.refuse_call("s", 5.0)
    gate.start("s")
    known.loop.now = lambda: 102.0
    context.by_running = gate.refuse_call("s", 5.0)


@then("a stopping node judges a late call by the assumed duration, and by the running one")
def step_judged(context: Any) -> None:
    assert context.by_assumption is not None
    assert context.after_short is None
    assert context.by_running is not None


@when("requests are refused while all nodes stop, and once one of them is back")
def step_refused_while_all_stop(context: Any) -> None:
    fleet = registered_members(["a", "own"])
    now = fleet.loop.now()
    gate = StopGate(fleet.loop, fleet.members)
    gate.begin_stop(StopWindow(now, 8.0))
    fleet.report("a", boot=1, leaving=True, named_until_s=now + 1.5)
    fleet.stop_own(named_until_s=now + 4.5)
    context.all_stop = gate.refuse_request(now + 60.0)
    fleet.register("a", boot=2)
    context.one_back = gate.refuse_request(now + 60.0)


@then("they are told to come when a node has exited and started, and then at once")
def step_told_when(context: Any) -> None:
    expected_s = 1.5 + REQUEST_ARRIVAL_S + START_S
    assert abs(context.all_stop.retry_after_s - expected_s) < 0.001, context.all_stop
    assert context.one_back.retry_after_s == 0.0
