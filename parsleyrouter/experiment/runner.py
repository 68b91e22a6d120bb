"""Run the arms of an experiment alternately, each slice on a new fleet."""

from collections.abc import Callable
from dataclasses import dataclass

from parsleyrouter.experiment.arrivals import generate_arrivals
from parsleyrouter.experiment.batch_load import BatchItems
from parsleyrouter.experiment.fleet import BenchFleet
from parsleyrouter.experiment.measures import Measures, record
from parsleyrouter.experiment.online_load import OnlineLoad
from parsleyrouter.experiment.scenario import Scenario
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.sharing_policies import SharingProfile

__all__ = ["ARMS", "Arm", "Plan", "run_arms"]

LAG_CHECK_INTERVAL_S = 0.05


@dataclass(frozen=True)
class Arm:
    """Variant of the experiment: a sharing policy and the classes of load to send."""

    name: str
    sharing: str = "online-first"
    online: bool = True
    batch: bool = True
    profile: SharingProfile | None = None


ARMS = (
    Arm("no-batch", batch=False),
    Arm("batch-alone", online=False),
    Arm("online-first"),
    Arm("first-come", sharing="first-come"),
    Arm("fixed-split", sharing="fixed-split"),
)


@dataclass(frozen=True)
class Plan:
    """Length of the experiment; the first ``warmup_s`` of each slice are not measured."""

    rounds: int = 2
    slice_s: float = 20.0
    warmup_s: float = 4.0
    seed: int = 1


def run_arms(
    scenario: Scenario, arms: tuple[Arm, ...], plan: Plan, progress: Callable[[str], None]
) -> dict[str, Measures]:
    """Run all arms once per round over the same arrivals; the first arm rotates."""
    measures = {arm.name: Measures() for arm in arms}
    for number in range(plan.rounds):
        first = number % len(arms)
        for arm in (*arms[first:], *arms[:first]):
            progress(f"round {number + 1} of {plan.rounds}: {arm.name}")
            _run_slice(scenario, arm, plan, plan.seed + number, measures[arm.name])
    return measures


def _run_slice(scenario: Scenario, arm: Arm, plan: Plan, seed: int, measures: Measures) -> None:
    runtime = Runtime()
    fleet = BenchFleet(runtime, scenario, arm.sharing, arm.profile)
    failures: list[BaseException] = []

    async def main() -> None:
        try:
            await _Slice(fleet, arm, plan, measures).run(seed)
        except Exception as error:
            failures.append(error)
        runtime.stop()

    runtime.loop.spawn(main(), "slice")
    runtime.run()
    if failures:
        raise failures[0]


class _Slice:
    def __init__(self, fleet: BenchFleet, arm: Arm, plan: Plan, measures: Measures) -> None:
        self.fleet = fleet
        self.loop = fleet.runtime.loop
        self.arm = arm
        self.plan = plan
        self.measures = measures

    async def run(self, seed: int) -> None:
        """Send the load; measure batch work, lag and slot seconds after the warm-up."""
        await self.loop.sleep(0.2)
        start_s = self.loop.now()
        items = BatchItems(self.fleet, self.measures, seed)
        if self.arm.batch:
            items.start()
        online = OnlineLoad(self.fleet, self.measures, self.plan.warmup_s)
        load = (
            generate_arrivals(self.fleet.scenario, self.plan.slice_s, seed)
            if self.arm.online
            else []
        )
        sending = self.loop.spawn(online.run(load, start_s), "online load")
        await self.loop.sleep(self.plan.warmup_s)
        before = self._slot_seconds()
        items.measuring = True
        await self._measure_lag(start_s + self.plan.slice_s)
        items.measuring = False
        after = self._slot_seconds()
        await sending
        items.stopping = True
        self._count(before, after)

    def _slot_seconds(self) -> tuple[float, float]:
        engines = self.fleet.engines.values()
        online = sum(engine.online_slot_s for engine in engines)
        return online, sum(engine.batch_slot_s for engine in engines)

    def _count(self, before: tuple[float, float], after: tuple[float, float]) -> None:
        pool = self.fleet.scenario.engines
        length_s = self.plan.slice_s - self.plan.warmup_s
        self.measures.measured_s += length_s
        self.measures.slot_s += length_s * pool.count * pool.slots
        self.measures.online_slot_s += after[0] - before[0]
        self.measures.batch_slot_s += after[1] - before[1]

    async def _measure_lag(self, until_s: float) -> None:
        while (now := self.loop.now()) < until_s:
            await self.loop.sleep(LAG_CHECK_INTERVAL_S)
            record(self.measures.lag, self.loop.now() - now - LAG_CHECK_INTERVAL_S)
