"""Steps for the check of a configuration."""

import contextlib
import io
import json
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from typing import Any

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from parsleyrouter.commands.ctl import main
from parsleyrouter.config_check import CHECKS, Severity, run_checks
from parsleyrouter.decoding import InvalidData
from parsleyrouter.platform.config_document import read_document
from parsleyrouter.platform.routes import decode_routes

ROOT = Path(__file__).resolve().parents[2]
KEY = "secret-key-of-ant"


def sound() -> dict[str, Any]:
    """Return a configuration without any finding."""
    common = {"host": "callers.example", "timeoutMs": 5000, "targetLatencyMs": 300}
    return {
        "version": 3,
        "routes": [
            common | {"name": "card", "prefix": "/card/", "kind": "safe", "service": "cards"},
            common | {"name": "chat", "prefix": "/chat/", "kind": "stream", "service": "engines"},
            common
            | {"name": "bulk", "prefix": "/bulk/", "kind": "batch", "service": "engines"}
            | {"runTargetMs": 18_000, "retentionS": 60, "maxCount": 90_000},
        ],
        "services": [
            {"name": "cards"},
            {"name": "engines", "engine": {"slots": 8, "kvCapacity": 50_000}},
        ],
        "tenants": [{"name": "ant", "apiKeys": [KEY], "ratePerS": 5, "burst": 10}],
        "limits": {},
    }


Edit = Callable[[dict[str, Any]], Any]


def _route(**changes: Any) -> Edit:
    return lambda config: config["routes"][0].update(changes)


def _customer(**changes: Any) -> Edit:
    return lambda config: config["tenants"][0].update(changes)


def _split(*weights: float) -> Edit:
    names = ("cards", "engines")
    split = [{"service": n, "weight": w} for n, w in zip(names, weights, strict=True)]
    return _route(trafficSplit=split)


EDITS: dict[str, Edit] = {
    "a number where a name belongs": _route(name=5),
    "a key held by two customers": lambda config: config["tenants"].append(
        {"name": "bee", "apiKeys": [KEY]}
    ),
    "two customers with one name": lambda config: config["tenants"].append({"name": "ant"}),
    "a misspelt name": _route(timeoutMS=4000),
    "an unknown kind": _route(kind="saef"),
    "no attempt": _route(maxAttempts=0),
    "two routes with one name": _route(name="chat"),
    "two services with one name": lambda config: config["services"].append({"name": "cards"}),
    "a service that is not there": _route(service="card"),
    "a prefix without its last slash": _route(prefix="/card"),
    "shares that are all 0": _split(0, 0),
    "a share of 0": _split(1, 0),
    "a prefix twice": _route(prefix="/chat/"),
    "a customer without keys": _customer(apiKeys=[]),
    "a service that no route names": lambda config: config["services"].append({"name": "old"}),
    "a plain route that is resumable": _route(resumable=True),
    "a timeout of 0": _route(timeoutMs=0),
    "a priority below 0": _route(priority=-1),
    "headers of no bytes": lambda config: config["limits"].update(maxHeaderBytes=0),
    "endpoints without connections": lambda config: config["services"][0].update(maxConnections=0),
    "an objective above the timeout": _route(targetLatencyMs=6000),
    "a burst of half a request": _customer(burst=0.5),
    "a burst without a rate": _customer(ratePerS=0),
    "a retention below the target": lambda config: config["routes"][2].update(retentionS=5),
    "limits above what endpoints take": _customer(ratePerS=1000),
    "jobs that can't end in their time": lambda config: (
        config["routes"][1].update(gapAimMs=100),
        config["routes"][2].update(maxCount=90_000, runTargetMs=18_000),
    ),
    "few waiting tokens": lambda config: config["routes"][2].update(maxCount=100),
}
TEXTS = {"text that is no JSON": b'{"version": 3,', "a list instead of the record": b"[]"}


def edited(what: str) -> bytes:
    """Return the sound configuration with one edit."""
    if what in TEXTS:
        return TEXTS[what]
    config = sound()
    EDITS[what](config)
    return json.dumps(config).encode()


def run_command(*arguments: str) -> tuple[int, str]:
    """Run parsleyctl and return its exit status and output."""
    output, status = io.StringIO(), 0
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            main(list(arguments))
        except SystemExit as end:
            status = int(end.code or 0)
    return status, output.getvalue()


def check_files(*texts: bytes, options: Sequence[str] = ()) -> tuple[int, str]:
    """Run the command on a configuration, against another one if given."""
    with tempfile.TemporaryDirectory() as folder:
        paths = [Path(folder) / f"{number}.json" for number in range(len(texts))]
        for path, text in zip(paths, texts, strict=True):
            path.write_bytes(text)
        against = ["--against", str(paths[1])] if len(paths) > 1 else []
        return run_command("check-config", str(paths[0]), *against, *options, "--json")


@when("a sound configuration is checked")
def step_sound(context: Any) -> None:
    context.status, context.output = check_files(json.dumps(sound()).encode())


@then("nothing is found and the exit status is 0")
def step_nothing(context: Any) -> None:
    assert context.status == 0, context.output
    assert json.loads(context.output) == {"findings": [], "differences": []}


@when("a configuration with {what} is checked")
def step_edited(context: Any, what: str) -> None:
    context.status, context.output = check_files(edited(what))


