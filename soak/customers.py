"""The customers of a soak: their keys, which are added, moved and removed, and their limits."""

from random import Random
from typing import Any

from soak.journal import CustomerLimit, Journal, KeySpan

__all__ = [
    "CUSTOMER_HEADER",
    "KEY_MARK",
    "OPEN_ROUTE",
    "STEADY_CUSTOMER",
    "STEADY_KEY",
    "Customers",
]

CREDENTIAL_HEADER = "X-Credential"
CUSTOMER_HEADER = "x-tenant"
"""Tells endpoints the customer; callers send a false one."""

KEY_MARK = "secret-key-"
"""Begin of all keys, by which one is found wherever it is told."""

STEADY_CUSTOMER = "steady"
STEADY_KEY = f"{KEY_MARK}steady"
"""The key of a customer without a limit, which never changes."""

UNKNOWN_KEY = f"{KEY_MARK}unknown"
RATES_PER_S = (5.0, 8.0, 12.0)
BURSTS = (4.0, 8.0, 16.0)
KEYS_EACH = 3

OPEN_ROUTE = {
    "name": "open",
    "prefix": "/open/",
    "kind": "safe",
    "maxAttempts": 3,
    "allowAnonymous": True,
    "targetLatencyMs": 300,
    "service": "cards",
}


class Customers:
    """The customers that the configuration names, and who held which key when."""

    def __init__(self, count: int, seed: int, journal: Journal) -> None:
        self.journal = journal
        self.numbers = iter(range(1, 1_000_000))
        random = Random(f"{seed} customers")
        self.names = [f"customer-{number}" for number in range(count)]
        self.held = {STEADY_CUSTOMER: [STEADY_KEY]}
        journal.keys.append(KeySpan(STEADY_KEY, STEADY_CUSTOMER, 0.0))
        for name in self.names:
            limit = CustomerLimit(name, random.choice(RATES_PER_S), random.choice(BURSTS))
            journal.customer_limits.append(limit)
            self.held[name] = []
            for _ in range(KEYS_EACH):
                self.add(name, self.new_key(), 0.0)

    def new_key(self) -> str:
        """Return a key that nobody held."""
        return f"{KEY_MARK}{next(self.numbers)}"

    def add(self, customer: str, key: str, now: float) -> None:
        """Give a key to a customer."""
        self.held[customer].append(key)
        self.journal.keys.append(KeySpan(key, customer, now))

    def remove(self, customer: str, key: str) -> KeySpan:
        """Take a key from a customer; return the span to end once that is published."""
        self.held[customer].remove(key)
        return next(one for one in reversed(self.journal.keys) if one.key == key)

    def choose_key(self, random: Random, customer: str) -> str:
        """Return a key of a customer or, at times, one that was removed, an unknown one or none."""
        drawn = random.random()
        removed = [one.key for one in self.journal.keys if one.until_s < float("inf")]
        if drawn < 0.2 and removed:
            return random.choice(removed[-4:])
        if drawn < 0.3:
            return random.choice(["", UNKNOWN_KEY])
        return random.choice(self.held[customer])

    def headers(self, credential: str | None) -> list[tuple[str, str]]:
        """Return the headers of a caller; ``None`` stands for the key that never changes."""
        key = STEADY_KEY if credential is None else credential
        own = [(CREDENTIAL_HEADER, key)] if key else []
        return [*own, (CUSTOMER_HEADER, "false")]

    def entries(self) -> list[dict[str, Any]]:
        """Return the customers as the configuration names them."""
        limits = {one.customer: one for one in self.journal.customer_limits}
        return [
            {"name": name, "apiKeys": list(keys)}
            | (
                {"ratePerS": limits[name].rate_per_s, "burst": limits[name].burst}
                if name in limits
                else {}
            )
            for name, keys in self.held.items()
        ]
