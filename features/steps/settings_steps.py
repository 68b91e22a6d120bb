"""Steps for settings: replication, the settings editor, and agents over loopback."""

import socket
import time
from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test

from features.support.agents import start_agent, until
from features.support.loop import run_on_loop
from features.support.settings_model import ReplicationModel
from parsleyrouter.connection.stream import split_address
from parsleyrouter.ids import Address, NodeId, Revision
from parsleyrouter.process.fleet_codec import encode
from parsleyrouter.process.member_messages import Message, MessageKind
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.settings_editor import (
    Accepted,
    Author,
    ChangeFailure,
    ChangeFailureKind,
    SettingsEditor,
)
from parsleyrouter.process.settings_feed import is_relay
from parsleyrouter.standins.key_value_faults import CallFault, CallKind
from parsleyrouter.standins.memory_key_value import MemoryKeyValue
from parsleyrouter.version.paths import get_at, parse_path, set_at, unset_at
from parsleyrouter.version.records import Change, SubtreeRecord
from parsleyrouter.version.records import encode as encode_record
from parsleyrouter.version.replica import StoredRecord, Watermark
from parsleyrouter.version.snapshot_builder import SnapshotBuilder

AUTHOR = Author("oncall", "127.0.0.1", 1.0)
TEAM = parse_path("/teams/a")
OUTAGE_S = 1.0
PAUSE_S = 1.5


@when("settings replicas receive scans, watches, watermarks and updates in any order")
def replicate_any(context: Any) -> None:
    run_state_machine_as_test(
        ReplicationModel, settings=settings(max_examples=300, stateful_step_count=40)
    )
    context.ran = True


@then("no settings replica ever went back and every proof was correct")
def replication_correct(context: Any) -> None:
    assert context.ran


@when("operators race on settings while replies are lost")
def operators_race(context: Any) -> None:
    context.races = []
    faults = st.lists(st.sampled_from([*CallFault, CallFault.NONE, CallFault.NONE]), max_size=12)
    sizes = st.lists(st.integers(1, 4), min_size=1, max_size=4)

    @settings(max_examples=40)
    @given(sizes, faults)
    def check(rounds: list[int], script: list[CallFault]) -> None:
        context.races.append(run_on_loop(lambda runtime: _race(runtime, rounds, list(script))))

    check()


async def _race(runtime: Runtime, rounds: list[int], script: list[CallFault]) -> Any:
    key_value = MemoryKeyValue(runtime.loop)
    key_value.faults.script = lambda kind, key: (
        script.pop() if script and kind is CallKind.SWAP else CallFault.NONE
    )
    settings_editor = SettingsEditor(runtime, key_value)
    outcomes = []
    for size in rounds:
        standing = await settings_editor.get(TEAM.subtree)
        tasks = [
            runtime.loop.spawn(
                settings_editor.change(
                    TEAM, {"weight": index + 1}, AUTHOR, expected_version=standing.version
                )
            )
            for index in range(size)
        ]
        outcomes.append(await runtime.loop.gather(tasks))
    script.clear()
    return outcomes, await settings_editor.history(TEAM.subtree)


@then("the settings history holds exactly the accepted changes without a gap")
def history_exact(context: Any) -> None:
    assert context.races
    for rounds, history in context.races:
        kept = {change.nonce for change in history}
        assert [change.version for change in history] == list(range(len(history), 0, -1))
        accepted = []
        for outcomes in rounds:
            won = [one.change.nonce for one in outcomes if isinstance(one, Accepted)]
            accepted += won
            assert len(won) <= 1
            for loser in outcomes:
                if isinstance(loser, ChangeFailure) and loser.kind is ChangeFailureKind.CONFLICT:
                    assert loser.other is not None
                    assert "read it again" in loser.message
        unknown = [
            one
            for outcomes in rounds
            for one in outcomes
            if isinstance(one, ChangeFailure) and one.kind is ChangeFailureKind.UNKNOWN
        ]
        assert set(accepted) <= kept
        assert len(kept) <= len(accepted) + len(unknown)


@when("the reply to a settings write is lost before or after the write was applied")
def reply_lost(context: Any) -> None:
    context.settled = []

    async def main(runtime: Runtime, lose_before: int, lose_after: int) -> Any:
        key_value = MemoryKeyValue(runtime.loop)
        settings_editor = SettingsEditor(runtime, key_value)
        key_value.faults.lose_before = lose_before
        key_value.faults.lose_after = lose_after
        outcome = await settings_editor.change(TEAM, {"weight": 2}, AUTHOR)
        return outcome, await settings_editor.history(TEAM.subtree)

    for before, after in ((1, 0), (0, 1), (2, 1), (0, 3)):
        context.settled.append(
            run_on_loop(lambda runtime, b=before, a=after: main(runtime, b, a))  # type: ignore
        )


@then("the settings change is accepted exactly once")
def accepted_once(context: Any) -> None:
    for outcome, history in context.settled:
        assert isinstance(outcome, Accepted), outcome
        assert [change.nonce for change in history] == [outcome.change.nonce]