@then("the check {name} finds it as a {severity} that names the place and a remedy")
def step_finds(context: Any, name: str, severity: str) -> None:
    findings = json.loads(context.output)["findings"]
    found = [one for one in findings if (one["check"], one["severity"]) == (name, severity)]
    assert found, findings
    assert all(one["place"] and one["problem"] and one["remedy"] for one in found), found
    worst = Severity.ERROR.value in {one["severity"] for one in findings}
    assert context.status == (2 if worst else 1), context.status
    assert KEY not in context.output


@then("each registered check is named in this feature")
def step_all_named(context: Any) -> None:
    text = (ROOT / "features" / "config_check.feature").read_text()
    missing = [name for name in CHECKS if f"| {name} " not in text]
    assert not missing, missing


@when("a configuration is checked against another one")
def step_against(context: Any) -> None:
    config = sound()
    config["routes"][0]["timeoutMs"] = 6000
    del config["routes"][1]
    config["routes"].append(config["routes"][0] | {"name": "new", "prefix": "/new/"})
    config["tenants"][0]["apiKeys"] = ["another"]
    config["limits"] = {"maxBodyBytes": 1000}
    texts = (json.dumps(config).encode(), json.dumps(sound()).encode())
    context.status, context.output = check_files(*texts)


@then("added, removed and changed entries are shown with their effect")
def step_differences(context: Any) -> None:
    found = {one["place"]: one for one in json.loads(context.output)["differences"]}
    changes = {place: one["change"] for place, one in found.items()}
    assert changes == {
        "route 'card'": "changed",
        "route 'chat'": "removed",
        "route 'new'": "added",
        "customer 'ant'": "changed",
        "limits": "changed",
    }, changes
    assert found["route 'card'"]["details"] == "timeout_s: 5.0 -> 6.0", found
    assert found["customer 'ant'"]["details"] == "1 keys added, 1 removed", found
    assert "body_bytes" in found["limits"]["details"], found
    assert all(one["effect"] for one in found.values())
    assert context.status == 0, context.output


@when("configurations with keys in every wrong place are checked against each other")
def step_keys(context: Any) -> None:
    wrong: list[Any] = [[KEY, KEY + "\n"], KEY, {KEY: 1}, [[KEY]], [KEY + "x" * 5000], [5, KEY]]
    outputs = []
    for keys in wrong:
        config = sound()
        config["tenants"] = [{"name": "a", "apiKeys": keys}, {"name": "b", "apiKeys": [KEY]}]
        text = json.dumps(config).encode()
        outputs.append(check_files(text)[1])
        outputs.append(check_files(text, json.dumps(sound()).encode())[1])
        outputs.append(check_files(json.dumps(sound()).encode(), text)[1])
        outputs.append(check_files(text[:-30])[1])
    config = sound()
    config["tenants"][0][KEY] = 1
    outputs.append(check_files(json.dumps(config).encode())[1])
    context.outputs = outputs


@then("no output holds a key")
def step_no_key(context: Any) -> None:
    assert context.outputs
    for output in context.outputs:
        assert KEY not in output, output


@st.composite
def configurations(draw: Any) -> dict[str, Any]:
    """Draw configurations with and without faults."""
    config = sound()
    for what in draw(st.lists(st.sampled_from(sorted(EDITS)), max_size=4)):
        # An edit may not fit a configuration that earlier ones have changed.
        with contextlib.suppress(KeyError, IndexError):
            EDITS[what](config)
    names = st.sampled_from(["cards", "engines", "none"])
    for number in range(draw(st.integers(0, 3))):
        prefix = draw(st.sampled_from(["/", "/a/", "/a/b/", "/chat/", "/x"]))
        route = {"name": f"r{number}", "host": "callers.example", "prefix": prefix}
        weights = draw(st.lists(st.floats(-1, 2), max_size=3))
        split = [{"service": draw(names), "weight": weight} for weight in weights]
        config["routes"].append(route | {"service": draw(names), "trafficSplit": split})
    return config


@then("for all configurations, what the check finds is what a node does")
def step_agree(context: Any) -> None:
    @settings(max_examples=300)
    @for_all(configurations())
    def agree(config: dict[str, Any]) -> None:
        text = json.dumps(config).encode()
        findings = run_checks(read_document(text))
        found = {(one.check, one.place) for one in findings}
        try:
            table = decode_routes(text)
        except InvalidData:
            assert ("readable", "file") in found, found
            return
        assert ("readable", "file") not in found, found
        for route in table.routes:
            place = f"route {route.name!r}"
            same = [one for one in table.routes if one.name == route.name]
            if len(same) == 1:
                unreachable = table.find(route.host, route.prefix) is not route
                assert unreachable == (("routes_unreachable", place) in found), (route, found)
            if ("shares_impossible", place) not in found:
                chosen = route.pick_service(Random(1))
                known = chosen in table.services
                assert known or ("services_unknown", place) in found, (route, found)

    agree()


@when("the example configuration is checked by the command")
def step_example(context: Any) -> None:
    path = ROOT / "examples" / "operator-config.json"
    context.status, context.output = run_command("check-config", str(path))


@then("the output and the exit status are those of the documentation")
def step_documented(context: Any) -> None:
    text = (ROOT / "docs" / "SETTINGS.md").read_text()
    example = text.partition("$ parsleyctl check-config examples/operator-config.json\n")[2]
    shown = example.partition("```")[0].strip().splitlines()
    lines = context.output.strip().splitlines()
    assert shown == lines, (shown, lines)
    assert context.status == 2
