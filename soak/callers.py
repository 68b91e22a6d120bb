"""Clients of a soak: online requests on reused and new connections, and batch jobs."""

import json
from base64 import b64encode
from collections.abc import Callable
from typing import Any

import h11

from features.support.front_fleet import Caller
from parsleyrouter.connection.stream import ConnectFailed
from parsleyrouter.process.loop import Promise
from soak.endpoints import SENDING_HEADER
from soak.journal import CLIENT_KINDS, REFUSALS, Attempt, JobTrace, Kind, RequestContent
from soak.nodes import Node
from soak.world import FIRST_PARTS, World

__all__ = ["batch_client", "online_client", "probe_nodes", "send_request"]

DEADLINE_MS = 3000
RESPONSE_TIMEOUT_S = 4.0
"""The deadline of a request and 1 s for the network."""

MEAN_PAUSE_S = 0.05
READ_INTERVAL_S = 0.3
ITEMS_PER_JOB = 5
MAX_SUBMITS = 6
REPEAT_SHARE = 0.5
"""Share of the refused requests that are sent again under their ids."""

MAX_SENDINGS = 4
MEAN_REPEAT_PAUSE_S = 0.1
LONG_JOB_S = 4.0
"""Time after which a client submits another job though the last is not read."""

MAX_UNREAD_JOBS = 4

DEADLY_SHARE = 0.25
"""Share of streams and items that hold a deadly part while there is one."""

PROMPT_SHARE = 0.5
"""Share of the other items that have a prompt of several parts."""

SECOND_PARTS = 3


async def send_request(
    world: World,
    node: Node,
    caller: Caller | None,
    kind: Kind,
    attempt: str,
    content: RequestContent | None = None,
    *,
    before: Attempt | None = None,
    credential: str | None = None,
) -> tuple[Attempt, Caller | None]:
    """Send one request, perhaps again; return its record and the connection if it can be reused."""
    seen = Attempt(attempt, kind, node.name, world.loop.now())
    seen.version, seen.version_s = world.version, world.version_s
    seen.credential = credential
    if before is not None:
        seen.content, seen.parts = before.content, before.parts
        seen.sending = before.sending + 1
    elif content is not None:
        seen.content, seen.parts = content, content.parts
    elif kind in (Kind.STREAM, Kind.RESUMABLE):
        seen.parts = _choose_parts(world, attempt)
    world.journal.attempts[seen.key] = seen
    if caller is None or not _reusable(caller):
        caller = Caller(world.runtime, world.address_of(node))
    try:
        target, body = f"/{kind.value}/{attempt}", f"body {attempt}".encode()
        if seen.content is not None:
            target, body = seen.content.target, seen.content.body
        headers = world.credential_headers(credential)
        headers += list(_prompt_headers(seen.parts).items()) if seen.parts else []
        if seen.sending > 1:
            headers.append((SENDING_HEADER, str(seen.sending)))
        await caller.send(
            "POST",
            target,
            body,
            attempt=attempt,
            deadline_ms=DEADLINE_MS,
            headers=headers,
        )
        response = await caller.wait(RESPONSE_TIMEOUT_S)
    except (ConnectFailed, AssertionError):
        caller.close()
        seen.ended_s = world.loop.now()
        return seen, None
    seen.status, seen.body, seen.complete = response.status, response.body, response.complete
    seen.proof = response.headers.get("X-Response-Signature", "")
    seen.ended_s = world.loop.now()
    reusable = response.complete and _reusable(caller)
    if not reusable:
        caller.close()
    return seen, caller if reusable else None


def _prompt_headers(parts: tuple[str, ...]) -> dict[str, str]:
    """Return the headers that name the model and the parts of a prompt, if it has any."""
    prompt = {"X-Prompt-Prefix": ",".join(f"{part}:50" for part in parts)} if parts else {}
    return {"X-Model": "m"} | prompt


def _choose_parts(world: World, attempt: str) -> tuple[str, ...]:
    """Return the parts of a prompt; some hold a part that is deadly at present."""
    deadly = list(world.deadly_parts().values())
    if deadly and world.client_random.random() < DEADLY_SHARE:
        one = world.client_random.choice(deadly)
        return (one.first_part, f"{one.first_part}b0", one.part, attempt)
    first = world.client_random.choice(FIRST_PARTS)
    return (first, f"{first}b{world.client_random.randrange(SECOND_PARTS)}", attempt)


def _reusable(caller: Caller) -> bool:
    return not caller.closed and caller.parser.states[h11.CLIENT] is h11.IDLE


async def online_client(world: World, number: int, until_s: float) -> None:
    """Send requests one after another, most of them on a reused connection."""
    connections: dict[str, Caller | None] = {}
    count = 0
    node = world.client_random.choice(world.nodes)
    while world.loop.now() < until_s:
        count += 1
        if world.client_random.random() < 0.1:
            node = world.client_random.choice(world.nodes)
        kind = world.client_random.choice(list(CLIENT_KINDS))
        caller = connections.pop(node.name, None) if world.client_random.random() < 0.8 else None
        attempt = f"{number:x}a{count:x}f"
        seen, caller = await send_request(world, node, caller, kind, attempt)
        while _is_sent_again(world, seen):
            await world.loop.sleep(world.client_random.uniform(0.0, 2 * MEAN_REPEAT_PAUSE_S))
            seen, caller = await send_request(world, node, caller, kind, attempt, before=seen)
        connections[node.name] = caller
        await world.loop.sleep(world.client_random.uniform(0.0, 2 * MEAN_PAUSE_S))


