"""Record of what callers and endpoints observed during a soak."""

import math
from dataclasses import dataclass, field
from enum import Enum

__all__ = [
    "Absence",
    "Attempt",
    "CLIENT_KINDS",
    "CarriedTwice",
    "CustomerLimit",
    "DeadlyRequest",
    "DeadlySpan",
    "EndpointCrash",
    "EndpointLimit",
    "JobTrace",
    "Journal",
    "KeySpan",
    "Kind",
    "REFUSALS",
    "RequestContent",
    "Run",
    "RunEnd",
    "SlowSpan",
    "content_key",
    "sending_key",
]

REFUSALS = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


def sending_key(attempt: str, sending: int) -> str:
    """Return the name of one sending of a request; the first one has the id of the request."""
    return attempt if sending == 1 else f"{attempt}/{sending}"


class Kind(Enum):
    """Kind of a route by how its requests may be repeated; the value is its path prefix."""

    STREAM = "chat"
    RESUMABLE = "tale"
    SAFE = "card"
    MOVED = "moved"
    """A safe route that alternates between two services with the version of the routes."""

    OPEN = "open"
    """A safe route that needs no key, in plays with customers."""

    BRIEF = "brief"
    """Streams of a single event, in plays with engines that report their speed."""

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self not in (Kind.STREAM, Kind.BRIEF)


CLIENT_KINDS = (Kind.STREAM, Kind.RESUMABLE, Kind.SAFE, Kind.MOVED)
"""The routes that all plays have."""


def content_key(target: str, body: bytes) -> str:
    """Return what identifies a request that is sent again under other ids."""
    return f"{target} {body.decode()}"


@dataclass(frozen=True)
class RequestContent:
    """What is the same whenever a request is sent again."""

    kind: Kind
    target: str
    body: bytes
    parts: tuple[str, ...] = ()

    @property
    def key(self) -> str:
        """Return what identifies the request."""
        return content_key(self.target, self.body)


@dataclass
class Attempt:
    """One request of a caller and its outcome."""

    attempt: str
    kind: Kind
    node: str
    sent_s: float
    status: int = 0
    proof: str = ""
    body: bytes = b""
    complete: bool = False
    ended_s: float = 0.0
    version: int = 0
    """Latest version of the routes when it was sent."""
    version_s: float = 0.0
    """When that version was published."""
    parts: tuple[str, ...] = ()
    """Parts of its prompt, in order."""
    content: RequestContent | None = None
    """What it has in common with other attempts; the id names its path and body otherwise."""
    sending: int = 1
    """How often its caller had sent the id, with this time."""
    credential: str | None = None
    """The key that it was sent with, empty without one; ``None`` for the key that never changes."""

    @property
    def key(self) -> str:
        """Return the name of this sending of the request."""
        return sending_key(self.attempt, self.sending)


class RunEnd(Enum):
    """How a run ended at its endpoint."""

    COMPLETE = "complete"
    FAILED = "failed"
    """The endpoint answered with a failure or broke the answer off."""
    CRASHED = "crashed"
    """The endpoint ended."""
    LEFT = "left"
    """The sender closed the connection."""


@dataclass
class Run:
    """One run of a request or item at an endpoint."""

    attempt: str
    endpoint: str
    service: str
    target: str
    body: bytes
    began_s: float
    resumed_after: int = 0
    parts: tuple[str, ...] = ()
    born: int = 1
    """The start of the endpoint."""
    leaving: bool = False
    """Whether the answer says that the endpoint leaves."""
    ended_s: float = 0.0
    """When it ended at the endpoint; 0 while it lasts."""
    end: RunEnd | None = None
    sending: int = 1
    """Which sending of the request by its caller has run."""
    customer: str = ""
    """The customer that the endpoint was told."""
    key_told: bool = False
    """Whether the endpoint was sent a customer's key."""

    @property
    def key(self) -> str:
        """Return the name of the sending that has run."""
        return sending_key(self.attempt, self.sending)

    @property
    def content(self) -> str:
        """Return what identifies the request, whatever its id."""
        return content_key(self.target, self.body)


@dataclass
class CarriedTwice:
    """A request that came on a connection that had carried its id before."""

    at_s: float
    endpoint: str
    request: str


@dataclass
class DeadlyRequest:
    """A request that crashes endpoints, from when to when."""

    content: RequestContent
    from_s: float
    until_s: float = math.inf


@dataclass
class DeadlySpan:
    """A part that crashes endpoints, from when to when."""

    part: str
    first_part: str
    from_s: float
    until_s: float = math.inf


@dataclass
class Absence:
    """A time in which an endpoint of the items takes few requests or none."""

    endpoint: str
    from_s: float
    until_s: float = math.inf


@dataclass
class EndpointCrash:
    """One crash of an endpoint and the prompt part or the request that caused it."""

    at_s: float
    endpoint: str
    part: str = ""
    request: str = ""


@dataclass
class EndpointLimit:
    """A limit that an endpoint named, in requests per second, and from when to when."""

    endpoint: str
    per_s: float
    from_s: float
    until_s: float = math.inf


@dataclass
class CustomerLimit:
    """The limit of a customer over all nodes."""

    customer: str
    rate_per_s: float
    burst: float


@dataclass
class KeySpan:
    """A time in which the configuration gave a key to a customer."""

    key: str
    customer: str
    from_s: float
    until_s: float = math.inf


@dataclass
class SlowSpan:
    """A time in which an endpoint was slow and reported it, and how slow."""

    endpoint: str
    slowness: float
    from_s: float
    until_s: float = math.inf


@dataclass
class JobTrace:
    """One batch job as observed by its client."""

    job: str
    items: list[str]
    answers: list[int] = field(default_factory=list)
    accepted_s: float = 0.0
    refused_for_good: bool = False
    results: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    """Item, state and output by position."""
    parts: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """The parts of the prompt of each item that has one, in order."""
    missing_s: dict[str, float] = field(default_factory=dict)
    """When the last read was sent that found the item not listed."""
    problems: list[str] = field(default_factory=list)


@dataclass
class Journal:
    """All observations of one soak."""

    attempts: dict[str, Attempt] = field(default_factory=dict)
    """The requests of callers; each sending of an id is one."""
    runs: list[Run] = field(default_factory=list)
    jobs: dict[str, JobTrace] = field(default_factory=dict)
    crashes: list[EndpointCrash] = field(default_factory=list)
    repeats: list[CarriedTwice] = field(default_factory=list)
    limits: list[EndpointLimit] = field(default_factory=list)
    deadly: dict[str, DeadlySpan] = field(default_factory=dict)
    deadly_requests: dict[str, DeadlyRequest] = field(default_factory=dict)
    absences: list[Absence] = field(default_factory=list)
    customer_limits: list[CustomerLimit] = field(default_factory=list)
    keys: list[KeySpan] = field(default_factory=list)
    slow: list[SlowSpan] = field(default_factory=list)
    item_slots: int = 0
    """Slots of the endpoints that run items, while none is absent."""
    endpoints: dict[str, int] = field(default_factory=dict)
    """Number of endpoints of each service, while none is absent."""
    ended_s: float = 0.0
    """When the play ended."""
    ends: list[str] = field(default_factory=list)
    """Unexplained ends of processes."""
