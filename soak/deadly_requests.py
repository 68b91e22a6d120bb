"""The fault of requests that crash endpoints, and the callers that send them and sound ones."""

from dataclasses import dataclass
from random import Random
from typing import Any

from features.support.front_fleet import Caller
from parsleyrouter.process.loop import Promise
from soak.callers import send_request
from soak.faults import fault
from soak.journal import CLIENT_KINDS, Kind, RequestContent
from soak.world import FIRST_PARTS, REQUEST_DOWN_S, World

__all__ = ["deadly_request"]

SECOND_PARTS = 3
REUSE_SHARE = 0.8
SOUND_CALLERS = 3
SOUND_PAUSE_S = 0.3
"""Mean pause between two sound requests of a caller."""

RETRY_PAUSE_S = 0.05
"""Mean pause after a refusal of callers that do not wait."""

REFUSALS = (429, 503)


@dataclass(frozen=True)
class _Load:
    """How callers send one request; times are in seconds."""

    content: RequestContent
    callers: int
    pause_s: float
    at_once: bool
    """Whether they send it again without a pause after a refusal."""


@fault("deadly request")
async def deadly_request(world: World) -> None:
    """Let requests crash every endpoint that begins to run them, sent again by many callers."""
    random = world.random
    loads = [_draw(world) for _ in range(random.choice([1, 1, 2]))]
    served_s, lasts_s = random.choice([0.0, 1.5]), random.uniform(6.0, 16.0)
    until_s = world.loop.now() + served_s + lasts_s
    callers: list[Promise[Any]] = []
    for load in loads:
        for one in (load, *_sound_loads(load)):
            tasks = (_send_again(world, one, until_s) for _ in range(one.callers))
            callers += [world.loop.spawn(task, "repeating caller") for task in tasks]
    # Requests that are answered before they crash an endpoint must be recognized as well.
    await world.loop.sleep(served_s)
    for load in loads:
        world.begin_deadly_request(load.content)
    await world.loop.sleep(lasts_s)
    for load in loads:
        world.end_deadly_request(load.content)
    await world.loop.gather(callers)
    await world.loop.sleep(REQUEST_DOWN_S)


def _draw(world: World) -> _Load:
    """Return a request, with a prompt or without, and how often it comes."""
    random, name = world.random, f"kill{next(world.numbers):x}"
    kind = random.choice(list(CLIENT_KINDS))
    stream = kind in (Kind.STREAM, Kind.RESUMABLE)
    parts = (*_shared_parts(random), name) if random.random() < 0.5 and stream else ()
    content = RequestContent(kind, f"/{kind.value}/{name}", f"body {name}".encode(), parts)
    callers, pause_s = random.choice([1, 2, 4]), random.choice([0.1, 0.5, 1.5])
    return _Load(content, callers, pause_s, random.random() < 0.5)


def _shared_parts(random: Random) -> tuple[str, str]:
    first = random.choice(FIRST_PARTS)
    return first, f"{first}b{random.randrange(SECOND_PARTS)}"


def _sound_loads(load: _Load) -> list[_Load]:
    """Return sound requests that share path, body or prompt parts with a deadly one."""
    deadly = load.content
    name = deadly.target.rpartition("/")[2]
    parts = (*deadly.parts[:-1], f"{name}s") if deadly.parts else ()
    target, body = f"{deadly.target}s", f"body {name}s".encode()
    return [
        _Load(RequestContent(deadly.kind, *own, parts), callers, SOUND_PAUSE_S, at_once=False)
        for own, callers in (
            ((target, body), SOUND_CALLERS),
            ((deadly.target, body), 1),
            ((target, deadly.body), 1),
        )
    ]


async def _send_again(world: World, load: _Load, until_s: float) -> None:
    """Send a request under new ids at any node until a time."""
    connections: dict[str, Caller | None] = {}
    random, content = world.client_random, load.content
    while world.loop.now() < until_s:
        node = random.choice(world.nodes)
        caller = connections.pop(node.name, None) if random.random() < REUSE_SHARE else None
        attempt = f"{next(world.numbers):x}d"
        seen, connections[node.name] = await send_request(
            world, node, caller, content.kind, attempt, content
        )
        soon = load.at_once and seen.status in REFUSALS
        pause_s = RETRY_PAUSE_S if soon else load.pause_s
        await world.loop.sleep(random.uniform(0.0, 2 * pause_s))
