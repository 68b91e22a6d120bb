"""What customers do in a soak: callers with keys, changes of keys, more than a limit allows."""

from features.support.front_fleet import Caller
from soak.callers import send_request
from soak.customers import Customers
from soak.fault_registry import Fault, registrar
from soak.journal import Kind
from soak.nodes import Node
from soak.world import World

__all__ = ["CUSTOMER_FAULTS", "customer_client"]

CUSTOMER_FAULTS: dict[str, Fault] = {}
customer_fault = registrar(CUSTOMER_FAULTS)
"""Faults of customers; drawn only if a soak has some."""

KINDS = (Kind.SAFE, Kind.SAFE, Kind.OPEN, Kind.STREAM)
USUAL_SHARE = 0.3
"""Share of its limit that a customer sends as a rule."""

HOT_CALLERS = 8


def _customers(world: World) -> Customers:
    assert world.customers is not None, "the soak has no customers"
    return world.customers


async def customer_client(world: World, customer: str, until_s: float) -> None:
    """Send requests of a customer below its limit until a time."""
    limits = {one.customer: one for one in world.journal.customer_limits}
    pause_s = 1.0 / (USUAL_SHARE * limits[customer].rate_per_s)
    connections: dict[str, Caller | None] = {}
    while world.loop.now() < until_s:
        node = world.client_random.choice(world.nodes)
        key = _customers(world).choose_key(world.client_random, customer)
        await _send(world, node, connections, world.client_random.choice(KINDS), key)
        await world.loop.sleep(world.client_random.uniform(0.5, 1.5) * pause_s)


async def _send(
    world: World, node: Node, connections: dict[str, Caller | None], kind: Kind, key: str
) -> None:
    attempt, caller = f"{next(world.numbers):x}c", connections.pop(node.name, None)
    _, connections[node.name] = await send_request(
        world, node, caller, kind, attempt, credential=key
    )


@customer_fault("keys")
async def change_keys(world: World) -> None:
    """Add, move or remove keys, sometimes several in a row."""
    customers = _customers(world)
    for _ in range(world.random.choice([1, 1, 3])):
        name, other = world.random.choice(customers.names), world.random.choice(customers.names)
        ended = None
        change = world.random.choice(["add", "move", "remove", "remove"])
        if change == "add" or len(customers.held[name]) < 2:
            customers.add(name, customers.new_key(), world.loop.now())
        else:
            key = world.random.choice(customers.held[name])
            ended = customers.remove(name, key)
            if change == "move":
                customers.add(other, key, world.loop.now())
        world.change_routes()
        if ended is not None:
            ended.until_s = world.loop.now()
        await world.loop.sleep(world.random.uniform(0.05, 0.8))


@customer_fault("hot customer")
async def hot_customer(world: World) -> None:
    """Let a customer send several times its limit, at one node or at all."""
    limit = world.random.choice(world.journal.customer_limits)
    per_s = limit.rate_per_s * world.random.uniform(4.0, 6.0)
    until_s = world.loop.now() + world.random.uniform(3.0, 7.0)
    one_node = world.random.random() < 0.3
    nodes = [world.random.choice(world.nodes)] if one_node else list(world.nodes)

    async def call() -> None:
        connections: dict[str, Caller | None] = {}
        random = world.client_random
        while world.loop.now() < until_s:
            key = random.choice(_customers(world).held[limit.customer])
            due_s = world.loop.now() + random.uniform(0.5, 1.5) * HOT_CALLERS / per_s
            await _send(world, random.choice(nodes), connections, Kind.SAFE, key)
            await world.loop.sleep(max(0.0, due_s - world.loop.now()))

    await world.loop.gather([world.loop.spawn(call()) for _ in range(HOT_CALLERS)])
