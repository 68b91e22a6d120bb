"""Clients of a soak: online requests on kept and new connections, and batch jobs."""

import json
from base64 import b64encode
from typing import Any

import h11

from features.support.front_fleet import Caller
from parsleyrouter.connection.stream import ConnectFailed
from soak.journal import Attempt, JobStory, Kind
from soak.nodes import Node
from soak.world import World

__all__ = ["online_client", "batch_client", "until_served"]

DEADLINE_MS = 3000
PATIENCE_S = 4.0
"""How long a client waits for an answer: its deadline and a second for the way."""

PAUSE_S = 0.05
READ_PAUSE_S = 0.3
ITEMS = 5
MOST_SUBMITS = 6


async def ask(
    world: World, node: Node, caller: Caller | None, kind: Kind, attempt: str
) -> tuple[Attempt, Caller | None]:
    """Send one request; return what came and the connection if it may be used again."""
    seen = Attempt(attempt, kind, node.name, world.loop.now())
    seen.version, seen.version_s = world.version, world.version_s
    world.journal.attempts[attempt] = seen
    if caller is None or not _reusable(caller):
        caller = Caller(world.runtime, world.address_of(node))
    try:
        target, body = f"/{kind.value}/{attempt}", f"body {attempt}".encode()
        await caller.send("POST", target, body, attempt=attempt, deadline_ms=DEADLINE_MS)
        answer = await caller.wait(PATIENCE_S)
    except (ConnectFailed, AssertionError):
        caller.close()
        seen.ended_s = world.loop.now()
        return seen, None
    seen.status, seen.body, seen.complete = answer.status, answer.body, answer.complete
    seen.proof = answer.headers.get("X-Response-Signature", "")
    seen.ended_s = world.loop.now()
    again = answer.complete and _reusable(caller)
    if not again:
        caller.close()
    return seen, caller if again else None


def _reusable(caller: Caller) -> bool:
    return not caller.closed and caller.parser.states[h11.CLIENT] is h11.IDLE


async def online_client(world: World, number: int, until_s: float) -> None:
    """Send requests one after the other, mostly on a connection that is kept."""
    kept: dict[str, Caller | None] = {}
    count = 0
    node = world.client_random.choice(world.nodes)
    while world.loop.now() < until_s:
        count += 1
        if world.client_random.random() < 0.1:
            node = world.client_random.choice(world.nodes)
        kind = world.client_random.choice(list(Kind))
        caller = kept.pop(node.name, None) if world.client_random.random() < 0.8 else None
        attempt = f"{number:x}a{count:x}f"
        _, kept[node.name] = await ask(world, node, caller, kind, attempt)
        await world.loop.sleep(world.client_random.uniform(0.0, 2 * PAUSE_S))


async def batch_client(world: World, number: int, until_s: float, give_up_s: float) -> None:
    """Submit jobs until a time, and read each to its end or until the soak gives up."""
    count = 0
    while world.loop.now() < until_s:
        count += 1
        job = f"{number:x}b{count:x}f"
        story = JobStory(job, [f"{job}i{index}" for index in range(ITEMS)])
        world.journal.jobs[job] = story
        if await _submit(world, story):
            await _read(world, story, give_up_s)


def _job_body(story: JobStory) -> bytes:
    items: list[dict[str, Any]] = [
        {
            "id": item,
            "path": f"/bulk/{item}",
            "headers": {"X-Model": "m"},
            "body": b64encode(f"body {item}".encode()).decode(),
            "tokens": 10,
        }
        for item in story.items
    ]
    return json.dumps({"items": items}).encode()


async def _call(world: World, method: str, target: str, body: bytes, **named: Any) -> Any:
    """Make one call at a random node on a connection of its own; ``None`` without an answer."""
    node = world.client_random.choice(world.nodes)
    caller = Caller(world.runtime, world.address_of(node))
    try:
        await caller.send(method, target, body, deadline_ms=None, **named)
        answer = await caller.wait(PATIENCE_S)
    except (ConnectFailed, AssertionError):
        return None, node
    finally:
        caller.close()
    return (answer if answer.complete else None), node


async def _submit(world: World, story: JobStory) -> bool:
    """Submit a job until it is accepted or refused at every try; return whether to read it."""
    for _ in range(MOST_SUBMITS):
        answer, _ = await _call(
            world, "POST", f"/bulk/{story.job}", _job_body(story), attempt=story.job
        )
        story.answers.append(answer.status if answer is not None else 0)
        if answer is not None and answer.status == 202:
            story.accepted_s = world.loop.now()
            return True
        await world.loop.sleep(world.client_random.uniform(0.1, 0.6))
    story.refused_for_good = all(status in (429, 503) for status in story.answers)
    return not story.refused_for_good


async def _read(world: World, story: JobStory, give_up_s: float) -> None:
    while len(story.results) < len(story.items) and world.loop.now() < give_up_s:
        after = len(story.results)
        if world.client_random.random() < 0.2:
            after = world.client_random.randint(0, after)
        sent_s = world.loop.now()
        target = f"/lots/{story.job}?after={after}"
        answer, node = await _call(world, "GET", target, b"", headers=[("X-Wait-Ms", "500")])
        if answer is not None:
            _take(story, after, answer, node.calm_since(sent_s), sent_s)
        await world.loop.sleep(READ_PAUSE_S)


def _take(story: JobStory, after: int, answer: Any, calm: bool, sent_s: float) -> None:
    if answer.status == 404 and story.accepted_s and calm and sent_s > story.accepted_s + 1.0:
        story.problems.append("a node in order does not know the job")
    if answer.status != 200:
        return
    page = json.loads(answer.body)
    if page["total"] != len(story.items) or page["next"] != after + len(page["results"]):
        story.problems.append(f"total or next is wrong: {page['total']}, {page['next']}")
    for position, row in enumerate(page["results"], after):
        result = (row["id"], row["state"], row["output"])
        if story.results.setdefault(position, result) != result:
            story.problems.append(f"position {position} has changed")


async def until_served(world: World, tries: int) -> list[Attempt]:
    """Ask each node once all faults have ended."""
    seen = []
    for number in range(tries):
        for index, node in enumerate(world.nodes):
            attempt, caller = await ask(world, node, None, Kind.SAFE, f"{index:x}e{number:x}f")
            seen.append(attempt)
            if caller is not None:
                caller.close()
    return seen
