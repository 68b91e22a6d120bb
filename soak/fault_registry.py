"""Registries of faults, filled by decorators."""

from collections.abc import Awaitable, Callable

from soak.world import World

__all__ = ["Fault", "registrar"]

Fault = Callable[[World], Awaitable[None]]


def registrar(faults: dict[str, Fault]) -> Callable[[str], Callable[[Fault], Fault]]:
    """Return a decorator that registers a fault under the name that logs and seeds use."""

    def named(name: str) -> Callable[[Fault], Fault]:
        def register(function: Fault) -> Fault:
            faults[name] = function
            return function

        return register

    return named