@when("settings are changed during an outage of the key-value service")
def changed_in_outage(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        key_value = MemoryKeyValue(runtime.loop)
        settings_editor = SettingsEditor(runtime, key_value)
        key_value.faults.outage = True
        context.outcome = await settings_editor.change(TEAM, {"weight": 2}, AUTHOR)
        key_value.faults.outage = False
        context.history = await settings_editor.history(TEAM.subtree)

    run_on_loop(main)


@then("the settings change is refused and nothing has changed")
def refused_in_outage(context: Any) -> None:
    assert context.outcome.kind is ChangeFailureKind.UNAVAILABLE
    assert "nothing was changed" in context.outcome.message
    assert context.history == []


@when("settings change, the service goes down, a node restarts and the relays stop")
def replicate_real(context: Any) -> None:
    run_on_loop(lambda runtime: _replicate_real(runtime, context))


async def _replicate_real(runtime: Runtime, context: Any) -> None:
    key_value = MemoryKeyValue(runtime.loop)
    first = start_agent(runtime, key_value, "n0")
    agents = [first]
    agents += [start_agent(runtime, key_value, f"n{at}", first.address) for at in range(1, 6)]
    await until(runtime, lambda: all(len(agent.nodes()) == 6 for agent in agents))
    settings_editor = SettingsEditor(runtime, key_value)
    one = await settings_editor.change(TEAM, {"weight": 2}, AUTHOR)
    two = await settings_editor.change(parse_path("/fleet/weight_store_loads"), 5, AUTHOR)
    assert isinstance(one, Accepted) and isinstance(two, Accepted)
    await until(runtime, lambda: all(a.replica.is_active(two.revision) for a in agents))
    await until(runtime, lambda: all(a.settings().proved_current for a in agents))
    key_value.faults.outage = True
    names = [agent.me.node for agent in agents]
    for agent in [agent for agent in agents if is_relay(agent.me.node, names)]:
        agent.prober.close()
        agent.feed.set_active(False)
        agents.remove(agent)
    again = start_agent(runtime, key_value, "n9", agents[0].address)
    agents.append(again)
    await until(runtime, lambda: again.settings().revision == two.revision)
    await until(runtime, lambda: not any(a.settings().proved_current for a in agents))
    context.held = [(a.settings().revision, a.settings().teams["a"].weight) for a in agents]
    context.newest = (two.revision, 2)
    key_value.faults.outage = False
    await until(runtime, lambda: all(a.settings().proved_current for a in agents))


@then("all agents hold the newest settings and report when they lack proof")
def replicated_real(context: Any) -> None:
    assert context.held == [context.newest] * 4


@when("an agent is paused with a proof of its settings waiting in its socket")
def paused_with_proof(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        key_value = MemoryKeyValue(runtime.loop)
        key_value.faults.outage = True
        agent = start_agent(runtime, key_value, "n0")
        await runtime.loop.sleep(0.5)
        message = Message(MessageKind.GOSSIP, NodeId("n1"), Address("127.0.0.1:9"))
        data = encode(message, Watermark(Revision(0), Revision(50), 0.0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(data, split_address(agent.address))
        time.sleep(PAUSE_S)
        await until(runtime, lambda: agent.replica.complete == 50)
        context.age_s = agent.replica.watermark(runtime.loop.now()).proof_age_s

    run_on_loop(main)


@then("the proof of its settings is at least as old as the pause")
def proof_old(context: Any) -> None:
    assert context.age_s >= PAUSE_S, context.age_s


@when("a settings record of a newer version arrives")
def newer_record(context: Any) -> None:
    def held(value: Any, revision: int) -> StoredRecord:
        change = Change("o", 0.0, "test", "/teams/a", None, value, revision, "n")
        data = encode_record(SubtreeRecord(value, revision, change))
        return StoredRecord("teams/a", Revision(revision), data)

    builder = SnapshotBuilder()
    builder.build([held({"weight": 2}, 1)], True)
    context.snapshot = builder.build([held({"weight": 3, "unheard_of": 1}, 2)], True)
    context.unreadable = builder.unreadable


@then("the previous settings stay active")
def older_in_force(context: Any) -> None:
    assert context.snapshot.teams["a"].weight == 2
    assert context.unreadable == {"teams/a"}


@when("any settings value is set and unset at any path")
def set_and_unset(context: Any) -> None:
    names = st.sampled_from("abc")
    values = st.recursive(st.integers(), lambda inner: st.dictionaries(names, inner, max_size=3))
    trees = st.dictionaries(names, values, max_size=3)

    @settings(max_examples=200)
    @given(trees, st.lists(names, min_size=1, max_size=3).map(tuple), values)
    def check(tree: Any, path: tuple[str, ...], value: Any) -> None:
        changed = set_at(tree, path, value)
        assert get_at(changed, path) == value
        assert set_at(changed, path, value) == changed
        gone = unset_at(changed, path)
        assert set_at(gone, path, value) == changed

    check()
    context.ran = True


@then("the settings value is as before")
def value_as_before(context: Any) -> None:
    assert context.ran
