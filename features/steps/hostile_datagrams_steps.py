"""Steps for strangers that send datagrams to the ports between nodes."""

from typing import Any

from behave import then, when

from features.support.datagram_crowd import DatagramCrowd
from features.support.front_fleet import routes
from features.support.front_process import FrontProcess
from features.support.hostile_datagrams import LIMIT_KINDS, NODE_DATAGRAMS
from features.support.hostile_play import play_crowds
from features.support.load_exchange_fleet import LoadExchangeFleet
from features.support.loop import run_on_loop
from parsleyrouter.ids import EndpointId
from parsleyrouter.process.fleet_loads import NodeLoadReport, RequestCounts
from parsleyrouter.process.load_codec import encode_node_report
from parsleyrouter.process.runtime import Runtime

CUSTOMER = {"name": "ant", "apiKeys": ["key-of-ant"], "ratePerS": 50, "burst": 100}


def _config() -> dict[str, Any]:
    """Return routes that also take requests without a key, and one customer with a limit."""
    config = routes()
    for route in config["routes"]:
        route["allowAnonymous"] = True
    return config | {"tenants": [CUSTOMER]}


def _play(context: Any, nodes: list[str], limits: list[str]) -> None:
    def crowds(process: FrontProcess) -> list[DatagramCrowd]:
        found = [DatagramCrowd(process.nodes, NODE_DATAGRAMS[what]) for what in nodes]
        return found + [DatagramCrowd(process.limits, LIMIT_KINDS[what]) for what in limits]

    play_crowds(context, _config(), crowds)


@when("strangers send {what} to the port of load reports")
def step_nodes(context: Any, what: str) -> None:
    _play(context, [what], [])


@when("strangers send {what} to the port of permits")
def step_limits(context: Any, what: str) -> None:
    _play(context, [], [what])


@when("strangers send datagrams of several kinds to both ports")
def step_both(context: Any) -> None:
    nodes = ["reports of unknown nodes with very many short rows", "limits of unknown endpoints"]
    _play(context, nodes, ["asks of a known customer"])


FILLING = (
    "reports of unknown nodes with very many short rows",
    "aggregates of unknown cells",
    "limits of unknown endpoints that began now",
)
MAX_STRANGER_USES = 20_000
MAX_HEARD_LIMITS = 2048
MAX_HEARD_COUNTS = 40_000
MAX_REPORTED_NODES = 1024


@when("strangers send more different datagrams than a node keeps")
def step_fill(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        fleet = LoadExchangeFleet(runtime, {"z1": 2})
        own, other = fleet.exchanges.values()
        for what in FILLING:
            for number in range(60):
                own._receive(NODE_DATAGRAMS[what](number + 1))
        context.loads = own.loads
        info = other.registry.own
        uses = {EndpointId("e1"): RequestCounts(3, 0)}
        report = NodeLoadReport(info.node, info.boot, 2**40, uses)
        own._receive(encode_node_report(report, info, runtime.loop.now()))
        context.of_other = own.loads.fleet.nodes[info.node].uses

    run_on_loop(main)


@then("it keeps no more endpoints, limits and counts of them than the documentation says")
def step_kept(context: Any) -> None:
    fleet, limits = context.loads.fleet, context.loads.limits.limits
    uses = sum(len(one.uses) for one in (*fleet.nodes.values(), *fleet.cells.values()))
    counts = sum(len(one.others) for one in limits.values())
    found = {"uses": uses, "limits": len(limits), "counts": counts, "nodes": len(fleet.nodes)}
    assert 0 < uses <= MAX_STRANGER_USES + 1, found
    assert 0 < len(limits) <= MAX_HEARD_LIMITS, found
    assert 0 < counts <= MAX_HEARD_COUNTS, found
    assert len(fleet.nodes) <= MAX_REPORTED_NODES + 1, found


@then("it keeps the report of a node that the store names")
def step_other(context: Any) -> None:
    assert context.of_other == {EndpointId("e1"): RequestCounts(3, 0)}, context.of_other
