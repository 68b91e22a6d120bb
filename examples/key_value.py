"""Change a key by compare-and-swap, and fail with an outdated revision."""

from parsleyrouter.connection.key_value import ABSENT, WriteApplied
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.memory_key_value import MemoryKeyValue

runtime = Runtime()


async def main() -> None:
    """Create a key, change it, and try to change it from an outdated revision."""
    key_value = MemoryKeyValue(runtime.loop)
    created = await key_value.compare_and_swap("/example", b"one", ABSENT)
    assert isinstance(created, WriteApplied)
    print(created)
    print(await key_value.compare_and_swap("/example", b"two", created.revision))
    print(await key_value.compare_and_swap("/example", b"three", created.revision))
    runtime.begin_stop()


runtime.loop.call_soon(lambda: runtime.loop.spawn(main()))
runtime.run()
