"""Event loop of a process: timers and coroutine tasks on one circuits manager.

circuits resumes its own generator coroutines by polling them on every tick. Tasks here wait for a
``Promise`` instead and cost nothing until it settles.
"""

import heapq
import itertools
import logging
import time
from collections import deque
from collections.abc import Callable, Coroutine, Generator, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from circuits import Component, handler

from parsleyrouter.process.poller import SetPoller

__all__ = ["Cancelled", "Loop", "Promise", "Task", "TimedOut", "Timer"]

T = TypeVar("T")

BLOCKING_THREADS = 4

log = logging.getLogger(__name__)


class Cancelled(BaseException):
    """Raised inside a coroutine whose task was cancelled."""


class TimedOut(Exception):
    """Report that a result did not arrive in time; allow more time or retry."""


class Promise(Generic[T]):
    """A result that arrives later; only the first settlement counts."""

    def __init__(self, loop: "Loop") -> None:
        self.loop = loop
        self.done = False
        self.value: T | None = None
        self.error: BaseException | None = None
        self.callbacks: list[Callable[[Promise[T]], object]] = []

    def resolve(self, value: T) -> bool:
        """Settle with a value; return whether this call settled it."""
        return self._settle(value, None)

    def reject(self, error: BaseException) -> bool:
        """Settle with an error; return whether this call settled it."""
        return self._settle(None, error)

    def on_done(self, callback: Callable[["Promise[T]"], object]) -> None:
        """Call back after settlement; soon if it has already settled."""
        if self.done:
            self.loop.call_soon(lambda: callback(self))
        else:
            self.callbacks.append(callback)

    def result(self) -> T:
        """Return the value or raise the error of a settled promise."""
        if self.error is not None:
            raise self.error
        return self.value  # type: ignore[return-value]

    def _settle(self, value: T | None, error: BaseException | None) -> bool:
        if self.done:
            return False
        self.done = True
        self.value = value
        self.error = error
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            self.loop.call_soon(lambda callback=callback: callback(self))  # type: ignore[misc]
        return True

    def __await__(self) -> Generator["Promise[T]", None, T]:
        if not self.done:
            yield self
        return self.result()


class Task(Promise[T]):
    """Run one coroutine; its return value or error settles the task."""

    def __init__(self, loop: "Loop", coroutine: Coroutine[Any, Any, T], name: str) -> None:
        super().__init__(loop)
        self.coroutine = coroutine
        self.name = name
        self.waiting: Promise[Any] | None = None
        self.cancel_requested = False
        loop.call_soon(self._step)

    def cancel(self) -> None:
        """Raise ``Cancelled`` inside the coroutine at its current await."""
        if self.done or self.cancel_requested:
            return
        self.cancel_requested = True
        self.waiting = None
        self.loop.call_soon(self._throw_cancelled)

    def _throw_cancelled(self) -> None:
        if not self.done:
            self._advance(lambda: self.coroutine.throw(Cancelled()))

    def _wake(self, promise: Promise[Any]) -> None:
        if self.waiting is promise:
            self._step()

    def _step(self) -> None:
        if not self.done:
            self._advance(lambda: self.coroutine.send(None))

    def _advance(self, step: Callable[[], Promise[Any]]) -> None:
        self.waiting = None
        try:
            self.waiting = step()
        except StopIteration as stop:
            self.resolve(stop.value)
        except Cancelled as error:
            self.reject(error)
        except Exception as error:
            if not self.callbacks:
                log.exception("task failed", extra={"task": self.name})
            self.reject(error)
        else:
            self.waiting.on_done(self._wake)


@dataclass(order=True)
class Timer:
    """A call due at a monotonic time, in seconds."""

    due_s: float
    order: int
    call: Callable[[], object] = field(compare=False)
    cancelled: bool = field(default=False, compare=False)

    def cancel(self) -> None:
        """Prevent the call."""
        self.cancelled = True


