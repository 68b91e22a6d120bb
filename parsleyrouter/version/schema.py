"""Schema of the operators' settings, one model per subtree."""

from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

__all__ = [
    "ApplicationSettings",
    "EndpointSettings",
    "EndpointState",
    "EndpointType",
    "FleetSettings",
    "KeySettings",
    "KindClass",
    "KindMatch",
    "KindSettings",
    "LimitSettings",
    "ModelSettings",
    "OperatorRole",
    "OperatorSettings",
    "PolicyProfile",
    "PolicySettings",
    "TeamSettings",
]

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
SHA256_PATTERN = r"^[0-9a-f]{64}$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Sha256 = Annotated[str, Field(pattern=SHA256_PATTERN)]


class _Settings(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class KindClass(StrEnum):
    """The two classes of request kinds."""

    ONLINE = "online"
    BATCH = "batch"


class KindMatch(_Settings):
    """Requests that belong to a kind; an empty field matches all."""

    model: str = ""
    application: str = ""
    path: str = ""


class KindSettings(_Settings):
    """One kind of request that a team sends."""

    kind_class: KindClass = KindClass.ONLINE
    weight: float = Field(default=1.0, gt=0, le=1000)
    deadline_s: float = Field(default=30.0, gt=0, le=86400)
    idempotent: bool = True
    match: KindMatch = KindMatch()


class ModelSettings(_Settings):
    """A model that a team serves, with its adapter and version."""

    version: str = "1"
    adapter: str = ""


class ApplicationSettings(_Settings):
    """A service without models; calls under ``no_repeat`` path prefixes run at most once."""

    no_repeat: list[str] = Field(default_factory=lambda: [""])


class KeySettings(_Settings):
    """A caller's key, stored as its SHA-256."""

    sha256: Sha256


class LimitSettings(_Settings):
    """Maximum usage of a team."""

    online_per_s: float = Field(default=1000, gt=0)
    online_open: int = Field(default=2000, gt=0)
    batch_jobs_open: int = Field(default=1000, gt=0)
    batch_items_open: int = Field(default=5_000_000, gt=0)
    item_bytes: int = Field(default=1_000_000, gt=0)
    job_items: int = Field(default=100_000, gt=0)


class TeamSettings(_Settings):
    """The subtree ``/teams/<team>``."""

    keys: dict[Name, KeySettings] = Field(default_factory=dict)
    models: dict[Name, ModelSettings] = Field(default_factory=dict)
    applications: dict[Name, ApplicationSettings] = Field(default_factory=dict)
    kinds: dict[Name, KindSettings] = Field(default_factory=dict)
    limits: LimitSettings = LimitSettings()
    weight: float = Field(default=1.0, gt=0, le=1000)
    retention_s: float = Field(default=7 * 86400, gt=0)


class EndpointType(StrEnum):
    """Kind of server behind an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointState(StrEnum):
    """Whether an endpoint accepts new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


class EndpointSettings(_Settings):
    """One endpoint; an engine lists its models, a service names its application."""

    address: Annotated[str, Field(pattern=ADDRESS_PATTERN)]
    type: EndpointType = EndpointType.ENGINE
    domain: str = ""
    models: list[str] = Field(default_factory=list)
    application: str = ""
    slots: int = Field(default=8, gt=0, le=4096)
    checks_fencing: bool = False
    role: Annotated[str, Field(pattern=r"^[a-z_-]{0,32}$")] = ""
    state: EndpointState = EndpointState.ACTIVE


class OperatorRole(StrEnum):
    """Permissions of an operator's key."""

    READ = "read"
    WRITE = "write"


class OperatorSettings(_Settings):
    """An operator's key, stored as its SHA-256."""

    sha256: Sha256
    role: OperatorRole = OperatorRole.READ


class PolicyProfile(StrEnum):
    """A set of defaults for sharing endpoints between online and batch requests."""

    ONLINE_TAIL = "online-tail"
    BATCH_THROUGHPUT = "batch-throughput"


class PolicySettings(_Settings):
    """Policy for sharing endpoints between online and batch requests."""

    profile: PolicyProfile = PolicyProfile.ONLINE_TAIL
    sharing: str = "online-first"
    retry_share: float = Field(default=0.1, ge=0, le=1)
    hedge: bool = False


class FleetSettings(_Settings):
    """The subtree ``/fleet``."""

    endpoints: dict[Name, EndpointSettings] = Field(default_factory=dict)
    operators: dict[Name, OperatorSettings] = Field(default_factory=dict)
    policy: PolicySettings = PolicySettings()
    weight_store_loads: int = Field(default=2, gt=0)
