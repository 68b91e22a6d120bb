"""Batch load that always has items waiting and cancels them when they are preempted."""

import itertools
from random import Random

from parsleyrouter.experiment.endpoints import BYTES_PER_TOKEN, Run
from parsleyrouter.experiment.fleet import BenchFleet
from parsleyrouter.experiment.measures import Measures, record
from parsleyrouter.ids import AttemptId, JobId, KindName, ModelName, TeamName
from parsleyrouter.process.grant_port import CallResult, Grant, GrantRequest
from parsleyrouter.version.schema import KindClass

__all__ = ["BatchItems"]

ITEM_DEADLINE_S = 600.0
MAX_SLACK_S = 600.0
MAX_LENGTH_FACTOR = 3.0


class _Item:
    """Batch item; a preempted item keeps its ``emitted`` tokens."""

    def __init__(self, number: int, tokens: int, prompt_tokens: int) -> None:
        self.prompt = f"batch-{number:012d}".ljust(prompt_tokens * BYTES_PER_TOKEN, ".")
        self.prompt_tokens = prompt_tokens
        self.tokens = tokens
        self.emitted = 0
        self.resume_of = ""


class BatchItems:
    """Run items in enough workers that there is demand for every slot."""

    def __init__(self, fleet: BenchFleet, measures: Measures, seed: int) -> None:
        self.fleet = fleet
        self.loop = fleet.runtime.loop
        self.measures = measures
        self.random = Random(seed)
        self.load = fleet.scenario.batch
        self.numbers = itertools.count(1)
        self.measuring = False
        self.stopping = False

    def start(self) -> None:
        """Start the workers."""
        pool = self.fleet.scenario.engines
        workers = round(pool.count * pool.slots * self.load.open_per_slot)
        teams = itertools.cycle(self.load.teams)
        for number in range(workers):
            node = number % len(self.fleet.clients)
            self.loop.spawn(self._run_worker(node, TeamName(next(teams))), "batch worker")

    async def _run_worker(self, node: int, team: TeamName) -> None:
        while not self.stopping:
            item = self._new_item()
            while item.emitted < item.tokens and not self.stopping:
                await self._attempt(item, node, team)

    async def _attempt(self, item: _Item, node: int, team: TeamName) -> None:
        client = self.fleet.clients[node]
        attempt = _Attempt(self, item)
        grant = await client.acquire(self._request(item, team), attempt.revoke)
        if not isinstance(grant, Grant):
            return
        completed = await attempt.run(grant)
        client.release(grant, CallResult(completed, output_tokens=item.tokens))

    def _new_item(self) -> _Item:
        max_tokens = MAX_LENGTH_FACTOR * self.load.output_tokens
        tokens = round(min(max_tokens, self.random.expovariate(1 / self.load.output_tokens)))
        return _Item(next(self.numbers), max(1, tokens), self.load.prompt_tokens)

    def _request(self, item: _Item, team: TeamName) -> GrantRequest:
        return GrantRequest(
            attempt=AttemptId(f"batch-{next(self.numbers)}"),
            team=team,
            kind=KindName("batch"),
            kind_class=KindClass.BATCH,
            weight=1.0,
            deadline_in_s=ITEM_DEADLINE_S,
            model=ModelName(self.load.model),
            prompt_tokens=item.prompt_tokens,
            output_tokens=item.tokens - item.emitted,
            job=JobId(f"job-{team}"),
            prefix_key=item.prompt,
            slack_s=self.random.uniform(0, MAX_SLACK_S),
        )


class _Attempt:
    """Run of an item under one grant."""

    def __init__(self, items: BatchItems, item: _Item) -> None:
        self.items = items
        self.item = item
        self.loop = items.loop
        self.link_s = items.fleet.scenario.link_s
        self.revoked_s: float | None = None
        self.running: Run | None = None
        self.engine = ""

    def revoke(self) -> None:
        """Cancel at the engine after one link delay."""
        self.revoked_s = self.loop.now()
        self.loop.call_later(self.link_s, self._cancel)

    async def run(self, grant: Grant) -> bool:
        """Run the item and return whether it completed."""
        measures = self.items.measures
        await self.loop.sleep(self.link_s)
        self.engine = grant.endpoint
        engine = self.items.fleet.engines[grant.endpoint]
        item = self.item
        if self.revoked_s is None:
            run = engine.start(
                item.prompt,
                item.tokens,
                batch=True,
                emitted=item.emitted,
                resume_of=item.resume_of,
            )
            self.running = run
            completed = await run.ended
            item.emitted += len(run.times)
            item.resume_of = run.generation.id if run.generation else ""
        else:
            completed = False
        await self.loop.sleep(self.link_s)
        if self.items.measuring:
            measures.batch_tokens += len(self.running.times) if self.running else 0
            measures.batch_items += completed
            if self.revoked_s is not None:
                measures.yielded += 1
                record(measures.freed, self.loop.now() + self.link_s - self.revoked_s + self.link_s)
        return completed

    def _cancel(self) -> None:
        if self.running is not None:
            self.items.fleet.engines[self.engine].cancel(self.running)
