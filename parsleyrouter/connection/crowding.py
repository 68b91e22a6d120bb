"""Decide which connections yield when clients hold too much.

Load: more connections, or more bytes in unfinished requests, than a port may hold. The addresses
that hold the most yield first, so that one client cannot keep out the others.
"""

from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass

__all__ = ["Holder", "first_to_yield"]


@dataclass(frozen=True)
class Holder:
    """A connection that may be closed without breaking a promise."""

    key: Hashable
    remote: str
    order: tuple[float, ...]
    """Among connections from one address, the lowest order yields first."""


def first_to_yield(
    holders: Iterable[Holder], totals: Mapping[str, int], remote: str
) -> Holder | None:
    """Choose from the address that holds the most, but from none that holds less than ``remote``.

    ``totals`` has what each address holds, also in connections that must not be closed.
    """
    own = totals.get(remote, 0)
    candidates = [one for one in holders if totals.get(one.remote, 0) >= own]
    return min(
        candidates,
        key=lambda one: (-totals.get(one.remote, 0), one.remote != remote, one.order),
        default=None,
    )
