"""Differences between a configuration and the version in force, and what callers notice."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

from parsleyrouter.ids import CustomerName
from parsleyrouter.version.route_table import RouteTable

__all__ = ["Change", "Difference", "find_differences"]


class Change(Enum):
    """What happened to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True)
class Difference:
    """One entry that differs; ``effect`` is what callers notice."""

    change: Change
    place: str
    details: str
    effect: str


Entries = Callable[[RouteTable], Mapping[str, Any]]


@dataclass(frozen=True)
class _Section:
    entries: Entries
    added: str
    removed: str
    changed: str


def _key_digests(table: RouteTable, name: CustomerName) -> frozenset[bytes]:
    return frozenset(one for one, holder in table.customers.by_digest.items() if holder == name)


def _customers(table: RouteTable) -> Mapping[str, Any]:
    return {
        name: (customer, _key_digests(table, name))
        for name, customer in table.customers.by_name.items()
    }


_SECTIONS: Mapping[str, _Section] = {
    "route": _Section(
        lambda table: {route.name: route for route in reversed(table.routes)},
        "requests under its prefix are served",
        "requests under its prefix get 404, or go to a shorter prefix of the host",
        "requests of the route are handled in the new way",
    ),
    "service": _Section(
        lambda table: {str(name): one for name, one in table.services.items()},
        "routes can lead to it",
        "requests are no longer sent to it",
        "its endpoints are used in the new way",
    ),
    "customer": _Section(
        _customers,
        "calls with its keys are served",
        "calls with its keys get 401",
        "calls with removed keys get 401, and others have the new limits",
    ),
}


def find_differences(new: RouteTable, in_force: RouteTable) -> list[Difference]:
    """Return what a configuration changes."""
    found = [
        one for name, section in _SECTIONS.items() for one in _of(name, section, new, in_force)
    ]
    if new.limits != in_force.limits:
        details = _changed_fields(in_force.limits, new.limits)
        effect = "new connections of callers have the new limits"
        found.append(Difference(Change.CHANGED, "limits", details, effect))
    return found


def _of(
    name: str, section: _Section, new: RouteTable, in_force: RouteTable
) -> Iterator[Difference]:
    after, before = section.entries(new), section.entries(in_force)
    for entry in sorted(after.keys() | before.keys()):
        place = f"{name} {entry!r}"
        if entry not in before:
            yield Difference(Change.ADDED, place, "", section.added)
        elif entry not in after:
            yield Difference(Change.REMOVED, place, "", section.removed)
        elif after[entry] != before[entry]:
            details = _changed_fields(before[entry], after[entry])
            yield Difference(Change.CHANGED, place, details, section.changed)


def _changed_fields(before: Any, after: Any) -> str:
    """Describe the fields that differ; of keys only how many."""
    if isinstance(before, tuple):
        (old, old_keys), (new, new_keys) = before, after
        keys = f"{len(new_keys - old_keys)} keys added, {len(old_keys - new_keys)} removed"
        parts = [_changed_fields(old, new), keys if old_keys != new_keys else ""]
        return "; ".join(part for part in parts if part)
    return ", ".join(
        f"{field.name}: {getattr(before, field.name)!r} -> {getattr(after, field.name)!r}"
        for field in fields(before)
        if getattr(before, field.name) != getattr(after, field.name)
    )
