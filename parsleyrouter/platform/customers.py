"""Decode the customers of the operator's configuration record.

Whatever is refused here is refused with a reason that names customers by position, and no key.
"""

import math
from collections.abc import Iterable

import msgspec

from parsleyrouter.customers import Customer, Customers
from parsleyrouter.decoding import InvalidData
from parsleyrouter.ids import CustomerName

__all__ = ["MAX_NAME_BYTES", "CustomerEntry", "decode_customers"]

MAX_NAME_BYTES = 800
"""Longest name, as UTF-8: 200 characters; it is sent in a header of each request."""

MAX_KEY_BYTES = 4096
"""Longest key, as UTF-8; callers send it in a header of each request."""

MAX_RATE_PER_S = 1e9
MAX_BURST = 1e9
"""Largest numbers that are believed."""


class CustomerEntry(msgspec.Struct, rename="camel"):
    """One customer as the operator writes it; unknown fields are ignored."""

    name: str
    api_keys: list[str] | None = None
    # Requests a second over all nodes; 0 or none means no limit.
    rate_per_s: float | None = None
    burst: float | None = None
    # Goes before the priority of the route.
    priority: float | None = None


def decode_customers(entries: Iterable[CustomerEntry]) -> Customers:
    """Return the customers of one version; raise ``InvalidData`` if they cannot be in force."""
    known: list[tuple[Customer, list[str]]] = []
    names: set[str] = set()
    holder_by_key: dict[str, int] = {}
    for position, entry in enumerate(entries):
        where = f"customer {position}"
        _check_text(entry.name, MAX_NAME_BYTES, f"the name of {where}")
        if entry.name in names:
            raise InvalidData(f"{where} has the name of an earlier one: give each its own")
        names.add(entry.name)
        keys = entry.api_keys or []
        for number, key in enumerate(keys):
            _check_text(key, MAX_KEY_BYTES, f"key {number} of {where}")
            holder = holder_by_key.setdefault(key, position)
            if holder != position:
                raise InvalidData(
                    f"key {number} of {where} is held by customer {holder} too: give it to one"
                )
        known.append((_customer(entry, where), keys))
    return Customers.of(known)


def _customer(entry: CustomerEntry, where: str) -> Customer:
    return Customer(
        name=CustomerName(entry.name),
        rate_per_s=_check_number(entry.rate_per_s, MAX_RATE_PER_S, f"the rate of {where}"),
        burst=_check_number(entry.burst, MAX_BURST, f"the burst of {where}"),
        priority=None if entry.priority is None else _check_priority(entry.priority, where),
    )


def _check_text(text: str, max_bytes: int, what: str) -> None:
    """Raise ``InvalidData`` for a text that cannot be the value of a header."""
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        raise InvalidData(f"{what} is not Unicode text") from error
    if not 0 < size <= max_bytes:
        raise InvalidData(f"{what} has {size} bytes; allowed: 1 to {max_bytes}")
    if text != text.strip() or any(ord(letter) < 32 or ord(letter) == 127 for letter in text):
        raise InvalidData(f"{what} has a line break, a control character or spaces at an end")


def _check_number(value: float | None, maximum: float, what: str) -> float:
    if value is None:
        return 0.0
    if not math.isfinite(value) or not 0 <= value <= maximum:
        raise InvalidData(f"{what} is {value:g}; allowed: 0 to {maximum:g}")
    return value


def _check_priority(value: float, where: str) -> int:
    if not math.isfinite(value) or value != int(value) or value < 0:
        raise InvalidData(f"the priority of {where} is {value:g}; allowed: 0, 1, 2 and so on")
    return int(value)
