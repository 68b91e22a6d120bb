"""Steps for loads from a shared weight store, with real processes."""

from typing import Any

from behave import given, then, when

from features.support.cluster import MODEL, TEAM, Cluster, ClusterPlan
from features.support.processes import Process, wait_until

ADDED = "added"
LOAD_LIMIT_S = 50.0


@given("weights: a fleet whose four engines share a weight store that allows two readers")
def start(context: Any) -> None:
    plan = ClusterPlan(nodes=3, engines=4, weights=("--bytes-per-s", "1000000"))
    context.cluster = Cluster.start(context, plan)


@when("weights: a model is added to all engines and an entry is killed meanwhile")
def add_model(context: Any) -> None:
    cluster = context.cluster
    endpoints = cluster.endpoints()
    for engine in cluster.engines:
        endpoints[engine.name]["models"] = [MODEL, ADDED]
    cluster.put_settings(f"teams/{TEAM}/models/{ADDED}", {})
    cluster.put_settings("fleet/endpoints", endpoints)
    wait_until(lambda: any(loading(cluster, engine) for engine in cluster.engines), "a load begins")
    cluster.nodes[2].entry.kill()


def state(cluster: Cluster, engine: Process) -> dict[str, Any]:
    return dict(cluster.control.call(engine.http, "GET", "/admin/state").json())


def loading(cluster: Cluster, engine: Process) -> bool:
    reply = state(cluster, engine)
    return ADDED in reply["loading"] or ADDED in reply["models"]


@then("weights: every engine loads the model and serves it")
def loaded(context: Any) -> None:
    cluster = context.cluster
    for engine in cluster.engines:

        def has(engine: Process = engine) -> bool:
            return ADDED in state(cluster, engine)["models"]

        wait_until(has, f"{engine.name} has the model", LOAD_LIMIT_S)
    body = {"model": ADDED, "messages": [{"role": "user", "content": "hello"}], "max_tokens": 5}
    reply = cluster.caller.call(cluster.nodes[0].entry.http, "POST", "/v1/chat/completions", body)
    assert reply.status == 200, reply


@then("weights: the store never has more than two readers at a time")
def at_most_two_readers(context: Any) -> None:
    cluster = context.cluster
    reply = cluster.control.call(cluster.weights.http, "GET", "/control/fetches").json()
    assert reply["refused"] == 0 and 0 < reply["most_reading"] <= 2, reply
    assert len(reply["fetched"]) >= len(cluster.engines), reply
