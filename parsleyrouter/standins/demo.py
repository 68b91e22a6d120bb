"""The demo: online requests before and during a batch job, on an embedded fleet."""

import http.client
import json
import statistics
import time
from dataclasses import dataclass, field
from typing import Any

from rich.console import Console
from rich.table import Table

from parsleyrouter.connection.stream import split_address
from parsleyrouter.ids import Address
from parsleyrouter.standins.embedded import EmbeddedFleet

__all__ = ["run_demo"]

QUESTION_COUNT = 30
ITEM_COUNT = 200
CALL_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 20.0
JOB_TIMEOUT_S = 180.0
POLL_S = 0.2
CARD_KEY = "demo-card"


class DemoFailed(Exception):
    """A step of the demo failed; see the log lines above."""


@dataclass
class _Round:
    """Latencies of one round of online requests, in seconds."""

    name: str
    first_token_s: list[float] = field(default_factory=list)
    total_s: list[float] = field(default_factory=list)


def run_demo(fleet: EmbeddedFleet, console: Console) -> None:
    """Configure the fleet, measure online requests without and with a batch job, and print both."""
    _set_up(fleet)
    console.print(f"{len(fleet.entries)} nodes, {len(fleet.engines)} engines are up")
    alone = _ask_round(fleet, "without batch")
    job = _submit(fleet)
    console.print(f"job {job} accepted with {ITEM_COUNT} items")
    shared = _ask_round(fleet, "while the batch runs")
    status = _wait_done(fleet, job, console)
    results = _results(fleet, job)
    _show(console, [alone, shared], status, results)
    _send_card_twice(fleet, console)


def _call(
    address: Address, method: str, path: str, key: str, body: Any = None, **headers: str
) -> tuple[int, bytes]:
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    data = body if isinstance(body, bytes) else json.dumps(body).encode() if body else None
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    connection.request(method, path, data, {"Authorization": f"Bearer {key}"} | named)
    response = connection.getresponse()
    found = response.status, response.read()
    connection.close()
    return found


def _expect(status: int, found: tuple[int, bytes], what: str) -> bytes:
    if found[0] != status:
        raise DemoFailed(f"{what}: status {found[0]}: {found[1].decode(errors='replace')}")
    return found[1]


def _set_up(fleet: EmbeddedFleet) -> None:
    entry, key = fleet.entries[0], fleet.options.operator_key
    for path, value in (
        ("/v1/settings/fleet", fleet.fleet_settings()),
        ("/v1/settings/teams/demo", fleet.team_settings()),
    ):
        _expect(200, _call(entry, "PUT", path, key, value), path)
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        if all(_serves(fleet, entry) for entry in fleet.entries):
            return
        time.sleep(POLL_S)
    raise DemoFailed("the fleet did not apply its settings in time")


def _serves(fleet: EmbeddedFleet, entry: Address) -> bool:
    status, body = _call(entry, "GET", "/v1/locate", fleet.options.team_key)
    return status == 200 and len(json.loads(body)["entries"]) == len(fleet.entries)


def _ask_round(fleet: EmbeddedFleet, name: str) -> _Round:
    round_times = _Round(name)
    for number in range(QUESTION_COUNT):
        first_s, total_s = _ask(fleet, fleet.entries[number % len(fleet.entries)], number)
        round_times.first_token_s.append(first_s)
        round_times.total_s.append(total_s)
    return round_times


def _ask(fleet: EmbeddedFleet, entry: Address, number: int) -> tuple[float, float]:
    host, port = split_address(entry)
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    body = {
        "model": fleet.options.model,
        "stream": True,
        "max_tokens": 16,
        "messages": [{"role": "user", "content": f"question {number}"}],
    }
    headers = {"Authorization": f"Bearer {fleet.options.team_key}"}
    started_s = time.monotonic()
    connection.request("POST", "/v1/chat/completions", json.dumps(body).encode(), headers)
    response = connection.getresponse()
    first = response.read1()
    first_s = time.monotonic() - started_s
    text = first + response.read()
    connection.close()
    if response.status != 200 or b"[DONE]" not in text:
        raise DemoFailed(f"question {number}: status {response.status}: {text[:300]!r}")
    return first_s, time.monotonic() - started_s


