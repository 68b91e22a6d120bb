"""Faults of a soak, all injected from outside the processes."""

import signal
from typing import Any

from parsleyrouter.standins.fault_proxy import FaultProxy, ProxyFaults
from soak.endpoints import LEAVING_HEADER, LIMIT_HEADER
from soak.fault_registry import Fault, registrar
from soak.journal import EndpointLimit
from soak.nodes import GRACE_S, Node
from soak.world import FIRST_PARTS, World, unix_ms

__all__ = ["FAULTS", "Fault"]

FAULTS: dict[str, Fault] = {}
fault = registrar(FAULTS)


def _random_node(world: World) -> Node:
    return world.random.choice(world.nodes)


async def _apply_faults(world: World, link: FaultProxy, lasts_s: float, **faults: Any) -> None:
    """Apply faults to a link for a time; drop faults end with a reset of its connections."""
    for name, value in faults.items():
        setattr(link.faults, name, value)
    link.apply()
    await world.loop.sleep(lasts_s)
    for name in faults:
        setattr(link.faults, name, getattr(ProxyFaults(), name))
    link.apply()
    if faults.keys() & {"drop_up", "drop_down"}:
        _reset(link)


def _reset(link: FaultProxy) -> None:
    for one in list(link.links.values()):
        one.cut()


_LINK_FAULTS: list[dict[str, Any]] = [
    {"cut": True},
    {"freeze": True},
    {"drop_up": True},
    {"drop_down": True},
    {"delay_s": 0.15},
]


@fault("kill")
async def kill(world: World) -> None:
    """Kill several processes simultaneously; the supervisor restarts them."""
    for node in world.random.sample(world.nodes, world.random.randint(1, len(world.nodes))):
        node.mark_disturbed(world.loop.now() + 1.0)
        node.kill()


@fault("pause")
async def pause(world: World) -> None:
    """Pause a process and resume it."""
    node, lasts_s = _random_node(world), world.random.uniform(0.2, 5.0)
    with world.disturbed(node, lasts_s=lasts_s):
        node.signal(signal.SIGSTOP)
        await world.loop.sleep(lasts_s)
        node.signal(signal.SIGCONT)


@fault("stop")
async def stop(world: World) -> None:
    """Shut a process down gracefully; the supervisor restarts it."""
    node = _random_node(world)
    if not node.stopping and node.alive:
        node.stop()
        stopped = node.process
        await world.loop.sleep(GRACE_S)
        if (
            node.process is stopped
            and node.stopping
            and node.alive
            and node.undisturbed_since(world.loop.now() - GRACE_S)
        ):
            world.journal.ends.append(f"{node.name} exceeded its grace period")
            node.kill()


@fault("stop all")
async def stop_all(world: World) -> None:
    """Shut all processes down, each while others are still stopping."""
    for node in world.random.sample(world.nodes, len(world.nodes)):
        if not node.stopping and node.alive:
            node.stop()
        await world.loop.sleep(world.random.uniform(0.0, 1.0))
    await world.loop.sleep(GRACE_S)


@fault("stop and kill")
async def stop_and_kill(world: World) -> None:
    """Kill a process during its graceful shutdown."""
    node = _random_node(world)
    node.expected_end = True
    node.signal(signal.SIGTERM)
    await world.loop.sleep(world.random.uniform(0.0, 2.0))
    node.mark_disturbed(world.loop.now() + 1.0)
    node.kill()


@fault("hang-ups")
async def sighup_series(world: World) -> None:
    """Send several SIGHUPs while the settings file is changed and made invalid."""
    node = _random_node(world)
    text = node.settings.read_text()
    for change in ("", "\n[new]\nfield = 1\n"):
        node.write_settings(text + change)
        node.send_sighup()
        await world.loop.sleep(world.random.uniform(0.0, 0.3))
    with node.invalid_settings(text + "\nbroken ="):
        node.send_sighup()
        await world.loop.sleep(world.random.uniform(0.0, 0.3))
    node.write_settings(text)
    node.send_sighup()


@fault("clock")
async def clock(world: World) -> None:
    """Shift the time of day of a process."""
    node = _random_node(world)
    node.clock.write_text(str(world.random.uniform(-4.0, 4.0)))
    await world.loop.sleep(world.random.uniform(0.5, 4.0))
    node.clock.write_text("0")


@fault("store link")
async def store_link(world: World) -> None:
    """Disturb a node's link to the store."""
    node, lasts_s = _random_node(world), world.random.uniform(0.3, 5.0)
    with world.disturbed(node, lasts_s=lasts_s):
        chosen = world.random.choice(_LINK_FAULTS)
        await _apply_faults(world, world.store_links[node.name], lasts_s, **chosen)


@fault("caller link")
async def caller_link(world: World) -> None:
    """Disturb the link from callers to a node."""
    node, lasts_s = _random_node(world), world.random.uniform(0.2, 2.0)
    with world.disturbed(node, lasts_s=lasts_s, in_touch=True):
        chosen = world.random.choice(_LINK_FAULTS)
        await _apply_faults(world, world.caller_links[node.name], lasts_s, **chosen)


@fault("endpoint link")
async def endpoint_link(world: World) -> None:
    """Disturb the link to an endpoint."""
    link = world.random.choice(list(world.endpoint_links.values()))
    lasts_s = world.random.uniform(0.2, 2.5)
    with world.disturbed(*world.nodes, lasts_s=lasts_s, in_touch=True):
        await _apply_faults(world, link, lasts_s, **world.random.choice(_LINK_FAULTS))


