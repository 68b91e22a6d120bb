"""Steps for real processes during failures of the key-value service."""

import time
from typing import Any

from behave import given, then, when

from features.support.cluster import MODEL, TEAM, Cluster, ClusterPlan
from features.support.processes import wait_until
from parsleyrouter.process.options import NodeOptions
from parsleyrouter.standins.answers import answer_text, prompt_text

CLIENT_COUNT = 6
"""Processes in a fleet of three nodes that call the service: entries and batch processes."""

OUTAGE_S = 8.0
RECOVERY_S = 12.0


@given("key-value outage: a fleet whose key-value service is behind a fault proxy")
def start_cluster(context: Any) -> None:
    context.cluster = Cluster.start(context, ClusterPlan(nodes=3, proxied=("key-value",)))


def calls_by_second(cluster: Cluster) -> dict[int, int]:
    seen = cluster.control.call(cluster.key_value.http, "GET", "/control/calls").json()
    return dict(seen["by_second"])


@when("key-value outage: the service answers only errors for some seconds")
def run_outage(context: Any) -> None:
    cluster = context.cluster
    cluster.faults(cluster.key_value, outage=True)
    context.begun_s = int(time.monotonic())
    time.sleep(OUTAGE_S)
    context.ended_s = int(time.monotonic())
    cluster.faults(cluster.key_value, outage=False)
    time.sleep(RECOVERY_S)
    context.calls = calls_by_second(cluster)


@then("key-value outage: the service saw few calls during the outage and no burst after it")
def calls_are_bounded(context: Any) -> None:
    rate = NodeOptions.key_value_calls_per_s
    during = [
        calls
        for second, calls in context.calls.items()
        if context.begun_s + 2 < second < context.ended_s
    ]
    after = [calls for second, calls in context.calls.items() if second > context.ended_s]
    assert during and sum(during) <= len(during) * CLIENT_COUNT * 2, context.calls
    assert after and max(after) <= CLIENT_COUNT * rate, context.calls


@when("key-value outage: the connection to the service is frozen, then cut, during online requests")
def freeze_and_cut(context: Any) -> None:
    cluster = context.cluster
    proxy = cluster.proxies["key-value"]
    context.questions = []
    for faults in ({"freeze": True}, {"freeze": False, "cut": True}, {"cut": False}):
        cluster.faults(proxy, **faults)
        for number in range(12):
            node = cluster.nodes[number % len(cluster.nodes)]
            messages = [{"role": "user", "content": f"{number} {sorted(faults)}"}]
            body = {"model": MODEL, "messages": messages, "max_tokens": 8}
            seen = cluster.caller.call(node.entry.http, "POST", "/v1/chat/completions", body)
            context.questions.append((body, seen))


@then("key-value outage: every request got a complete answer")
def questions_are_answered(context: Any) -> None:
    assert len(context.questions) == 36
    for body, seen in context.questions:
        assert seen.status == 200 and not seen.error, seen
        assert seen.text() == answer_text(MODEL, prompt_text(body), 8), seen


@then("key-value outage: settings changed afterwards take effect everywhere")
def change_settings(context: Any) -> None:
    cluster = context.cluster
    cluster.put_settings(f"teams/{TEAM}/models/added", {"version": "2"})
    for node in cluster.nodes:

        def in_force(address: str = node.entry.http) -> bool:
            listed = cluster.caller.call(address, "GET", "/v1/models")
            return listed.status == 200 and b'"added"' in listed.body

        wait_until(in_force, f"the change takes effect at {node.name}")
