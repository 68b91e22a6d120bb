"""Compare two values of a subtree leaf by leaf."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["Difference", "differences"]


@dataclass(frozen=True)
class Difference:
    """One place where two values differ; ``None`` means that nothing stands there."""

    path: str
    was: Any
    now: Any


def differences(was: Any, now: Any, path: str = "") -> Iterator[Difference]:
    """Return the places where two values differ, in order of their paths."""
    if isinstance(was, Mapping) and isinstance(now, Mapping):
        for name in sorted({*was, *now}):
            yield from differences(was.get(name), now.get(name), f"{path}/{name}")
    elif was != now:
        yield Difference(path, was, now)