def _submit(fleet: EmbeddedFleet) -> str:
    lines = [
        json.dumps(
            {
                "custom_id": f"introduction-{number}",
                "url": "/v1/chat/completions",
                "body": {
                    "model": fleet.options.model,
                    "max_tokens": 24,
                    "messages": [{"role": "user", "content": f"introduce newcomer {number}"}],
                },
            }
        )
        for number in range(ITEM_COUNT)
    ]
    found = _call(
        fleet.entries[0],
        "POST",
        "/v1/batches",
        fleet.options.team_key,
        "\n".join(lines).encode(),
        Idempotency_Key="demo-job",
        X_Parsley_Kind="introduction",
    )
    return str(json.loads(_expect(202, found, "submit"))["id"])


def _wait_done(fleet: EmbeddedFleet, job: str, console: Console) -> dict[str, Any]:
    deadline = time.monotonic() + JOB_TIMEOUT_S
    with console.status("job runs") as shown:
        while time.monotonic() < deadline:
            found = _call(fleet.entries[-1], "GET", f"/v1/batches/{job}", fleet.options.team_key)
            status: dict[str, Any] = json.loads(_expect(200, found, "status"))
            shown.update(f"job runs: {status}")
            if status["state"] == "completed":
                return status
            time.sleep(POLL_S)
    raise DemoFailed(f"job {job} did not end in {JOB_TIMEOUT_S:g} s")


def _results(fleet: EmbeddedFleet, job: str) -> list[dict[str, Any]]:
    path = f"/v1/batches/{job}/results"
    found = _call(fleet.entries[-1], "GET", path, fleet.options.team_key)
    lines = [json.loads(line) for line in _expect(200, found, "results").splitlines()]
    if (
        sorted({line["index"] for line in lines}) != list(range(ITEM_COUNT))
        or len(lines) != ITEM_COUNT
    ):
        raise DemoFailed(f"{len(lines)} results came back for {ITEM_COUNT} items")
    return lines


def _send_card_twice(fleet: EmbeddedFleet, console: Console) -> None:
    """Send one idempotency key to two entries and print how often the request was executed."""
    path = f"/v1/services/{fleet.options.application}/cards"
    card = {"card": "meet at the lighthouse"}
    bodies = []
    for entry in (fleet.entries[0], fleet.entries[-1]):
        found = _call(entry, "POST", path, fleet.options.team_key, card, Idempotency_Key=CARD_KEY)
        bodies.append(_expect(200, found, "card"))
    found = _call(fleet.services[0], "GET", "/control/executions", "")
    runs = json.loads(_expect(200, found, "executions"))["counts"]
    console.print(f"card sent twice, answers equal: {bodies[0] == bodies[1]}; executions: {runs}")


def _show(
    console: Console, rounds: list[_Round], status: dict[str, Any], results: list[dict[str, Any]]
) -> None:
    table = Table("questions", "asked", "first token p50 ms", "max ms", "whole p50 ms")
    for round_times in rounds:
        table.add_row(
            round_times.name,
            str(len(round_times.first_token_s)),
            f"{statistics.median(round_times.first_token_s) * 1000:.0f}",
            f"{max(round_times.first_token_s) * 1000:.0f}",
            f"{statistics.median(round_times.total_s) * 1000:.0f}",
        )
    console.print(table)
    ok = sum(line["outcome"] == "ok" for line in results)
    console.print(f"batch: {len(results)} results for {ITEM_COUNT} items, {ok} ok; {status}")
    console.print(json.dumps(results[0])[:300])