class Loop(Component):
    """Run the timers, tasks and blocking calls of one process."""

    channel = "loop"

    def __init__(self) -> None:
        super().__init__()
        self.poller = SetPoller().register(self)
        self.timers: list[Timer] = []
        self.timer_order = itertools.count()
        self.ready: deque[Callable[[], object]] = deque()
        self.thread_calls: deque[Callable[[], object]] = deque()
        self.running_ready = False
        self.threads: ThreadPoolExecutor | None = None

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def call_soon(self, call: Callable[[], object]) -> None:
        """Call after the current callback has returned, before the next poll."""
        self.ready.append(call)
        if not self.running_ready:
            self._run_ready()

    def call_from_thread(self, call: Callable[[], object]) -> None:
        """Call on the loop; the only method that is safe to use from another thread."""
        self.thread_calls.append(call)
        self.poller.resume()

    def call_later(self, delay_s: float, call: Callable[[], object]) -> Timer:
        """Call after a delay in seconds."""
        timer = Timer(self.now() + delay_s, next(self.timer_order), call)
        heapq.heappush(self.timers, timer)
        return timer

    def spawn(self, coroutine: Coroutine[Any, Any, T], name: str = "") -> Task[T]:
        """Start a coroutine as a task."""
        return Task(self, coroutine, name or getattr(coroutine, "__qualname__", "task"))

    def promise(self) -> Promise[Any]:
        """Return a new unsettled promise."""
        return Promise(self)

    def sleep(self, delay_s: float) -> Promise[None]:
        """Return a promise that settles after a delay in seconds."""
        promise: Promise[None] = Promise(self)
        self.call_later(delay_s, lambda: promise.resolve(None))
        return promise

    async def within(self, timeout_s: float, promise: Promise[T]) -> T:
        """Await a promise for at most ``timeout_s``; then raise ``TimedOut`` and cancel a task."""
        if promise.done:
            return promise.result()
        first: Promise[bool] = Promise(self)
        timer = self.call_later(timeout_s, lambda: self._after_poll(lambda: first.resolve(False)))
        promise.on_done(lambda _: first.resolve(True))
        try:
            arrived = await first
        except Cancelled:
            if isinstance(promise, Task):
                promise.cancel()
            raise
        finally:
            timer.cancel()
        if arrived:
            return promise.result()
        if isinstance(promise, Task):
            promise.cancel()
        raise TimedOut(f"no result within {timeout_s:g} s")

    def _after_poll(self, call: Callable[[], object]) -> None:
        """Call after pending input has been read.

        After a pause of the process, a result that already waits in a socket wins over its timeout.
        """
        self.call_later(0.0, call)

    async def gather(self, promises: Iterable[Promise[T]]) -> list[T]:
        """Await all promises; raise the first error after all have settled."""
        settled = list(promises)
        for promise in settled:
            if not promise.done:
                waiter: Promise[None] = Promise(self)
                promise.on_done(lambda _, waiter=waiter: waiter.resolve(None))  # type: ignore[misc]
                await waiter
        return [promise.result() for promise in settled]

    def run_blocking(self, call: Callable[[], T]) -> Promise[T]:
        """Run a blocking call, such as an fsync, in a thread."""
        if self.threads is None:
            self.threads = ThreadPoolExecutor(BLOCKING_THREADS, thread_name_prefix="blocking")
        promise: Promise[T] = Promise(self)
        self.threads.submit(self._run_in_thread, call, promise)
        return promise

    def _run_in_thread(self, call: Callable[[], T], promise: Promise[T]) -> None:
        try:
            value = call()
        except Exception as error:
            self.call_from_thread(lambda error=error: promise.reject(error))  # type: ignore[misc]
        else:
            self.call_from_thread(lambda: promise.resolve(value))

    def _run_ready(self) -> None:
        self.running_ready = True
        try:
            while self.ready:
                call = self.ready.popleft()
                try:
                    call()
                except Exception:
                    log.exception("callback failed")
        finally:
            self.running_ready = False

    @handler("generate_events", channel="*", priority=1)
    def _run_due(self, event: Any) -> None:
        while self.thread_calls:
            self.ready.append(self.thread_calls.popleft())
        now = self.now()
        while self.timers and (self.timers[0].cancelled or self.timers[0].due_s <= now):
            timer = heapq.heappop(self.timers)
            if not timer.cancelled:
                self.ready.append(timer.call)
        if self.ready and not self.running_ready:
            self._run_ready()
        while self.timers and self.timers[0].cancelled:
            heapq.heappop(self.timers)
        if len(self.root._queue):
            event.reduce_time_left(0)
        elif self.timers:
            event.reduce_time_left(max(0.0, self.timers[0].due_s - self.now()))
