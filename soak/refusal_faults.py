"""Faults of engine processes by which the same id comes to the same connection, with copies."""

from soak.engine_faults import engine_fault
from soak.engines import EngineProcess, unix_ms
from soak.refusal_copies import CopyMode
from soak.world import World

__all__ = ["copy_mode", "repeat_refusals", "take_over_address"]

STATUSES = (503, 503, 503, 429, 421, 408)
"""Statuses of refusals; 503 is the most frequent one."""


def copy_mode(world: World) -> CopyMode:
    """Draw how an engine refuses requests and writes the copies."""
    random = world.random
    return CopyMode(
        share=random.uniform(0.2, 0.6),
        status=random.choice(STATUSES),
        unsaid=random.random() < 0.2,
        late=random.random() < 0.3,
        in_pieces=random.random() < 0.3,
        ends=random.random() < 0.2,
        broken=random.choice([0.0, 0.0, 0.4]),
        pause_s=random.choice([0.0, 0.1, 1.0]),
        room=random.choice([2, 4, 8]),
    )


def _end_copies(engines: list[EngineProcess]) -> None:
    for engine in engines:
        engine.set_mode(kept=CopyMode())


@engine_fault("copies under the same id")
async def repeat_refusals(world: World) -> None:
    """Let some engines refuse requests and write each refusal again when its id comes again."""
    engines = world.random.sample(world.engines, world.random.randint(1, len(world.engines)))
    with world.disturbed(*world.nodes, lasts_s=5.0, in_touch=True):
        for engine in engines:
            engine.set_mode(kept=copy_mode(world))
        await world.loop.sleep(world.random.uniform(1.0, 5.0))
        _end_copies(engines)


@engine_fault("address taken over")
async def take_over_address(world: World) -> None:
    """Leave the entry of an endpoint that is gone, whose address an engine has now.

    The others do as it does, so that a stream they break off is resumed where it was refused.
    """
    engine, mode = world.random.choice(world.engines), copy_mode(world)
    with world.disturbed(*world.nodes, lasts_s=5.0, in_touch=True):
        for one in world.engines:
            one.set_mode(kept=mode)
        for _ in range(world.random.randint(1, 4)):
            gone = f"engine-{next(world.numbers)}"
            entry = {"service": "engines", "address": engine.address, "zone": "north", "slots": 4}
            state = {"state": "ready", "sequence": next(world.numbers), "born": unix_ms()}
            world.store.put_json(f"servers/{gone}", entry | state)
            await world.loop.sleep(world.random.uniform(0.3, 1.2))
            world.store.remove(f"servers/{gone}")
        _end_copies(world.engines)
