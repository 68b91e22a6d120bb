"""Scenario files in TOML: the fleet and the load of an experiment."""

from pathlib import Path

import msgspec

from parsleyrouter.process.options import InvalidSetting

__all__ = [
    "BatchLoad",
    "Burst",
    "EnginePool",
    "OnlineKind",
    "Scenario",
    "ServicePool",
    "load_scenario",
]


class EnginePool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Engines of one model; the times parametrize the stand-in engine."""

    model: str
    count: int
    slots: int = 8
    step_s: float = 0.018
    step_per_running_s: float = 0.001
    prompt_tokens_per_s: float = 8000.0


class ServicePool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Services of one application, which answer after ``time_s``."""

    application: str
    count: int
    slots: int = 4
    time_s: float = 0.05


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Additional arrivals during the last ``length_s`` of every ``every_s`` seconds."""

    every_s: float
    length_s: float
    rate_per_s: float


class OnlineKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Kind of online request; ``target`` is a model or an application."""

    name: str
    target: str
    rate_per_s: float
    weight: float = 1.0
    deadline_s: float = 10.0
    prompt_tokens: int = 200
    output_tokens: int = 24
    burst: Burst | None = None


class BatchLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Saturating batch load of several teams, given with their weights."""

    model: str
    teams: dict[str, float]
    open_per_slot: float = 1.5
    prompt_tokens: int = 300
    output_tokens: int = 48


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Deployment and its load; ``*_link_s`` are one-way delays in seconds.

    ``online_share`` is the weight of online work in the deployment's score; batch has the rest.
    """

    name: str
    domains: list[str]
    link_s: float
    caller_link_s: float
    profile: str
    online_share: float
    engines: EnginePool
    services: ServicePool
    online: list[OnlineKind]
    batch: BatchLoad


def load_scenario(path: Path) -> Scenario:
    """Read a scenario file; raise ``BadSetting`` if it is missing or malformed."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except (OSError, msgspec.MsgspecError) as error:
        raise InvalidSetting("scenario", str(path), f"a scenario file ({error})") from error
