"""A configuration as it was written, beside what a node makes of it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from parsleyrouter.ids import ServiceName
from parsleyrouter.version.route_table import RouteTable

__all__ = ["ConfigDocument", "WrittenProblem"]


@dataclass(frozen=True)
class WrittenProblem:
    """A part that a node ignores or replaces by another value."""

    place: str
    problem: str
    remedy: str
    ignored: bool
    """Whether the part has no effect at all."""


@dataclass(frozen=True)
class ConfigDocument:
    """A configuration; without a table, ``failure`` is why a node refuses it."""

    table: RouteTable | None
    failure: str = ""
    services: tuple[ServiceName, ...] = ()
    """The names of the services as written, with repetitions."""
    written: tuple[WrittenProblem, ...] = ()
    endpoints: Mapping[ServiceName, int] = field(default_factory=dict)
    """How many endpoints services have, where that is known."""
