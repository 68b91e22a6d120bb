"""Steps for accepted settings under failures, on real processes."""

import threading
import time
from typing import Any

from behave import given, then, when

from features.steps.promises_batch_steps import start_fleet
from features.support.callers import Caller
from features.support.cluster import MODEL, OPERATOR_KEY, TEAM, TEAM_KEY
from features.support.processes import wait_until

IN_FORCE_LIMIT_S = 30.0
MODELS_PATH = f"/v1/settings/teams/{TEAM}/models"
RACES = 12


@given("a complete fleet with settings")
def fleet_with_settings(context: Any) -> None:
    start_fleet(context)
    context.accepted = []
    context.shown = {node.name: [] for node in context.cluster.nodes}


@when("operators race to change the same settings while replies are lost")
def race(context: Any) -> None:
    cluster = context.cluster
    cluster.faults(cluster.key_value, lose_after=5, lose_before=3, lose_prefix="/parsley/settings")
    threads = [
        threading.Thread(target=_change_many, args=(context, node.entry.http, number))
        for number, node in enumerate(cluster.nodes)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)


@when("a change is accepted, the key-value service goes down, and nodes restart and pause")
def outage(context: Any) -> None:
    cluster = context.cluster
    watch = _Watcher(context)
    for number in range(3):
        _change(context, cluster.nodes[number].entry.http, f"before-{number}")
    newest = context.accepted[-1][1]
    cluster.nodes[2].pause()
    _change(context, cluster.nodes[0].entry.http, "while-frozen")
    newest = context.accepted[-1][1]
    wait_until(lambda: newest in _models(cluster.nodes[0].entry.http), "active at the first node")
    wait_until(lambda: newest in _models(cluster.nodes[1].entry.http), "active at the second node")
    cluster.faults(cluster.key_value, outage=True)
    cluster.nodes[0].kill()
    cluster.nodes[0].restart()
    cluster.nodes[2].resume()
    wait_until(
        lambda: all(newest in _models(node.entry.http) for node in cluster.nodes),
        "active everywhere during the outage",
        IN_FORCE_LIMIT_S,
    )
    cluster.faults(cluster.key_value, outage=False)
    _change(context, cluster.nodes[2].entry.http, "after")
    wait_until(
        lambda: all("m-after" in _models(node.entry.http) for node in cluster.nodes),
        "the change after the outage is active",
        IN_FORCE_LIMIT_S,
    )
    watch.end()


@then("the newest accepted change is active at every entry")
def in_force(context: Any) -> None:
    assert context.accepted, "no change was accepted"
    _, newest = max(context.accepted)
    wait_until(
        lambda: all(newest in _models(node.entry.http) for node in context.cluster.nodes),
        f"{newest} active at every entry",
        IN_FORCE_LIMIT_S,
    )


@then("the audit trail has every accepted change and no gap")
def audit(context: Any) -> None:
    path = f"/v1/audit/teams/{TEAM}?limit=200"
    address = context.cluster.nodes[0].entry.http
    changes = Caller(OPERATOR_KEY).call(address, "GET", path).json()["changes"]
    versions = sorted(change["version"] for change in changes)
    assert versions == list(range(versions[0], versions[0] + len(versions))), versions
    audited = {
        name for change in changes for name in (change["now"] or {}) if name.startswith("m-")
    }
    missing = {name for _, name in context.accepted} - audited
    assert not missing, missing


@then("no entry ever showed an older change after a newer one")
def never_back(context: Any) -> None:
    order = [name for _, name in sorted(context.accepted)]
    for node, shown in context.shown.items():
        places = [order.index(name) for name in shown if name in order]
        assert places, f"no change was shown by {node}"
        assert places == sorted(places), (node, shown)


def _change_many(context: Any, address: str, operator: int) -> None:
    for number in range(RACES):
        _change(context, address, f"{operator}-{number}", once=True)


def _change(context: Any, address: str, name: str, once: bool = False) -> None:
    """Change the team's models; the name of the second model identifies the change."""
    model = f"m-{name}"

    def put() -> bool:
        response = Caller(OPERATOR_KEY).call(address, "PUT", MODELS_PATH, {MODEL: {}, model: {}})
        if response.status == 200:
            context.accepted.append((response.json()["revision"], model))
        return response.status == 200

    if once:
        put()
    else:
        wait_until(put, f"{model} accepted")


def _models(address: str) -> list[str]:
    response = Caller(TEAM_KEY, call_timeout_s=1).call(address, "GET", "/v1/models")
    return [model["id"] for model in response.json()["data"]] if response.status == 200 else []


class _Watcher:
    """Record in threads each change that the entries show."""

    def __init__(self, context: Any) -> None:
        self.context = context
        self.ended = threading.Event()
        self.threads = [
            threading.Thread(target=self._watch, args=(node,), daemon=True)
            for node in context.cluster.nodes
        ]
        for thread in self.threads:
            thread.start()

    def end(self) -> None:
        """Stop watching."""
        self.ended.set()
        for thread in self.threads:
            thread.join(10)

    def _watch(self, node: Any) -> None:
        shown = self.context.shown[node.name]
        while not self.ended.is_set():
            for name in _models(node.entry.http):
                if name.startswith("m-") and (not shown or shown[-1] != name):
                    shown.append(name)
            time.sleep(0.05)