def _is_sent_again(world: World, seen: Attempt) -> bool:
    """Return whether the client sends a refused request again under its id."""
    refused = seen.status in REFUSALS and seen.complete and seen.sending < MAX_SENDINGS
    return refused and world.client_random.random() < REPEAT_SHARE


async def batch_client(
    world: World, number: int, until_s: float, give_up_s: Callable[[], float]
) -> None:
    """Submit jobs until a time, and read each until it is complete or the soak gives up."""
    count = 0
    reads: list[Promise[Any]] = []
    while world.loop.now() < until_s:
        count += 1
        job = f"{number:x}b{count:x}f"
        record = JobTrace(job, [f"{job}i{index}" for index in range(ITEMS_PER_JOB)])
        record.parts = {item: _choose_item_parts(world, item) for item in record.items}
        world.journal.jobs[job] = record
        if await _submit(world, record):
            reads.append(world.loop.spawn(_read_results(world, record, give_up_s)))
            await _wait_for_read(world, reads, until_s)
    await world.loop.gather(reads)


async def _wait_for_read(world: World, reads: list[Promise[Any]], until_s: float) -> None:
    """Wait until the last job is read, or takes long and few others are unread."""
    long_s = world.loop.now() + LONG_JOB_S
    while not reads[-1].done and world.loop.now() < until_s:
        await world.loop.sleep(READ_INTERVAL_S)
        unread = sum(not one.done for one in reads)
        if unread < MAX_UNREAD_JOBS and world.loop.now() > long_s:
            return


def _choose_item_parts(world: World, item: str) -> tuple[str, ...]:
    parts = _choose_parts(world, item)
    deadly = not world.deadly_parts().keys().isdisjoint(parts)
    return parts if deadly or world.client_random.random() < PROMPT_SHARE else ()


def _job_body(record: JobTrace) -> bytes:
    items: list[dict[str, Any]] = [
        {
            "id": item,
            "path": f"/bulk/{item}",
            "headers": _prompt_headers(record.parts[item]),
            "body": b64encode(f"body {item}".encode()).decode(),
            "tokens": 10,
        }
        for item in record.items
    ]
    return json.dumps({"items": items}).encode()


async def _call_any_node(world: World, method: str, target: str, body: bytes, **named: Any) -> Any:
    """Call a random node on a new connection; the response is ``None`` when it is incomplete."""
    node = world.client_random.choice(world.nodes)
    caller = Caller(world.runtime, world.address_of(node))
    headers = [*named.pop("headers", []), *world.credential_headers()]
    try:
        await caller.send(method, target, body, deadline_ms=None, headers=headers, **named)
        response = await caller.wait(RESPONSE_TIMEOUT_S)
    except (ConnectFailed, AssertionError):
        return None, node
    finally:
        caller.close()
    return (response if response.complete else None), node


async def _submit(world: World, record: JobTrace) -> bool:
    """Submit a job until it is accepted or all attempts fail; return whether to read it."""
    for _ in range(MAX_SUBMITS):
        response, _ = await _call_any_node(
            world, "POST", f"/bulk/{record.job}", _job_body(record), attempt=record.job
        )
        record.answers.append(response.status if response is not None else 0)
        if response is not None and response.status == 202:
            record.accepted_s = world.loop.now()
            return True
        await world.loop.sleep(world.client_random.uniform(0.1, 0.6))
    record.refused_for_good = all(status in (429, 503) for status in record.answers)
    return not record.refused_for_good


async def _read_results(world: World, record: JobTrace, give_up_s: Callable[[], float]) -> None:
    while len(record.results) < len(record.items) and world.loop.now() < give_up_s():
        after = len(record.results)
        if world.client_random.random() < 0.2:
            after = world.client_random.randint(0, after)
        sent_s = world.loop.now()
        target = f"/lots/{record.job}?after={after}"
        response, node = await _call_any_node(
            world, "GET", target, b"", headers=[("X-Wait-Ms", "500")]
        )
        if response is not None:
            _check_page(record, after, response, node.undisturbed_since(sent_s), sent_s)
        await world.loop.sleep(READ_INTERVAL_S)


def _check_page(
    record: JobTrace, after: int, response: Any, undisturbed: bool, sent_s: float
) -> None:
    if (
        response.status == 404
        and record.accepted_s
        and undisturbed
        and sent_s > record.accepted_s + 1.0
    ):
        record.problems.append("an undisturbed node does not know the job")
    if response.status != 200:
        return
    page = json.loads(response.body)
    if page["total"] != len(record.items) or page["next"] != after + len(page["results"]):
        record.problems.append(f"total or next is wrong: {page['total']}, {page['next']}")
    for position, row in enumerate(page["results"], after):
        result = (row["id"], row["state"], row["output"])
        if record.results.setdefault(position, result) != result:
            record.problems.append(f"position {position} has changed")
    listed = {item for item, _, _ in record.results.values()}
    record.missing_s |= {item: sent_s for item in record.items if item not in listed}


async def probe_nodes(world: World, tries: int) -> list[Attempt]:
    """Send safe requests to every node after the last fault."""
    seen = []
    for number in range(tries):
        for index, node in enumerate(world.nodes):
            attempt, caller = await send_request(
                world, node, None, Kind.SAFE, f"{index:x}e{number:x}f"
            )
            seen.append(attempt)
            if caller is not None:
                caller.close()
    return seen
