"""Choose the next command for an engine, and decide who may send it; performs no I/O.

Every command carries a fencing number, raised by a compare-and-swap on the engine's claim record.
An engine that ignores the number could still obey the former claim holder. The next holder then
waits until the former one may no longer send and its longest command has ended, and reads the
engine's state.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from parsleyrouter.ids import EndpointId, ModelName, Revision
from parsleyrouter.version.schema import EndpointSettings
from parsleyrouter.version.snapshot import SettingsSnapshot

__all__ = [
    "ClaimMonitor",
    "EngineClaim",
    "ClaimTimes",
    "DesiredState",
    "EngineCommand",
    "EngineCommandKind",
    "EngineState",
    "claim_key",
    "desired_state",
    "may_send",
    "next_command",
]

SEND_MARGIN_S = 1.0
"""A holder stops sending this long before its claim ends."""


@dataclass(frozen=True)
class ClaimTimes:
    """Times of claims in seconds.

    A holder may send for ``claim_s`` after its claim; a command may take ``max_command_s``. Calls
    dispatched up to ``settle_s`` after a model's withdrawal may still use the model.
    """

    claim_s: float = 10.0
    max_command_s: float = 120.0
    settle_s: float = 5.0


class EngineClaim(msgspec.Struct, frozen=True):
    """Holder of the claim on an engine; ``released`` once all its commands were answered."""

    fence: int
    holder: str
    released: bool
    nonce: str


class EngineCommandKind(Enum):
    """Kinds of commands; the value ends the path of the engine's admin API."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclass(frozen=True)
class EngineCommand:
    """Command that loads or unloads a model or sets the engine's role."""

    kind: EngineCommandKind
    model: ModelName = ModelName("")
    version: str = ""
    role: str = ""

    def body(self, fence: int) -> dict[str, object]:
        """Return the JSON body of the command."""
        if self.kind is EngineCommandKind.ROLE:
            return {"role": self.role, "fence": fence}
        body: dict[str, object] = {"model": self.model, "fence": fence}
        return body | ({"version": self.version} if self.kind is EngineCommandKind.LOAD else {})


@dataclass(frozen=True)
class EngineState:
    """Loaded models with their versions, and the role, as reported by an engine."""

    models: Mapping[ModelName, str] = field(default_factory=dict)
    role: str = ""


@dataclass(frozen=True)
class DesiredState:
    """Models with their versions, and the role, that the settings ask for."""

    models: Mapping[ModelName, str]
    role: str = ""


def claim_key(endpoint: EndpointId) -> str:
    """Return the key of an engine's claim record."""
    return f"/parsley/orders/{endpoint}"


def desired_state(endpoint: EndpointSettings, settings: SettingsSnapshot) -> DesiredState:
    """Return the desired state of an engine; if teams differ, the higher version is loaded."""
    models = {}
    for name in endpoint.models:
        versions = [
            team.models[name].version for team in settings.teams.values() if name in team.models
        ]
        models[ModelName(name)] = max(versions, default="")
    return DesiredState(models, endpoint.role)


def next_command(
    state: EngineState,
    desired: DesiredState,
    idle: Iterable[ModelName],
    demand: Mapping[ModelName, int] | None = None,
) -> EngineCommand | None:
    """Return the next command, if any; a model is unloaded only when no request runs on it.

    Models are loaded in order of demand; any loaded version satisfies an empty desired version.
    """
    if desired.role and desired.role != state.role:
        return EngineCommand(EngineCommandKind.ROLE, role=desired.role)
    demanded = demand or {}
    for model in sorted(desired.models, key=lambda name: (-demanded.get(name, 0), name)):
        version = desired.models[model]
        loaded = state.models.get(model)
        if loaded is None or (version and version != loaded):
            return EngineCommand(EngineCommandKind.LOAD, model, version or "1")
    unloadable = set(idle) if desired.models else set()
    for model in sorted(state.models):
        if model not in desired.models and model in unloadable:
            return EngineCommand(EngineCommandKind.UNLOAD, model)
    return None


def may_send(claim_sent_s: float, now: float, times: ClaimTimes) -> bool:
    """Return whether a holder may still send; its claim may have expired during a pause."""
    return now < claim_sent_s + times.claim_s - SEND_MARGIN_S


class ClaimMonitor:
    """Track changes of claim records by this process's own clock."""

    def __init__(self, times: ClaimTimes) -> None:
        self.times = times
        self.seen: dict[EndpointId, tuple[Revision, float]] = {}

    def may_claim(
        self,
        endpoint: EndpointId,
        record: EngineClaim | None,
        revision: Revision,
        checks_fencing: bool,
        now: float,
    ) -> bool:
        """Return whether the former holder can no longer send a command that would be obeyed."""
        seen = self.seen.get(endpoint)
        if seen is None or seen[0] != revision:
            self.seen[endpoint] = seen = (revision, now)
        if record is None or record.released:
            return True
        wait_s = self.times.claim_s
        if not checks_fencing:
            wait_s += self.times.max_command_s
        return now - seen[1] >= wait_s
