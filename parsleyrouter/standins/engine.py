"""Stand-in for a model inference engine."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Any

import parsleyrouter.standins.engine_admin  # noqa: F401 - registers its routes
from parsleyrouter.connection.http import HttpReply
from parsleyrouter.connection.http_server import Exchange
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Promise
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.engine_batch import ContinuousBatch, EngineSpec, Generation
from parsleyrouter.standins.engine_reports import CacheEvents, LoadReports
from parsleyrouter.standins.engine_routes import routes
from parsleyrouter.standins.stand_in import StandIn, close_unanswered

__all__ = ["Engine", "EngineFaults", "Execution", "ExecutionState"]

FROZEN_POLL_S = 0.02
MAX_EXECUTIONS_KEPT = 200_000


class ExecutionState(StrEnum):
    """States of an execution."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@dataclass
class Execution:
    """Record of one execution; times in seconds of the engine's monotonic clock."""

    id: str
    attempt: str
    key: str
    model: str
    prompt: str
    begun_s: float
    ended_s: float = 0.0
    tokens: int = 0
    resumed_from: int = 0
    cached_tokens: int = 0
    state: ExecutionState = ExecutionState.RUNNING


@dataclass
class EngineFaults:
    """Faults set over ``POST /control/faults``.

    ``down`` closes every connection unanswered; ``frozen`` stops all work; ``slow_factor``
    multiplies the time of each step; ``break_streams`` is the number of next responses that are
    interrupted after ``break_after_tokens``; ``refuse`` answers 503 before running anything;
    ``cross_answers`` is the number of next responses with the id of another attempt;
    ``load_silent`` leaves load reports unanswered.
    """

    down: bool = False
    frozen: bool = False
    slow_factor: float = 1.0
    break_streams: int = 0
    break_after_tokens: int = 3
    refuse: bool = False
    cross_answers: int = 0
    load_silent: bool = False


@dataclass
class RunningGeneration:
    """A generation in progress, its record and caller; ``ended`` resolves to the final state."""

    generation: Generation
    execution: Execution
    exchange: Exchange
    ended: Promise[ExecutionState]


@dataclass
class _AdminState:
    """Loaded models, the role and the commands received."""

    models: dict[str, str] = field(default_factory=dict)
    role: str = "any"
    fence: int = 0
    record: list[dict[str, Any]] = field(default_factory=list)
    loading: set[str] = field(default_factory=set)
    unloaded_in_use: int = 0


class Engine(StandIn):
    """Engine with continuous batching and a prefix cache that records every execution."""

    def __init__(
        self,
        runtime: Runtime,
        bind: str = "127.0.0.1:0",
        spec: EngineSpec | None = None,
        *,
        seed: int = 0,
        weight_store: str = "",
    ) -> None:
        super().__init__(runtime, bind, routes)
        self.weight_store = Address(weight_store)
        self.spec = spec or EngineSpec()
        self.faults = EngineFaults()
        self.batch = ContinuousBatch(self.spec)
        self.load_reports = LoadReports(self.spec.load_interval_s, self.spec.load_lag_s)
        self.cache_events = CacheEvents(
            self.spec.event_lag_s, self.spec.event_loss, random.Random(seed)
        )
        self.admin_state = _AdminState(models=dict.fromkeys(self.spec.models, "1"))
        self.executions: list[Execution] = []
        self.open: dict[str, RunningGeneration] = {}
        self.counts: Counter[str] = Counter()
        self.stepping = False
        self.crashes = 0

    def begin(
        self, generation: Generation, attempt: str, key: str, exchange: Exchange
    ) -> Promise[ExecutionState]:
        """Run a generation; it is cancelled when the caller disconnects."""
        execution = Execution(
            generation.id, attempt, key, generation.model, generation.prompt, self.loop.now()
        )
        execution.resumed_from = generation.emitted
        self.executions.append(execution)
        del self.executions[:-MAX_EXECUTIONS_KEPT]
        self.counts["executions"] += 1
        running = RunningGeneration(generation, execution, exchange, self.loop.promise())
        self.open[generation.id] = running
        exchange.on_caller_disconnect(lambda: self._on_caller_disconnect(running))
        self.batch.arrive(generation)
        self._record_load()
        if not self.stepping:
            self.stepping = True
            self.loop.spawn(self._run_steps(), "engine steps")
        return running.ended

    def cancel(self, id: str) -> Generation | None:
        """Stop a generation; return it if it was in progress."""
        return self._end(id, ExecutionState.CANCELLED)

    def crash(self) -> int:
        """Drop all generations and close their connections; return how many there were."""
        lost = list(self.open.values())
        self.crashes += 1
        self.batch.clear()
        for running in lost:
            self._end(running.generation.id, ExecutionState.CRASHED)
            close_unanswered(running.exchange)
        return len(lost)

    async def fetch_weights(self, model: str) -> bool:
        """Read a model's weights from the weight store, if there is one; ``False`` if refused."""
        if not self.weight_store:
            return True
        reply = await self.runtime.http.request(
            self.weight_store, "GET", f"/weights/{model}", new_connection=True
        )
        return isinstance(reply, HttpReply) and reply.status == 200

    def load(self) -> tuple[int, int]:
        """Return the running and waiting generations that the load report shows now."""
        return self.load_reports.shown(self.loop.now())

    def report(self, chosen: Callable[[Execution], bool]) -> list[dict[str, Any]]:
        """Return the records of the selected executions."""
        return [asdict(execution) for execution in self.executions if chosen(execution)]

    async def _run_steps(self) -> None:
        while self.batch.running or self.batch.waiting:
            await self.loop.sleep(self.batch.step_s() * self.faults.slow_factor)
            while self.faults.frozen:
                await self.loop.sleep(FROZEN_POLL_S)
            for generation in self.batch.step():
                self._emit_token(generation)
            self.batch.admit()
            self.cache_events.add(self.loop.now(), *self.batch.cache.take_events())
            self._record_load()
        self.stepping = False

    def _emit_token(self, generation: Generation) -> None:
        running = self.open.get(generation.id)
        if running is None:
            return
        running.execution.tokens = generation.emitted
        running.execution.cached_tokens = generation.cached_tokens
        if self.faults.break_streams > 0 and generation.emitted >= self.faults.break_after_tokens:
            self.faults.break_streams -= 1
            self._end(generation.id, ExecutionState.CRASHED)
            close_unanswered(running.exchange)
            return
        generation.on_token(generation)
        if generation.done:
            self._end(generation.id, ExecutionState.FINISHED)

    def _on_caller_disconnect(self, running: RunningGeneration) -> None:
        if self.open.get(running.generation.id) is running:
            self._end(running.generation.id, ExecutionState.CANCELLED)

    def _end(self, id: str, state: ExecutionState) -> Generation | None:
        running = self.open.pop(id, None)
        if running is None:
            return None
        self.batch.cancel(running.generation)
        running.execution.tokens = running.generation.emitted
        running.execution.ended_s = self.loop.now()
        running.execution.state = state
        self.counts[state.value] += 1
        self._record_load()
        running.ended.resolve(state)
        return running.generation

    def _record_load(self) -> None:
        running, waiting = len(self.batch.running), len(self.batch.waiting)
        self.load_reports.record(self.loop.now(), running, waiting)
