"""Endpoints of an experiment: the stand-in engine's step machine and plain services, in process."""

from collections import deque
from dataclasses import dataclass, field

from parsleyrouter.process.loop import Loop, Promise
from parsleyrouter.standins.engine_batch import ContinuousBatch, EngineSpec, Generation

__all__ = ["BenchEngine", "BenchService", "Run"]

BYTES_PER_TOKEN = 4


@dataclass(eq=False)
class Run:
    """One request at an endpoint; ``times`` are those of its tokens."""

    batch: bool
    ended: Promise[bool]
    times: list[float] = field(default_factory=list)
    generation: Generation | None = None


class BenchEngine:
    """Admit between steps, so that every prompt takes its time, and count slot seconds."""

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
        """Begin a request, from the token ``emitted`` on; an engine keeps what it has cancelled."""
        self.count += 1
        run = Run(batch, self.loop.promise())
        run.generation = Generation(
            id=f"{self.name}-{self.count}",
            model="",
            prompt=prompt,
            count=tokens,
            emitted=emitted,
            resume_of=resume_of,
            on_token=lambda generation: self._token(run, generation),
        )
        self.runs[run.generation.id] = run
        self.arriving.append(run.generation)
        if not self.stepping:
            self.stepping = True
            self.loop.spawn(self._step_on(), f"steps of {self.name}")
        return run

    def cancel(self, run: Run) -> None:
        """Stop a request; what it has emitted is kept."""
        assert run.generation is not None
        if self.runs.pop(run.generation.id, None) is not None:
            if run.generation in self.arriving:
                self.arriving.remove(run.generation)
            self.batch.cancel(run.generation)
            run.ended.resolve(False)

    def _token(self, run: Run, generation: Generation) -> None:
        run.times.append(self.loop.now())
        if generation.done:
            self.runs.pop(generation.id, None)
            run.ended.resolve(True)

    async def _step_on(self) -> None:
        due_s = self.loop.now()
        while self._admit():
            step_s = self.batch.step_s()
            self._count(step_s)
            due_s = max(due_s + step_s, self.loop.now())
            await self.loop.sleep(due_s - self.loop.now())
            for generation in self.batch.step():
                generation.on_token(generation)
        self.stepping = False

    def _admit(self) -> bool:
        """Admit what arrived during the last step; tell whether there is work."""
        arrived, self.arriving = self.arriving, []
        for generation in arrived:
            self.batch.arrive(generation)
        self.batch.admit()
        return bool(self.batch.running)

    def _count(self, step_s: float) -> None:
        running = self.batch.running
        batch = sum(self._is_batch(generation) for generation in running)
        self.batch_slot_s += step_s * batch
        self.online_slot_s += step_s * (len(running) - batch)

    def _is_batch(self, generation: Generation) -> bool:
        run = self.runs.get(generation.id)
        return run is not None and run.batch


class BenchService:
    """Answer each call after a fixed time, a few at once."""

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
