"""Open-loop online load: requests are sent at their intended times."""

import itertools

from parsleyrouter.experiment.arrivals import Arrival
from parsleyrouter.experiment.endpoints import BYTES_PER_TOKEN
from parsleyrouter.experiment.fleet import BenchFleet
from parsleyrouter.experiment.measures import Measures, record
from parsleyrouter.ids import AttemptId, KindName, ModelName, TeamName
from parsleyrouter.outcome import Refusal
from parsleyrouter.process.grant_port import CallResult, Grant, GrantRequest
from parsleyrouter.process.loop import Promise
from parsleyrouter.version.schema import KindClass

__all__ = ["OnlineLoad"]


class OnlineLoad:
    """Send online requests and measure from their intended starts.

    Latency thus includes the time a request waited to be sent.
    """

    def __init__(self, fleet: BenchFleet, measures: Measures, warmup_s: float) -> None:
        self.fleet = fleet
        self.loop = fleet.runtime.loop
        self.measures = measures
        self.warmup_s = warmup_s
        self.numbers = itertools.count(1)

    async def run(self, arrivals: list[Arrival], start_s: float) -> None:
        """Send all arrivals and wait until they have ended."""
        tasks: list[Promise[None]] = []
        for arrival in arrivals:
            due_s = start_s + arrival.at_s
            if due_s > self.loop.now():
                await self.loop.sleep(due_s - self.loop.now())
            tasks.append(self.loop.spawn(self._send_one(arrival, due_s), "online"))
        await self.loop.gather(tasks)

    async def _send_one(self, arrival: Arrival, due_s: float) -> None:
        scenario = self.fleet.scenario
        await self.loop.sleep(scenario.caller_link_s)
        client = self.fleet.clients[arrival.node]
        grant = await client.acquire(self._request(arrival))
        times: list[float] = []
        if isinstance(grant, Grant):
            await self.loop.sleep(scenario.link_s)
            sent_s = self.loop.now()
            times = await self._call_endpoint(arrival, grant)
            await self.loop.sleep(scenario.link_s)
            ttft_s = times[0] - sent_s
            tokens = arrival.output_tokens if grant.endpoint in self.fleet.engines else 0
            client.release(grant, CallResult(True, ttft_s=ttft_s, output_tokens=tokens))
            way_s = scenario.link_s + scenario.caller_link_s
            times = [at + way_s for at in times]
        if arrival.at_s >= self.warmup_s:
            self._count(arrival, due_s, grant, times)

    async def _call_endpoint(self, arrival: Arrival, grant: Grant) -> list[float]:
        engine = self.fleet.engines.get(grant.endpoint)
        if engine is None:
            await self.fleet.services[grant.endpoint].call()
            return [self.loop.now()]
        number = next(self.numbers)
        prompt = f"{number:012d}".ljust(arrival.prompt_tokens * BYTES_PER_TOKEN, ".")
        run = engine.start(prompt, arrival.output_tokens, batch=False)
        await run.ended
        return run.times

    def _request(self, arrival: Arrival) -> GrantRequest:
        kind = arrival.kind
        is_model = kind.target == self.fleet.scenario.engines.model
        return GrantRequest(
            attempt=AttemptId(f"online-{next(self.numbers)}-{arrival.node}"),
            team=TeamName("online"),
            kind=KindName(kind.name),
            kind_class=KindClass.ONLINE,
            weight=kind.weight,
            deadline_in_s=kind.deadline_s,
            model=ModelName(kind.target if is_model else ""),
            application="" if is_model else kind.target,
            prompt_tokens=arrival.prompt_tokens if is_model else 0,
            output_tokens=arrival.output_tokens if is_model else 0,
        )

    def _count(
        self, arrival: Arrival, due_s: float, grant: Grant | Refusal, times: list[float]
    ) -> None:
        measures = self.measures
        measures.offered += 1
        measures.weight_offered += arrival.kind.weight
        if isinstance(grant, Refusal):
            measures.refused += 1
            record(measures.ttft, arrival.kind.deadline_s)
            return
        if grant.endpoint in self.fleet.engines:
            record(measures.ttft, times[0] - due_s)
            for before, after in itertools.pairwise(times):
                record(measures.between, after - before)
        if times[-1] - due_s <= arrival.kind.deadline_s:
            measures.answered += 1
            measures.weight_answered += arrival.kind.weight
