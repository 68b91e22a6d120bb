"""Steps for the stand-in of an endpoint that crashes on a prompt part."""

import json
import socket
from typing import Any

from behave import then, when

from features.support.crashing_endpoint import CrashPlan
from features.support.front_fleet import FrontFleet
from features.support.loop import run_on_loop
from features.support.platform_endpoint import EndpointStandIn

REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nX-Prompt-Prefix: %s\r\nContent-Length: 0\r\n\r\n"
LAST_PART, DEADLY_PART = b"a1:10,dead:10", b"a1:10,dead:10,f1:10"


def _connect(endpoint: EndpointStandIn, data: bytes = b"") -> socket.socket:
    host, _, port = endpoint.address.partition(":")
    connection = socket.create_connection((host, int(port)))
    connection.setblocking(False)
    connection.send(data)
    return connection


def _read(connection: socket.socket) -> str:
    """Read until the connection has nothing more; return how it stands."""
    try:
        while connection.recv(4096):
            pass
    except BlockingIOError:
        return "open"
    except ConnectionResetError:
        return "reset"
    return "closed"


async def _crash(plan: CrashPlan, name: str, *, renamed: bool) -> dict[str, Any]:
    endpoint = plan.add_endpoint(name, renamed=renamed)
    await plan.fleet.loop.sleep(0.05)
    sound = _connect(endpoint, REQUEST % LAST_PART)
    idle = _connect(endpoint)
    await plan.fleet.loop.sleep(0.2)
    seen: dict[str, Any] = {"before": [_read(sound), _read(idle)], "crashes": len(plan.crashes)}
    address, deadly = endpoint.address, _connect(endpoint, REQUEST % DEADLY_PART)
    await plan.fleet.loop.sleep(0.2)
    seen["after"] = [_read(one) for one in (sound, idle, deadly)]
    host, _, port = address.partition(":")
    with socket.socket() as probe:
        seen["refused"] = probe.connect_ex((host, int(port))) != 0
    await plan.fleet.loop.sleep(plan.down_s)
    seen["same address"] = endpoint.address == address
    again = _connect(endpoint, REQUEST % LAST_PART)
    await plan.fleet.loop.sleep(0.2)
    seen["again"] = b"token 5" in again.recv(4096)
    rows = {key: json.loads(row.value) for key, row in plan.fleet.store.rows.items()}
    own = {key: row for key, row in rows.items() if row.get("address") == address}
    seen["entries"] = {key == f"servers/{name}": row["born"] != 1 for key, row in own.items()}
    for one in (sound, idle, deadly, again):
        one.close()
    return seen


@when("stand-ins: endpoints crash on a part of a request and return, some under a new name")
def step_crash(context: Any) -> None:
    context.seen = {}

    async def main(runtime: Any) -> None:
        for renamed in (False, True):
            plan = CrashPlan(FrontFleet(runtime), {"dead"})
            context.seen[renamed] = await _crash(plan, "e", renamed=renamed)

    run_on_loop(main)


@then(
    "stand-ins: all connections were reset, new ones refused until the return, "
    "and it was registered"
)
def step_returned(context: Any) -> None:
    for renamed, seen in context.seen.items():
        assert seen == {
            "before": ["open", "open"],
            "crashes": 0,
            "after": ["reset"] * 3,
            "refused": True,
            "same address": True,
            "again": True,
            "entries": {not renamed: True},
        }, (renamed, seen)
