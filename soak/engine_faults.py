"""Faults of engines that run as processes; drawn only if a soak has such engines."""

import signal

from soak.fault_registry import Fault, registrar
from soak.world import World

__all__ = ["ENGINE_FAULTS"]

ENGINE_FAULTS: dict[str, Fault] = {}
engine_fault = registrar(ENGINE_FAULTS)


@engine_fault("freeze engine")
async def freeze_engine(world: World) -> None:
    """Freeze an engine; its kernel goes on to accept connections and bytes."""
    engine, lasts_s = world.random.choice(world.engines), world.random.uniform(0.1, 4.5)
    with world.disturbed(*world.nodes, lasts_s=lasts_s, in_touch=True):
        engine.signal(signal.SIGSTOP)
        await world.loop.sleep(lasts_s)
        engine.signal(signal.SIGCONT)


@engine_fault("kill engine")
async def kill_engine(world: World) -> None:
    """Kill an engine; it starts again at its address, under its id."""
    engine, down_s = world.random.choice(world.engines), world.random.uniform(0.0, 1.0)
    if engine.starting:
        return
    with world.disturbed(*world.nodes, lasts_s=2.0, in_touch=True):
        engine.starting = True
        engine.kill()
        await world.loop.sleep(down_s)
        await engine.start()


@engine_fault("copies of refusals")
async def copy_refusals(world: World) -> None:
    """Let an engine refuse requests and write each refusal once more."""
    engine = world.random.choice(world.engines)
    with world.disturbed(*world.nodes, lasts_s=3.0, in_touch=True):
        engine.set_mode(copies=0.3, identified=world.random.random() < 0.3)
        await world.loop.sleep(world.random.uniform(1.0, 4.0))
        engine.set_mode(copies=0.0, identified=False)


@engine_fault("freeze all")
async def freeze_all(world: World) -> None:
    """Freeze an engine and a node, and let them go on in any order."""
    engine, node = world.random.choice(world.engines), world.random.choice(world.nodes)
    with world.disturbed(*world.nodes, lasts_s=4.0):
        engine.signal(signal.SIGSTOP)
        node.signal(signal.SIGSTOP)
        await world.loop.sleep(world.random.uniform(0.1, 2.0))
        first, second = world.random.sample([engine, node], 2)
        first.signal(signal.SIGCONT)
        await world.loop.sleep(world.random.uniform(0.1, 2.0))
        second.signal(signal.SIGCONT)
