"""In-process endpoints of an experiment: simulated engines and plain services."""

from collections import deque
from dataclasses import dataclass, field

from parsleyrouter.process.loop import Loop, Promise
from parsleyrouter.standins.engine_batch import ContinuousBatch, EngineSpec, Generation

__all__ = ["BenchEngine", "BenchService", "Run"]

BYTES_PER_TOKEN = 4


@dataclass(eq=False)
class Run:
    """Request at an endpoint; ``times`` has one entry per token."""

    batch: bool
    ended: Promise[bool]
    times: list[float] = field(default_factory=list)
    generation: Generation | None = None


class BenchEngine:
    """Engine that admits requests between steps, so that every prefill takes time.

    Counts the slot seconds of online and batch requests.
    """

    def __init__(self, loop: Loop, name: str, model: EngineSpec) -> None:
        self.loop = loop
        self.name = name
        self.batch = ContinuousBatch(model)
        self.runs: dict[str, Run] = {}
        self.arriving: list[Generation] = []
        self.stepping = False
        self.count = 0
        self.online_slot_s = 0.0
        self.batch_slot_s = 0.0

    def start(
        self, prompt: str, tokens: int, *, batch: bool, emitted: int = 0, resume_of: str = ""
    ) -> Run:
        """Start a request at token ``emitted``; ``resume_of`` names a cancelled one to continue."""
        self.count += 1
        run = Run(batch, self.loop.promise())
        run.generation = Generation(
            id=f"{self.name}-{self.count}",
            model="",
            prompt=prompt,
            count=tokens,
            emitted=emitted,
            resume_of=resume_of,
            on_token=lambda generation: self._record_token(run, generation),
        )
        self.runs[run.generation.id] = run
        self.arriving.append(run.generation)
        if not self.stepping:
            self.stepping = True
            self.loop.spawn(self._run_steps(), f"steps of {self.name}")
        return run

    def cancel(self, run: Run) -> None:
        """Cancel a request; its emitted tokens are kept."""
        assert run.generation is not None
        if self.runs.pop(run.generation.id, None) is not None:
            if run.generation in self.arriving:
                self.arriving.remove(run.generation)
            self.batch.cancel(run.generation)
            run.ended.resolve(False)

    def _record_token(self, run: Run, generation: Generation) -> None:
        run.times.append(self.loop.now())
        if generation.done:
            self.runs.pop(generation.id, None)
            run.ended.resolve(True)

    async def _run_steps(self) -> None:
        due_s = self.loop.now()
        while self._admit_arrived():
            step_s = self.batch.step_s()
            self._count_slot_seconds(step_s)
            due_s = max(due_s + step_s, self.loop.now())
            await self.loop.sleep(due_s - self.loop.now())
            for generation in self.batch.step():
                generation.on_token(generation)
        self.stepping = False

    def _admit_arrived(self) -> bool:
        """Admit the requests that arrived during the last step; return whether any are running."""
        arrived, self.arriving = self.arriving, []
        for generation in arrived:
            self.batch.arrive(generation)
        self.batch.admit()
        return bool(self.batch.running)

    def _count_slot_seconds(self, step_s: float) -> None:
        running = self.batch.running
        batch = sum(self._is_batch(generation) for generation in running)
        self.batch_slot_s += step_s * batch
        self.online_slot_s += step_s * (len(running) - batch)

    def _is_batch(self, generation: Generation) -> bool:
        run = self.runs.get(generation.id)
        return run is not None and run.batch


class BenchService:
    """Service that answers each call after a fixed time, with limited concurrency."""

    def __init__(self, loop: Loop, slots: int, time_s: float) -> None:
        self.loop = loop
        self.free = slots
        self.time_s = time_s
        self.waiting: deque[Promise[None]] = deque()

    async def call(self) -> None:
        """Run one call."""
        if self.free:
            self.free -= 1
        else:
            promise: Promise[None] = self.loop.promise()
            self.waiting.append(promise)
            await promise
        await self.loop.sleep(self.time_s)
        if self.waiting:
            self.waiting.popleft().resolve(None)
        else:
            self.free += 1
