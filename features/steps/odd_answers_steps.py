"""Steps for answers with odd statuses, and for answers that are reset during the upload."""

import json
import socket
from base64 import b64encode
from typing import Any
from unittest.mock import patch

from behave import given, then, when

from features.steps.front_jobs_steps import full_output, read_all
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet
from features.support.platform_endpoint import Arrival, EndpointStandIn, event, raw
from features.support.resetting_endpoint import ResettingEndpoint
from parsleyrouter.connection import stream

UPLOAD_BYTES = 3_000_000
ITEM_BODY_BYTES = 500_000
SMALL_SEND_BUFFER = (socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
"""Keeps most of an upload in the process, so that the reset comes while it is being written."""

INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
INTERIM_COUNT = 20_000


@given("endpoints whose answers have the status {status}")
def step_odd_status(context: Any, status: str) -> None:
    def make(endpoint: EndpointStandIn, arrival: Arrival) -> bytes:
        if status == "interim without end":
            return INTERIM * INTERIM_COUNT
        body = event(1) + event(2)
        lines = [b"%s: %s\r\n" % line for line in endpoint.proof(arrival)]
        lines.append(b"Content-Type: text/event-stream\r\nContent-Length: %d\r\n" % len(body))
        return b"HTTP/1.1 %s Odd\r\n" % status.encode() + b"".join(lines) + b"\r\n" + body

    context.behaviour = raw(make)
    context.resetting = None


@given("an endpoint that answers without a length and resets while the upload is written")
def step_resetting(context: Any) -> None:
    context.behaviour = None


@when("a {kind} request is answered by them through a node")
def step_odd_request(context: Any, kind: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name, service in (("e1", "engines"), ("c1", "cards")):
            fleet.register(name, service).default_behaviour = context.behaviour
        await fleet.start()
        context.answer = await fleet.caller().ask("POST", f"/{kind}/1")

    run_with_fleet(context, scenario)


@then("the caller is told that the endpoint failed")
def step_told(context: Any) -> None:
    answer = context.answer
    assert answer.status == 502, answer.status
    assert "X-Response-Signature" not in answer.headers, answer.headers
    assert b"token" not in answer.body, answer.body


@when("an item is answered by them once and then soundly")
def step_odd_item(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.behaviours.append(context.behaviour)
        await fleet.start()
        await _submit(fleet, b"body")
        context.results = await read_all(fleet)
        context.runs = len(endpoint.arrivals)

    run_with_fleet(context, scenario)


@when("a {kind} request with a long body is answered by it through a node")
def step_reset_request(context: Any, kind: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        resetting = ResettingEndpoint(fleet.loop, resets=100)
        _announce(fleet, "e1", "engines", resetting)
        _announce(fleet, "c1", "cards", resetting)
        await fleet.start()
        await fleet.until(lambda: len(fleet.fronts[0].directory.endpoints) == 2)
        context.answer = await fleet.caller().ask("POST", f"/{kind}/1", b"u" * UPLOAD_BYTES)
        resetting.close()
        context.runs = resetting.requests

    _run_with_small_buffers(context, scenario)


@then("the caller gets no answer that looks complete")
def step_not_complete(context: Any) -> None:
    answer = context.answer
    assert context.runs >= 1
    assert answer.status in (502, 504) or (answer.status == 200 and not answer.complete), (
        answer.status,
        answer.complete,
        answer.body[:200],
    )


@when("an item with a long body is answered by it once and then soundly")
def step_reset_item(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        resetting = ResettingEndpoint(fleet.loop, resets=1)
        _announce(fleet, "e1", "engines", resetting)
        await fleet.start()
        await fleet.until(lambda: len(fleet.fronts[0].directory.endpoints) == 1)
        await _submit(fleet, b"u" * ITEM_BODY_BYTES)
        context.results = await read_all(fleet)
        resetting.close()
        context.runs = resetting.requests

    _run_with_small_buffers(context, scenario)


@then("its result is the output of the sound run")
def step_sound_output(context: Any) -> None:
    assert [one["output"] for one in context.results] == [full_output()], context.results
    assert context.runs == 2, context.runs


def _run_with_small_buffers(context: Any, scenario: Any) -> None:
    options = (*stream.KEEP_ALIVE_OPTIONS, SMALL_SEND_BUFFER)
    with patch.object(stream, "KEEP_ALIVE_OPTIONS", options):
        run_with_fleet(context, scenario)


def _announce(fleet: FrontFleet, name: str, service: str, endpoint: ResettingEndpoint) -> None:
    entry = {"service": service, "address": endpoint.address, "zone": "z1", "slots": 8}
    entry |= {"state": "ready", "version": "v1", "sequence": 1, "born": 1}
    fleet.store.put_json(f"servers/{name}", entry)


async def _submit(fleet: FrontFleet, body: bytes) -> None:
    headers = {"X-Model": "m"}
    item = {"id": "item0", "path": "/bulk/0", "headers": headers, "tokens": 10}
    job = json.dumps({"items": [item | {"body": b64encode(body).decode()}]}).encode()
    answer = await fleet.caller().ask("POST", "/bulk/x", job, attempt="job1", deadline_ms=None)
    assert answer.status == 202, (answer.status, answer.body)
