"""Customers of one version of the configuration, found by their keys."""

import hashlib
import secrets
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from parsleyrouter.ids import CustomerName

__all__ = ["Customer", "Customers"]

_DIGEST_SECRET = secrets.token_bytes(32)
"""Keys are found by a keyed digest, so that the time of a look-up tells nothing about them."""


@dataclass(frozen=True)
class Customer:
    """One customer; ``rate_per_s`` in requests a second over all nodes, 0 without a limit."""

    name: CustomerName
    rate_per_s: float = 0.0
    burst: float = 0.0
    """Requests that may come at once in addition."""
    priority: int | None = None
    """Goes before the priority of the route; 0 is the highest."""

    @property
    def limited(self) -> bool:
        """Return whether the requests of the customer are limited."""
        return self.rate_per_s > 0


@dataclass(frozen=True)
class Customers:
    """All customers of one version; empty where the configuration has none."""

    by_name: Mapping[CustomerName, Customer] = field(default_factory=dict)
    by_digest: Mapping[bytes, CustomerName] = field(default_factory=dict, repr=False)

    @classmethod
    def of(cls, customers: Iterable[tuple[Customer, Iterable[str]]]) -> "Customers":
        """Build from customers and their keys."""
        known = [(customer, list(keys)) for customer, keys in customers]
        return cls(
            by_name={customer.name: customer for customer, _ in known},
            by_digest={_digest(key): customer.name for customer, keys in known for key in keys},
        )

    def __bool__(self) -> bool:
        return bool(self.by_name)

    def find(self, key: str) -> Customer | None:
        """Return the customer that holds a key."""
        name = self.by_digest.get(_digest(key))
        return None if name is None else self.by_name[name]


def _digest(key: str) -> bytes:
    encoded = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(encoded, key=_DIGEST_SECRET, digest_size=16).digest()
