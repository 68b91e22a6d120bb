"""Run a coroutine on a new event loop."""

from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from parsleyrouter.process.loop import TimedOut
from parsleyrouter.process.runtime import Runtime

T = TypeVar("T")

RUN_LIMIT_S = 60.0


def run_on_loop(
    start: Callable[[Runtime], Coroutine[Any, Any, T]], limit_s: float = RUN_LIMIT_S
) -> T:
    """Run ``start(runtime)`` to completion and return its value."""
    runtime = Runtime()
    outcome: list[Any] = []

    async def main() -> None:
        await runtime.loop.sleep(0)
        task = runtime.loop.spawn(start(runtime))
        try:
            outcome.append((True, await runtime.loop.within(limit_s, task)))
        except (Exception, TimedOut) as error:
            outcome.append((False, error))
        runtime.stop()

    runtime.loop.spawn(main())
    runtime.run()
    succeeded, value = outcome[0]
    if not succeeded:
        raise value
    return value
