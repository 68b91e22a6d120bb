"""Steps for the precedence of rumors in the member table."""

from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.fleet_view import NodeInfo, Service
from parsleyrouter.process.member_table import MemberHealth, MemberTable, Rumor

LONG_AFTER_S = 100.0


def _info(node: str, incarnation: int) -> NodeInfo:
    addresses = {Service.AGENT: Address(node)}
    return NodeInfo(NodeId(node), DomainName("d"), addresses, incarnation=incarnation)


def _rumor(node: str, incarnation: int, health: MemberHealth) -> Rumor:
    info = _info(node, incarnation) if health is MemberHealth.ALIVE else None
    return Rumor(NodeId(node), incarnation, health, info)


RUMORS = st.builds(
    _rumor, st.sampled_from(["me", "a", "b"]), st.integers(1, 4), st.sampled_from(MemberHealth)
)


@when("a member table receives any rumors in any two orders")
def hear_in_orders(context: Any) -> None:
    context.outcomes = []

    @settings(max_examples=300)
    @given(st.lists(RUMORS, max_size=8), st.randoms(use_true_random=False))
    def check(rumors: list[Rumor], rng: Any) -> None:
        known = [_rumor(node, 1, MemberHealth.ALIVE) for node in "ab"]
        shuffled = list(rumors)
        rng.shuffle(shuffled)
        outcomes = []
        for order in (rumors, shuffled):
            table = MemberTable(_info("me", 1))
            for rumor in [*known, *order, *order]:
                table.apply(rumor, 0.0)
            table.expire(LONG_AFTER_S)
            outcomes.append({(info.node, info.incarnation) for info in table.up()})
        context.outcomes.append(outcomes)

    check()


@then("the same nodes are up after both orders")
def same_up(context: Any) -> None:
    assert context.outcomes
    for one, other in context.outcomes:
        assert one == other, (one, other)


@when("a member table receives any rumors about its own node and others")
def hear_any(context: Any) -> None:
    context.checked = 0

    @settings(max_examples=300)
    @given(st.lists(RUMORS, max_size=20))
    def check(rumors: list[Rumor]) -> None:
        table = MemberTable(_info("me", 1))
        seen: dict[str, int] = {}
        for rumor in rumors:
            table.apply(rumor, 0.0)
            held = {"me": table.me.incarnation}
            held |= {str(node): entry.info.incarnation for node, entry in table.entries.items()}
            assert all(held[node] >= before for node, before in seen.items())
            seen = held
            if rumor.node == "me" and rumor.health is not MemberHealth.ALIVE:
                assert table.me.incarnation > rumor.incarnation
        context.checked += 1

    check()


@then("no incarnation ever decreases and its own incarnation is the highest")
def incarnations_held(context: Any) -> None:
    assert context.checked
