"""One version of the routes: which services may run a request, and whether it is repeatable."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from parsleyrouter.customers import Customers
from parsleyrouter.ids import RouteName, ServiceName

__all__ = [
    "CallerLimits",
    "EngineConfig",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceConfig",
    "Target",
]


class RouteKind(Enum):
    """Whether requests are repeatable, and how their responses arrive."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


@dataclass(frozen=True)
class Target:
    """A service and its weight among the targets of a route."""

    service: ServiceName
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """Route for the requests of one host under one path prefix; times in seconds."""

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    latency_target_s: float
    max_executions: int = 1
    priority: int = 0
    """Priority of the requests; 0 is the highest."""
    resumable: bool = False
    max_pause_s: float = 0.0
    """Target for the longest pause between events of a streamed response."""
    job_target_s: float = 0.0
    job_retention_s: float = 0.0
    """Time after the submission of a job at which its items may be abandoned."""
    max_waiting_tokens: int = 0
    """Tokens of unfinished batch items that the route accepts in all, of each customer where there
    are customers; 0 means no limit."""
    anonymous: bool = False
    """Whether requests need no key of a customer."""

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable

    def pick_service(self, random: Random) -> ServiceName:
        """Choose one of the services at random by weight."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return random.choices(self.targets, weights)[0].service


@dataclass(frozen=True)
class EngineConfig:
    """Declared capacity of the model engines of a service."""

    slots: int
    kv_capacity_tokens: int


@dataclass(frozen=True)
class ServiceConfig:
    """Declared configuration of a service."""

    name: ServiceName
    connection_limit: int
    engine: EngineConfig | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limits on what callers may send and how long they may take; times in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class RouteTable:
    """All routes of one version."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, ServiceConfig] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    customers: Customers = Customers()
    by_host: dict[str, list[Route]] = field(init=False, repr=False, compare=False)
    most_urgent: int = field(init=False, repr=False, compare=False)
    """The most urgent priority of any route or customer."""

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            by_host.setdefault(route.host, []).append(route)
        object.__setattr__(self, "by_host", by_host)
        priorities = [route.priority for route in self.routes]
        of_customers = (customer.priority for customer in self.customers.by_name.values())
        priorities += [priority for priority in of_customers if priority is not None]
        object.__setattr__(self, "most_urgent", min(priorities, default=0))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that matches a path."""
        for route in self.routes_of(host):
            if path.startswith(route.prefix):
                return route
        return None

    def serves_jobs(self, host: str) -> bool:
        """Return whether batch jobs may be submitted at a host."""
        return any(route.kind is RouteKind.BATCH for route in self.routes_of(host))

    def routes_of(self, host: str) -> Sequence[Route]:
        """Return the routes of a host."""
        return self.by_host.get(host.lower(), ())