@fault("resets")
async def resets(world: World) -> None:
    """Reset the open connections of an endpoint, a node and its store link."""
    with world.disturbed(*world.nodes, lasts_s=0.1, in_touch=True):
        _reset(world.random.choice(list(world.endpoint_links.values())))
        _reset(world.random.choice(list(world.caller_links.values())))
        _reset(world.random.choice(list(world.store_links.values())))


@fault("bad endpoint")
async def bad_endpoint(world: World) -> None:
    """Let a registered endpoint fail a share of its requests."""
    endpoint = world.endpoints[world.random.choice(world.registered("engines"))]
    lasts_s = world.random.uniform(1.0, 5.0)
    with world.disturbed(*world.nodes, lasts_s=lasts_s, in_touch=True):
        endpoint.failure_mode = world.random.choice(["shed", "drop", "mute", "error", "cut"])
        endpoint.failure_rate = world.random.uniform(0.2, 0.8)
        await world.loop.sleep(lasts_s)
        endpoint.failure_rate = 0.0


@fault("deadly part")
async def deadly_part(world: World) -> None:
    """Let one part of the clients' prompts crash every endpoint that begins to answer it."""
    part = f"dead{next(world.numbers):x}"
    world.begin_deadly(part, world.random.choice(FIRST_PARTS))
    await world.loop.sleep(world.random.uniform(9.0, 16.0))
    world.end_deadly(part)


@fault("replace endpoint")
async def replace_endpoint(world: World) -> None:
    """Add an endpoint, then drain and remove an old one."""
    service = world.random.choice(["engines", "cards"])
    old = world.random.choice(world.registered(service))
    await world.add_endpoint(service)
    await world.loop.sleep(0.5)
    world.announce(old, state="draining")
    await world.loop.sleep(3.0)
    world.store.remove(f"servers/{old}")


@fault("leave in answers")
async def leave_in_answers(world: World) -> None:
    """Let an endpoint say in its answers that it leaves while it is registered as ready."""
    name = world.random.choice(world.registered(world.random.choice(["engines", "cards"])))
    endpoint = world.endpoints[name]
    endpoint.headers.append(LEAVING_HEADER)
    with world.absent(name):
        for _ in range(3):
            await world.loop.sleep(world.random.uniform(0.5, 2.5))
            if f"servers/{name}" in world.store.rows:
                world.announce(name)
    endpoint.headers.remove(LEAVING_HEADER)
    if f"servers/{name}" in world.store.rows:
        world.announce(name, born=unix_ms())


@fault("limited endpoint")
async def limited_endpoint(world: World) -> None:
    """Let an endpoint name a limit in its answers."""
    endpoint = world.endpoints[world.random.choice(world.registered("engines"))]
    per_s = world.random.uniform(0.2, 0.8)
    header = (LIMIT_HEADER, b"%.2f" % per_s)
    limit = EndpointLimit(endpoint.name, per_s, world.loop.now())
    endpoint.headers.append(header)
    world.journal.limits.append(limit)
    with world.absent(endpoint.name):
        await world.loop.sleep(world.random.uniform(5.0, 10.0))
    endpoint.headers.remove(header)
    limit.until_s = world.loop.now()


@fault("lose endpoint")
async def lose_endpoint(world: World) -> None:
    """Disconnect an endpoint without notice; register it again under the same name."""
    names = world.registered("engines")
    if len(names) < 2:
        return
    name = world.random.choice(names)
    link = world.endpoint_links[name]
    with world.disturbed(*world.nodes, lasts_s=4.0, in_touch=True):
        link.faults.cut = True
        link.apply()
        await world.loop.sleep(2.0)
        world.store.remove(f"servers/{name}")
        await world.loop.sleep(1.5)
        link.faults.cut = False
        world.announce(name, born=unix_ms())


@fault("store")
async def store(world: World) -> None:
    """Let the store refuse calls, stop responding, respond slowly or lose replies."""
    faults, lasts_s = world.store.faults, world.random.uniform(0.3, 5.0)
    chosen: dict[str, Any] = world.random.choice(
        [{"refuse": 503}, {"refuse": 429}, {"silent": True}, {"delay_s": 0.25}, {"lose_answers": 9}]
    )
    with world.disturbed(*world.nodes, lasts_s=lasts_s):
        for name, value in chosen.items():
            setattr(faults, name, value)
        await world.loop.sleep(lasts_s)
        faults.refuse, faults.silent, faults.delay_s, faults.lose_answers = 0, False, 0.0, 0


@fault("history")
async def history(world: World) -> None:
    """Discard the history of the store."""
    world.store.forget_history()


@fault("leases")
async def leases(world: World) -> None:
    """Expire leases early, as after a clock jump at the store."""
    with world.disturbed(*world.nodes, lasts_s=0.5):
        for lease in list(world.store.leases):
            if world.random.random() < 0.6:
                world.store.end_lease(lease)


@fault("routes")
async def change_routes(world: World) -> None:
    """Change the routes once or several times."""
    for _ in range(world.random.choice([1, 1, 4])):
        world.change_routes()
        await world.loop.sleep(world.random.uniform(0.05, 0.4))
