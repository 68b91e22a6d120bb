"""Compare two values of a subtree recursively."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["Difference", "differences"]


@dataclass(frozen=True)
class Difference:
    """A path at which two values differ; ``None`` means that it is not set."""

    path: str
    was: Any
    now: Any


def differences(was: Any, now: Any, path: str = "") -> Iterator[Difference]:
    """Yield the paths at which two values differ, in order."""
    if isinstance(was, Mapping) and isinstance(now, Mapping):
        for name in sorted({*was, *now}):
            yield from differences(was.get(name), now.get(name), f"{path}/{name}")
    elif was != now:
        yield Difference(path, was, now)
