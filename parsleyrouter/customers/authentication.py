"""Identify the customer that sends a request; performs no I/O."""

from collections.abc import Sequence

from parsleyrouter.customers.customer import Customer, Customers
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind

__all__ = ["authenticate"]


def authenticate(
    customers: Customers, presented: Sequence[bytes], *, anonymous: bool, header: str
) -> Customer | Refusal | None:
    """Return the customer that holds the presented key, ``None`` if none is needed, or a refusal.

    ``presented`` holds the value of each ``header`` line of the request. Several different keys
    prove nothing, and on an ``anonymous`` route neither they nor an unknown key do any harm.
    """
    if not customers:
        return None
    keys = set(presented)
    found = _find(customers, next(iter(keys))) if len(keys) == 1 else None
    if found is not None or anonymous:
        return found
    if not keys:
        return _refuse(f"a key is needed: send one of your customer's in {header}")
    if len(keys) > 1:
        return _refuse(f"several different keys were sent: send one, in one {header}")
    return _refuse(f"the key is not known: send one that your operator lists, in {header}")


def _find(customers: Customers, presented: bytes) -> Customer | None:
    """Return the customer of a key, which callers may send as UTF-8 or as Latin-1."""
    found = customers.find(presented.decode("utf-8", "surrogateescape"))
    if found is None and not presented.isascii():
        found = customers.find(presented.decode("latin-1"))
    return found


def _refuse(message: str) -> Refusal:
    return Refusal(RefusalKind.UNAUTHENTICATED, message, ExecutionStatus.NOT_RUN)
