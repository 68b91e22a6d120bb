"""Steps for the membership protocol, on a simulated network with its own clock."""

from dataclasses import replace
from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.support.membership_network import MembershipNetwork
from parsleyrouter.ids import NodeId
from parsleyrouter.process.fleet_view import NodeState
from parsleyrouter.process.member_table import MemberHealth
from parsleyrouter.process.probe_order import ring_position

LARGE_FLEET_NODES = 90
MEET_S = 15.0
MERGE_S = 40.0


@when("a member of fleets of several sizes is lost while some messages are lost")
def lose_member(context: Any) -> None:
    context.late = []

    @settings(max_examples=25)
    @given(st.integers(3, 24), st.integers(0, 10_000), st.sampled_from([0.0, 0.05]))
    def check(size: int, seed: int, loss: float) -> None:
        _lose_one(context, size, seed, loss)

    check()
    _lose_one(context, LARGE_FLEET_NODES, 1, 0.05)


def _lose_one(context: Any, size: int, seed: int, loss: float) -> None:
    net = MembershipNetwork(size, seed, loss)
    net.run(MEET_S)
    assert net.all_agree()
    net.kill(NodeId(f"n{seed % size:03d}"))
    net.run(5.0)
    context.late.append((size, seed, loss, net.all_agree()))


@then("every membership view excludes it 5 s later")
def lost_left(context: Any) -> None:
    assert all(agreed for *_, agreed in context.late), context.late


@when("some members have missed the join of another one")
def missed_news(context: Any) -> None:
    context.missed = []

    @settings(max_examples=20)
    @given(st.integers(6, 24), st.integers(0, 10_000), st.integers(1, 4))
    def check(size: int, seed: int, missing: int) -> None:
        net = MembershipNetwork(size, seed, 0.05)
        net.run(MEET_S)
        unknown = NodeId(f"n{seed % size:03d}")
        ring = sorted(net.members, key=ring_position)
        for node in [node for node in ring if node != unknown][:missing]:
            table = net.members[node].table
            del table.entries[unknown]
            table.version += 1
        net.run(MEET_S)
        context.missed.append((size, seed, missing, net.all_agree()))

    check()


@then("all membership views agree within 15 s")
def missed_learnt(context: Any) -> None:
    assert all(agreed for *_, agreed in context.missed), context.missed


@when("membership runs for minutes while 5 % of messages are lost")
def run_lossy(context: Any) -> None:
    context.nets = []

    @settings(max_examples=6)
    @given(st.integers(2, 24), st.integers(0, 10_000))
    def check(size: int, seed: int) -> None:
        net = MembershipNetwork(size, seed, 0.05)
        net.run(120.0)
        context.nets.append(net)

    check()


@then("no membership view ever considered a live node down")
def none_down(context: Any) -> None:
    assert context.nets
    for net in context.nets:
        assert not net.wrongly_down, net.wrongly_down
        assert net.all_agree()


@when("a member is paused for any time and resumes")
def pause_member(context: Any) -> None:
    context.nets = []

    @settings(max_examples=15)
    @given(st.integers(3, 16), st.integers(0, 10_000), st.floats(0.5, 60))
    def check(size: int, seed: int, pause_s: float) -> None:
        net = MembershipNetwork(size, seed)
        net.run(MEET_S)
        victim = NodeId(f"n{seed % size:03d}")
        net.pause(victim)
        net.run(pause_s)
        net.resume(victim)
        net.run(MERGE_S)
        context.nets.append((victim, net))

    check()


@then("all membership views agree again and no other node was considered down")
def paused_returned(context: Any) -> None:
    assert context.nets
    for victim, net in context.nets:
        assert net.all_agree()
        assert {other for _, other in net.wrongly_down} <= {victim}, net.wrongly_down


