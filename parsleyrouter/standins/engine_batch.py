"""Continuous batching of the stand-in engine, as a step simulation without I/O."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from parsleyrouter.standins.answers import prompt_tokens
from parsleyrouter.standins.prefix_cache import PrefixCache

__all__ = ["ContinuousBatch", "EngineSpec", "Generation"]


@dataclass(frozen=True)
class EngineSpec:
    """Speed and size of an engine; times in seconds.

    A step emits one token for each running generation. It takes ``step_s``, plus
    ``step_per_running_s`` for each of them, plus the time for the prompt tokens it processes.
    """

    models: tuple[str, ...] = ("stand-in",)
    slots: int = 8
    step_s: float = 0.018
    step_per_running_s: float = 0.001
    prompt_tokens_per_s: float = 8000.0
    prompt_chunk_tokens: int = 512
    cache_tokens: int = 32_000
    answer_tokens: int = 24
    load_interval_s: float = 0.5
    load_lag_s: float = 1.0
    event_lag_s: float = 0.5
    event_loss: float = 0.1
    checks_fencing: bool = False
    command_s: float = 0.5


@dataclass(eq=False)
class Generation:
    """One request in the engine; ``count`` is the number of tokens to emit."""

    id: str
    model: str
    prompt: str
    count: int
    emitted: int = 0
    resume_of: str = ""
    prompt_left: int = 0
    cached_tokens: int = 0
    on_token: Callable[["Generation"], None] = field(default=lambda generation: None)

    @property
    def done(self) -> bool:
        """Whether all tokens have been emitted."""
        return self.emitted >= self.count


class ContinuousBatch:
    """Admit generations in order of arrival, without priorities, and step the running ones."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.cache = PrefixCache(spec.cache_tokens)
        self.waiting: deque[Generation] = deque()
        self.running: list[Generation] = []
        self.resumable_tokens: dict[str, int] = {}

    def arrive(self, generation: Generation) -> None:
        """Queue a generation."""
        self.waiting.append(generation)
        self.admit()

    def cancel(self, generation: Generation) -> None:
        """Drop a waiting or running generation; a running one can be resumed later."""
        if generation in self.waiting:
            self.waiting.remove(generation)
        elif generation in self.running:
            self.running.remove(generation)
            self.resumable_tokens[generation.id] = generation.emitted
            self._trim_resumable()

    def admit(self) -> None:
        """Move waiting generations into free slots."""
        while self.waiting and len(self.running) < self.spec.slots:
            generation = self.waiting.popleft()
            generation.cached_tokens = self._cached_tokens(generation)
            total = prompt_tokens(generation.prompt) + generation.emitted
            generation.prompt_left = max(1, total - generation.cached_tokens)
            self.cache.store(generation.prompt)
            self.running.append(generation)

    def step_s(self) -> float:
        """Return how long the next step takes, in seconds."""
        processed = sum(chunk_tokens for _, chunk_tokens in self._prompt_work())
        step_s = self.spec.step_s + self.spec.step_per_running_s * len(self.running)
        return step_s + processed / self.spec.prompt_tokens_per_s

    def step(self) -> list[Generation]:
        """Finish one step; return the generations that emitted a token."""
        for generation, chunk_tokens in self._prompt_work():
            generation.prompt_left -= chunk_tokens
        advanced = [generation for generation in self.running if generation.prompt_left <= 0]
        for generation in advanced:
            generation.emitted += 1
        self.running = [generation for generation in self.running if not generation.done]
        return advanced

    def clear(self) -> list[Generation]:
        """Drop all state, as a crash does; return the generations that were in progress."""
        dropped = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.resumable_tokens.clear()
        self.cache.clear()
        return dropped

    def _prompt_work(self) -> list[tuple[Generation, int]]:
        remaining_tokens = self.spec.prompt_chunk_tokens
        planned = []
        for generation in self.running:
            chunk_tokens = min(remaining_tokens, generation.prompt_left)
            if chunk_tokens > 0:
                planned.append((generation, chunk_tokens))
                remaining_tokens -= chunk_tokens
        return planned

    def _cached_tokens(self, generation: Generation) -> int:
        if self.resumable_tokens.pop(generation.resume_of, -1) >= generation.emitted > 0:
            return prompt_tokens(generation.prompt) + generation.emitted
        return self.cache.matched_tokens(generation.prompt)

    def _trim_resumable(self) -> None:
        while len(self.resumable_tokens) > 4 * self.spec.slots:
            del self.resumable_tokens[next(iter(self.resumable_tokens))]
