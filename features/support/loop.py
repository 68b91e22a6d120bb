"""Run a coroutine on a loop of its own in a step."""

from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from parsleyrouter.process.loop import TimedOut
from parsleyrouter.process.runtime import Runtime

T = TypeVar("T")

RUN_LIMIT_S = 60.0


def run_on_loop(start: Callable[[Runtime], Coroutine[Any, Any, T]]) -> T:
    """Run ``start(runtime)`` to its end and return its value."""
    runtime = Runtime()
    box: list[Any] = []

    async def main() -> None:
        await runtime.loop.sleep(0)
        task = runtime.loop.spawn(start(runtime))
        try:
            box.append((True, await runtime.loop.within(RUN_LIMIT_S, task)))
        except (Exception, TimedOut) as error:
            box.append((False, error))
        runtime.stop()

    runtime.loop.spawn(main())
    runtime.run()
    succeeded, value = box[0]
    if not succeeded:
        raise value
    return value
