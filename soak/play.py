"""Run one soak: start the processes, inject faults, let them recover, check."""

import math
import shutil
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from parsleyrouter.process.loop import Promise
from parsleyrouter.process.runtime import Runtime
from soak.callers import batch_client, online_client, probe_nodes
from soak.checks import problems
from soak.customer_faults import CUSTOMER_FAULTS, customer_client
from soak.customers import Customers
from soak.deadly_requests import deadly_request
from soak.engine_faults import ENGINE_FAULTS
from soak.engines import recorded_crashes, recorded_repeats, recorded_runs
from soak.faults import FAULTS, Fault
from soak.item_checks import CLEARED_S, RETRY_S
from soak.refusal_faults import repeat_refusals, take_over_address
from soak.request_checks import is_deadly
from soak.slow_endpoints import SPEED_FAULTS, brief_client
from soak.world import World

__all__ = [
    "Plan",
    "SoakResult",
    "deadly_request",
    "repeat_refusals",
    "run_soak",
    "take_over_address",
]

RECOVER_S = 5.0
"""Time after the last fault in which all nodes must serve again."""

JOBS_DONE_S = 15.0
"""Time after the last fault, and after deadly parts are cleared, in which jobs must be done."""


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
    """Mean time between the starts of two faults, which may overlap."""
    engine_processes: int = 0
    """Engines that run as processes of their own, beside the others."""
    customers: int = 0
    """Customers with keys and limits; without any, requests need no key."""
    brief_clients: int = 0
    """Callers of brief streams; with some, engines report how slow they are."""
    without: Sequence[str] = ()
    """Faults left out, so that a kept seed gives those that it gave before they were added."""
    only: Sequence[str] = ()
    """Faults drawn from, in place of all."""


@dataclass
class SoakResult:
    """Outcome of a soak."""

    seed: int
    faults: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    requests: int = 0
    answered: int = 0
    jobs: int = 0
    deadly_items: int = 0
    """Items of accepted jobs with a part that crashed endpoints for a time."""
    crashes: int = 0
    sent_again: int = 0
    """Requests that callers sent again under their ids after a refusal."""
    limited: int = 0
    """Requests that were refused for a customer's limit."""
    slow: int = 0
    """Times that an engine was slow."""
    deadly_requests: int = 0
    """Times that clients sent requests that crashed endpoints for a time."""


def run_soak(plan: Plan, folder: Path) -> SoakResult:
    """Run one soak; its logs stay in the folder if any problem was found."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    runtime = Runtime()
    result = SoakResult(plan.seed)
    world = World(runtime, plan.seed, folder)

    async def main() -> None:
        await runtime.loop.sleep(0)
        try:
            await _run(world, plan, result)
        except Exception as error:
            result.problems.append(f"the soak itself failed: {type(error).__name__} {error}")
        finally:
            world.end()
            (folder / "journal.json").write_bytes(msgspec.json.encode(world.journal))
            runtime.stop()

    runtime.loop.spawn(main())
    runtime.run()
    if not result.problems:
        shutil.rmtree(folder)
    return result


async def _run(world: World, plan: Plan, result: SoakResult) -> None:
    world.speeds = plan.brief_clients > 0
    if plan.customers:
        world.customers = Customers(plan.customers, plan.seed, world.journal)
    await world.start(plan.nodes, plan.engines, plan.cards, plan.engine_processes)
    loop = world.loop
    faults_until_s = loop.now() + plan.faults_s
    end_s = math.inf
    supervisors = [loop.spawn(one.supervise(end_s)) for one in (*world.nodes, *world.engines)]
    clients: list[Promise[Any]] = [
        loop.spawn(online_client(world, number, faults_until_s + RECOVER_S))
        for number in range(plan.clients)
    ]
    for name in world.customers.names if world.customers else ():
        clients.append(loop.spawn(customer_client(world, name, faults_until_s + RECOVER_S)))
    for number in range(plan.brief_clients):
        clients.append(loop.spawn(brief_client(world, number, faults_until_s + RECOVER_S)))

    def give_up_s() -> float:
        cleared_s = [one.until_s + CLEARED_S for one in world.journal.deadly.values()]
        cleared_s += [one.until_s + RETRY_S for one in world.journal.deadly_requests.values()]
        return max([faults_until_s + RECOVER_S, *cleared_s]) + JOBS_DONE_S

    for number in range(plan.batch_clients):
        clients.append(loop.spawn(batch_client(world, number, faults_until_s, give_up_s)))
    in_progress: list[Promise[Any]] = []
    fault_rng = Random(f"{plan.seed} order")
    faults = _faults(plan)
    while loop.now() < faults_until_s:
        name = fault_rng.choice(list(faults))
        result.faults.append(name)
        in_progress.append(loop.spawn(faults[name](world), name))
        await loop.sleep(fault_rng.uniform(0.0, 2 * plan.gap_s))
    await loop.gather(in_progress)
    await loop.gather(clients)
    world.journal.ended_s = loop.now()
    last = await probe_nodes(world, tries=5)
    for attempt in last:
        if attempt.status != 200:
            result.problems.append(f"after all faults {attempt.node} returns {attempt.status}")
    for supervisor in supervisors:
        supervisor.cancel()
    world.journal.runs += recorded_runs(world.engines, world.folder)
    world.journal.crashes += recorded_crashes(world.folder)
    world.journal.repeats += recorded_repeats(world.folder)
    result.problems += problems(world)
    attempts = world.journal.attempts.values()
    result.requests = len(attempts)
    result.answered = sum(one.complete and one.status == 200 for one in attempts)
    result.limited = sum(one.credential is not None and one.status == 429 for one in attempts)
    result.slow = len(world.journal.slow)
    result.sent_again = sum(one.sending > 1 for one in attempts)
    result.jobs = len(world.journal.jobs)
    result.crashes = len(world.journal.crashes)
    result.deadly_requests = sum(is_deadly(world, one) for one in attempts)
    deadly = world.journal.deadly.keys()
    accepted = [job for job in world.journal.jobs.values() if job.accepted_s]
    result.deadly_items = sum(
        not deadly.isdisjoint(parts) for job in accepted for parts in job.parts.values()
    )


def _faults(plan: Plan) -> dict[str, Fault]:
    """Return the faults to draw from."""
    chosen = dict(FAULTS)
    if plan.engine_processes:
        chosen |= ENGINE_FAULTS
    if plan.customers:
        chosen |= CUSTOMER_FAULTS
    if plan.brief_clients:
        chosen |= SPEED_FAULTS
    names = set(plan.only or chosen).difference(plan.without)
    return {name: one for name, one in chosen.items() if name in names}
