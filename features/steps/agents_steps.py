"""Steps for agents connected over loopback."""

from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.support.agents import start_agent, until
from features.support.loop import run_on_loop
from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.cpu_meter import CpuMeter
from parsleyrouter.process.fleet_view import Service
from parsleyrouter.process.follower import Follower
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.settings_editor import Author, SettingsEditor
from parsleyrouter.standins.memory_key_value import MemoryKeyValue
from parsleyrouter.version.paths import parse_path


def _node_names(agent: Any) -> list[str]:
    return [info.node for info in agent.nodes()]


@when("agents meet over loopback and one stops responding")
def agents_meet(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        key_value = MemoryKeyValue(runtime.loop)
        first = start_agent(runtime, key_value, "n0")
        agents = [first] + [
            start_agent(runtime, key_value, f"n{index}", first.address) for index in range(1, 5)
        ]
        everyone = [f"n{index}" for index in range(5)]
        await until(runtime, lambda: all(_node_names(agent) == everyone for agent in agents))
        agents[3].prober.close()
        left = [agent for agent in agents if agent is not agents[3]]
        rest = [name for name in everyone if name != "n3"]
        await until(runtime, lambda: all(_node_names(agent) == rest for agent in left))
        context.names = [_node_names(agent) for agent in left]

    run_on_loop(main)


@then("the other agents remove it and keep each other")
def agents_kept(context: Any) -> None:
    assert context.names == [["n0", "n1", "n2", "n4"]] * 4


@when("an agent that has stopped responding is asked for its member list")
def silent_asked(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        key_value = MemoryKeyValue(runtime.loop)
        first = start_agent(runtime, key_value, "n0")
        second = start_agent(runtime, key_value, "n1", first.address)
        await until(runtime, lambda: len(first.nodes()) == 2)
        second.prober.close()
        await until(runtime, lambda: len(first.nodes()) == 1)
        await first.prober._sync(second.address)
        context.names = _node_names(first)

    run_on_loop(main)


@then("it returns an empty list and stays out of all views")
def silent_stays_out(context: Any) -> None:
    assert context.names == ["n0"]


@when("an agent is restarted under the same name at another address")
def agent_restarts(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        key_value = MemoryKeyValue(runtime.loop)
        first = start_agent(runtime, key_value, "n0")
        second = start_agent(runtime, key_value, "n1", first.address)
        await until(runtime, lambda: len(first.nodes()) == 2)
        second.prober.close()
        again = start_agent(runtime, key_value, "n1", first.address)
        await until(
            runtime,
            lambda: first.nodes()[-1].addresses[Service.AGENT] == again.address,
        )
        context.counts = (len(first.nodes()), len(again.nodes()))

    run_on_loop(main)


@then("every other agent knows only the new address")
def restarted_known(context: Any) -> None:
    assert context.counts == (2, 2)


async def close_server(runtime: Runtime, agent: Any) -> None:
    """Close an agent's listening socket and its connections."""
    for sock in list(agent.server._clients):
        agent.server._close(sock)
    agent.server._close(agent.server._sock)
    await runtime.loop.sleep(0.1)


@when("a follower's agent is lost and replaced by one without state")
def follower_keeps(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        key_value = MemoryKeyValue(runtime.loop)
        agent = start_agent(runtime, key_value, "n0")
        follower = Follower(
            runtime,
            agent.address,
            Service.SCHEDULER,
            Address("127.0.0.1:9"),
            node=NodeId("n0"),
            domain=DomainName("d1"),
        )
        follower.start()
        settings_editor = SettingsEditor(runtime, key_value, agent.apply_accepted)
        author = Author("o", "test", 0.0)
        await settings_editor.change(parse_path("/teams/a"), {"weight": 2}, author)
        await until(runtime, lambda: "a" in follower.settings().teams)
        await until(runtime, lambda: Service.SCHEDULER in agent.self_node().addresses)
        key_value.faults.outage = True
        agent.prober.close()
        await close_server(runtime, agent)
        await until(runtime, lambda: not follower.agent_reachable)
        context.kept = follower.settings().teams["a"].weight
        other = start_agent(runtime, MemoryKeyValue(runtime.loop), "n0-again")
        follower.agent = other.address
        await until(runtime, lambda: follower.agent_reachable)
        await runtime.loop.sleep(1.0)
        context.kept_after = follower.settings().teams["a"].weight
        await desk_change(runtime, other)
        await until(runtime, lambda: "b" in follower.settings().teams)

    async def desk_change(runtime: Runtime, agent: Any) -> None:
        settings_editor = SettingsEditor(runtime, agent.feed.key_value, agent.apply_accepted)
        await settings_editor.change(
            parse_path("/teams/b"), {"weight": 2}, Author("o", "test", 0.0)
        )

    run_on_loop(main)


@then("the follower kept nodes and settings and follows the new agent")
def follower_kept(context: Any) -> None:
    assert (context.kept, context.kept_after) == (2, 2)


@when("an agent receives any bytes as a datagram")
def any_bytes(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        agent = start_agent(runtime, MemoryKeyValue(runtime.loop), "n0")

        @settings(max_examples=200)
        @given(st.binary(max_size=200))
        def check(data: bytes) -> None:
            agent.prober._on_datagram(data)

        check()
        context.nodes = _node_names(agent)

    run_on_loop(main)


@then("the agent still answers")
def still_answers(context: Any) -> None:
    assert context.nodes == ["n0"]


@when("any CPU usage is metered")
def meter_any(context: Any) -> None:
    context.metered = []

    @settings(max_examples=200)
    @given(st.lists(st.tuples(st.floats(0, 5), st.floats(0, 6)), max_size=20), st.floats(0, 1))
    def check(steps: list[tuple[float, float]], share: float) -> None:
        now = cpu_s = 0.0
        meter = CpuMeter(now, cpu_s)
        reads = []
        for passed_s, used_s in steps:
            now, cpu_s = now + passed_s, cpu_s + used_s
            reads.append(meter.read(now, cpu_s))
        for _ in range(100):
            now, cpu_s = now + 0.5, cpu_s + 0.5 * share
            reads.append(meter.read(now, cpu_s))
        context.metered.append((reads, share))

    check()


@then("the load is between 0 and 1 and approaches steady usage")
def meter_follows(context: Any) -> None:
    assert context.metered
    for reads, share in context.metered:
        assert all(0 <= read <= 1 for read in reads)
        assert abs(reads[-1] - share) < 0.01


@when("agents meet and one of them is busy")
def busy_agent(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        key_value = MemoryKeyValue(runtime.loop)
        first = start_agent(runtime, key_value, "n0")
        second = start_agent(runtime, key_value, "n1", first.address)
        second.meter.read = lambda now, cpu_s: 0.75  # type: ignore[method-assign]
        await until(runtime, lambda: first.nodes()[-1].load == 0.75)
        context.loads = [info.load for info in first.nodes()]

    run_on_loop(main)


@then("the other agent sees its load")
def load_seen(context: Any) -> None:
    assert context.loads[1] == 0.75
