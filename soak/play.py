"""Play one soak: start, disturb, let recover, check."""

import shutil
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from parsleyrouter.process.loop import Promise
from parsleyrouter.process.runtime import Runtime
from soak.callers import batch_client, online_client, until_served
from soak.checks import problems
from soak.faults import FAULTS
from soak.world import World

__all__ = ["Plan", "Played", "play"]

RECOVER_S = 5.0
"""Time after the last fault in which everything must be served again."""

JOBS_S = 15.0
"""Time after the last fault in which all batch jobs must be done."""


@dataclass(frozen=True)
class Plan:
    """The size and length of a soak; times are in seconds."""

    seed: int
    nodes: int = 4
    engines: int = 4
    cards: int = 2
    clients: int = 6
    batch_clients: int = 3
    faults_s: float = 10.0
    gap_s: float = 0.8
    """Mean pause between the beginnings of two faults; they last longer and overlap."""


@dataclass
class Played:
    """What came of a soak."""

    seed: int
    faults: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    requests: int = 0
    answered: int = 0
    jobs: int = 0


def play(plan: Plan, folder: Path) -> Played:
    """Play one soak; its logs stay in the folder if a promise was broken."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    runtime = Runtime()
    played = Played(plan.seed)
    world = World(runtime, plan.seed, folder)

    async def main() -> None:
        await runtime.loop.sleep(0)
        try:
            await _play(world, plan, played)
        except Exception as error:
            played.problems.append(f"the soak itself failed: {type(error).__name__} {error}")
        finally:
            world.end()
            runtime.stop()

    runtime.loop.spawn(main())
    runtime.run()
    if not played.problems:
        shutil.rmtree(folder)
    return played


async def _play(world: World, plan: Plan, played: Played) -> None:
    await world.start(plan.nodes, plan.engines, plan.cards)
    loop = world.loop
    faults_until_s = loop.now() + plan.faults_s
    end_s = faults_until_s + 60.0
    supervisors = [loop.spawn(node.supervise(end_s)) for node in world.nodes]
    clients: list[Promise[Any]] = [
        loop.spawn(online_client(world, number, faults_until_s + RECOVER_S))
        for number in range(plan.clients)
    ]
    for number in range(plan.batch_clients):
        give_up_s = faults_until_s + RECOVER_S + JOBS_S
        clients.append(loop.spawn(batch_client(world, number, faults_until_s, give_up_s)))
    under_way: list[Promise[Any]] = []
    order = Random(f"{plan.seed} order")
    while loop.now() < faults_until_s:
        name = order.choice(list(FAULTS))
        played.faults.append(name)
        under_way.append(loop.spawn(FAULTS[name](world), name))
        await loop.sleep(order.uniform(0.0, 2 * plan.gap_s))
    await loop.gather(under_way)
    await loop.gather(clients)
    last = await until_served(world, tries=5)
    for attempt in last:
        if attempt.status != 200:
            played.problems.append(f"after all faults {attempt.node} answers {attempt.status}")
    for supervisor in supervisors:
        supervisor.cancel()
    played.problems += problems(world)
    attempts = world.journal.attempts.values()
    played.requests = len(attempts)
    played.answered = sum(one.complete and one.status == 200 for one in attempts)
    played.jobs = len(world.journal.jobs)