@when("a member that suspects another is paused before the refutation arrives")
def pause_suspecting(context: Any) -> None:
    context.healths = []

    @settings(max_examples=50)
    @given(st.floats(1.5, 300), st.integers(0, 10_000))
    def check(pause_s: float, seed: int) -> None:
        net = MembershipNetwork(3, seed)
        net.run(MEET_S)
        membership, other = net.members[NodeId("n000")], NodeId("n001")
        membership.table.suspect(other, net.now)
        net.pause(NodeId("n000"))
        net.now += pause_s
        membership.tick(net.now)
        context.healths.append(membership.table.entries[other].health)
        net.resume(NodeId("n000"))
        net.run(MERGE_S)
        assert net.all_agree()

    check()


@then("the suspected member was never considered down")
def suspected_not_down(context: Any) -> None:
    assert set(context.healths) == {MemberHealth.SUSPECT}


@when("membership is partitioned in two for any time and reconnected")
def partition_in_two(context: Any) -> None:
    context.partitions = []

    @settings(max_examples=12)
    @given(st.integers(4, 20), st.integers(0, 10_000), st.floats(1, 120))
    def check(size: int, seed: int, partition_s: float) -> None:
        net = MembershipNetwork(size, seed)
        net.run(MEET_S)
        net.partition = {node: index % 2 for index, node in enumerate(net.members)}
        net.run(partition_s)
        separated = partition_s < 15 or all(
            net.up(node)
            == {other for other in net.members if net.partition[other] == net.partition[node]}
            for node in net.members
        )
        partition, net.partition = net.partition, {}
        net.run(MERGE_S)
        own_kept = all(partition[node] != partition[other] for node, other in net.wrongly_down)
        context.partitions.append((size, seed, partition_s, separated, own_kept, net.all_agree()))

    check()


@then("each partition kept its own nodes and all membership views agree at the end")
def partitions_merged(context: Any) -> None:
    for result in context.partitions:
        *_, separated, own_kept, merged = result
        assert separated and own_kept and merged, result


@when("a member announces that it is leaving")
def member_leaves(context: Any) -> None:
    context.left = []

    @settings(max_examples=15)
    @given(st.integers(2, 24), st.integers(0, 10_000), st.sampled_from([0.0, 0.05]))
    def check(size: int, seed: int, loss: float) -> None:
        _leave_one(context, size, seed, loss)

    check()
    _leave_one(context, LARGE_FLEET_NODES, 1, 0.05)


def _leave_one(context: Any, size: int, seed: int, loss: float) -> None:
    net = MembershipNetwork(size, seed, loss)
    net.run(MEET_S)
    leaver = NodeId(f"n{seed % size:03d}")
    membership = net.members[leaver]
    membership.describe(replace(membership.me, state=NodeState.LEAVING))
    net.run(3.0)
    views = [other.table for node, other in net.members.items() if node != leaver]
    shown = {table.entries[leaver].info.state for table in views}
    net._execute(leaver, membership.end())
    net.kill(leaver)
    net.run(5.0)
    context.left.append((shown == {NodeState.LEAVING}, net.all_agree()))


@then("every membership view shows it leaving 3 s later and excludes it after its end")
def left_seen(context: Any) -> None:
    assert all(shown and removed for shown, removed in context.left), context.left


@when("all datagrams of a member are lost while exchanges of member lists succeed")
def unreached(context: Any) -> None:
    context.unreached = []

    @settings(max_examples=10)
    @given(st.integers(3, 12), st.integers(0, 10_000))
    def check(size: int, seed: int) -> None:
        net = MembershipNetwork(size, seed)
        net.run(MEET_S)
        node = NodeId(f"n{seed % size:03d}")
        net.unreached.add(node)
        net.run(5.0)
        seen = 0
        for _ in range(60):
            net.run(1.0)
            seen += sum(node in net.up(other) for other in net.members if other != node)
        net.unreached.clear()
        net.run(MERGE_S)
        context.unreached.append((size, seed, seen, net.all_agree()))

    check()


@then("the member leaves all views and does not return until datagrams reach it")
def unreached_out(context: Any) -> None:
    assert all(not seen and returned for *_, seen, returned in context.unreached), context.unreached
