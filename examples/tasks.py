"""Run two tasks on one loop."""

from parsleyrouter.process.runtime import Runtime

runtime = Runtime()


async def count(name: str, pause_s: float) -> None:
    """Print three numbers, ``pause_s`` apart."""
    for number in range(3):
        await runtime.loop.sleep(pause_s)
        print(name, number)


async def main() -> None:
    """Run two counters concurrently and stop."""
    await runtime.loop.gather(
        [runtime.loop.spawn(count("slow", 0.2)), runtime.loop.spawn(count("quick", 0.1))]
    )
    runtime.begin_stop()


runtime.loop.spawn(main())
runtime.run()
