"""Steps for how what is learnt of the speed of endpoints is told, used and logged."""

import logging
from typing import Any

from behave import given, then, when

from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet
from parsleyrouter.endpoint_speed import EndpointSpeeds
from parsleyrouter.endpoint_speed.slow_state import LOG_INTERVAL_S, LOG_LINES, SlowStates
from parsleyrouter.ids import Address, DomainName, EndpointId, NodeId
from parsleyrouter.process.batch_placement import pick_batch_endpoint
from parsleyrouter.process.fleet_loads import NodeLoadReport, RequestCounts
from parsleyrouter.process.load_codec import decode, encode_node_report
from parsleyrouter.process.node_registry import RegisteredNode
from parsleyrouter.request.placement import PlacementCandidate

NAME = EndpointId("e1")


@given("an endpoint whose answers report four figures")
def step_four(context: Any) -> None:
    context.load = b"9,2,8,250"


@when("requests are sent there one after another")
def step_sent(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        proof = endpoint.proof
        endpoint.proof = lambda arrival: [  # type: ignore[method-assign]
            *(one for one in proof(arrival) if one[0] != b"X-Server-Load"),
            (b"X-Server-Load", context.load),
        ]
        await fleet.start()
        for _ in range(3):
            await fleet.caller().ask("POST", "/chat/1")
        loads, now = fleet.fronts[0].loads, fleet.runtime.loop.now()
        (entry,) = fleet.fronts[0].directory.endpoints.values()
        (context.candidate,) = loads.candidates([entry], now)

    run_with_fleet(context, scenario)


@then("its node knows the requests and the slowness that it reports")
def step_known(context: Any) -> None:
    assert context.candidate.online >= 11 - 3, context.candidate
    assert context.candidate.slowness > 1.5, context.candidate


def node_report(sequence: int, **fields: Any) -> NodeLoadReport:
    uses = {NAME: RequestCounts(2, 1)}
    return NodeLoadReport(NodeId("n1"), 1, sequence, uses, **fields)


OWN = RegisteredNode(
    NodeId("n1"), DomainName("near"), Address("10.0.0.1:1"), Address("10.0.0.1:2"), boot=1
)


@when("a node sees slow answers and another gets its load report")
def step_told(context: Any) -> None:
    first, second = EndpointSpeeds(), EndpointSpeeds()
    for speeds in (first, second):
        speeds.slowness(NAME, 0, 0.0)
    first.record_report(NAME, 0, 2.5, 10.0)
    data = encode_node_report(node_report(1, speeds=tuple(first.take_news())), OWN, 10.02)
    received = decode(data, 110.03).node
    assert received is not None
    second.apply_news(received[0].speeds, 110.03)
    context.seen = first.slowness(NAME, 0, 10.03), second.slowness(NAME, 0, 110.03)
    context.next_news = first.take_news()


@then("both count the endpoint as slow, and the next report tells nothing")
def step_both(context: Any) -> None:
    assert all(abs(one - 2.5) < 0.01 for one in context.seen), context.seen
    assert context.next_news == []


@when("load reports of other versions arrive")
def step_versions(context: Any) -> None:
    plain = encode_node_report(node_report(1), OWN, 1.0)
    rests = (b"", b"\x91\x01", b"\xc1", b"\x81\xa1a\x01", b"\x91\x97\xa1e\x00\x00\x00\x00\x00")
    context.nodes = [decode(plain + rest, 1.0).node for rest in rests]


@then("their counts are used")
def step_counts(context: Any) -> None:
    for node in context.nodes:
        assert node is not None and node[0].uses == {NAME: RequestCounts(2, 1)}
        assert node[0].speeds == ()


@when("endpoints of different slowness have room for batch items")
def step_batch(context: Any) -> None:
    def candidate(name: str, slowness: float, batch: int = 0) -> PlacementCandidate:
        domain = DomainName("near")
        return PlacementCandidate(EndpointId(name), domain, 8, batch=batch, slowness=slowness)

    slow_rooms = [candidate("slow", 2.5, taken).free_for_batch for taken in range(9)]
    best = pick_batch_endpoint([candidate("slow", 2.5), candidate("usual", 1.0, 4)])
    context.seen = slow_rooms, best, candidate("usual", 1.1).free_for_batch


@then("a slow one takes as many items as it does as much work for, and others come first")
def step_batch_room(context: Any) -> None:
    slow_rooms, best, usual_room = context.seen
    assert slow_rooms == [3, 2, 1, 0, 0, 0, 0, 0, 0], slow_rooms
    assert best is not None and best.endpoint == "usual"
    assert usual_room == 8


class _Lines(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.states: list[tuple[str, str]] = []

    def emit(self, record: logging.LogRecord) -> None:
        fields = record.__dict__
        self.states.append((fields["endpoint"], fields["state"]))


@when("endpoints become slow and usual by turns")
def step_turns(context: Any) -> None:
    lines, logger = _Lines(), logging.getLogger("parsleyrouter.endpoint_speed.slow_state")
    logger.addHandler(lines)
    level = logger.level
    logger.setLevel(logging.INFO)
    try:
        states = SlowStates()
        for slowness in (1.0, 1.9, 2.1, 1.9, 1.5, 2.2, 1.2, 1.9):
            states.update(NAME, slowness, 100.0)
        context.lines = list(lines.states)
        for number in range(100):
            states.update(EndpointId(f"e{number}"), 3.0, 101.0)
        context.bounded = len(lines.states)
        states.update(EndpointId("late"), 3.0, 100.0 + LOG_INTERVAL_S)
        context.later = len(lines.states)
    finally:
        logger.setLevel(level)
        logger.removeHandler(lines)


@then("there is a line for each change with hysteresis, and ten lines in ten seconds at most")
def step_lines(context: Any) -> None:
    assert context.lines == [(NAME, "slow"), (NAME, "normal speed")], context.lines
    assert context.bounded == LOG_LINES == 10
    assert context.later == LOG_LINES + 1
