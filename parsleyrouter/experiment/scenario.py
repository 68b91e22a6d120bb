"""Scenario files: the fleet and the load of an experiment, in TOML."""

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
    """Model engines of one model; their times are those of the stand-in engine."""

    model: str
    count: int
    slots: int = 8
    step_s: float = 0.018
    step_per_running_s: float = 0.001
    prompt_tokens_per_s: float = 8000.0


class ServicePool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Plain services of one application, each answering after ``time_s``."""

    application: str
    count: int
    slots: int = 4
    time_s: float = 0.05


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """More arrivals for ``length_s`` out of every ``every_s`` seconds."""

    every_s: float
    length_s: float
    rate_per_s: float


class OnlineKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of online request; ``target`` is a model or an application."""

    name: str
    target: str
    rate_per_s: float
    weight: float = 1.0
    deadline_s: float = 10.0
    prompt_tokens: int = 200
    output_tokens: int = 24
    burst: Burst | None = None


class BatchLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Batch items that always wait, from several teams."""

    model: str
    teams: dict[str, float]
    open_per_slot: float = 1.5
    prompt_tokens: int = 300
    output_tokens: int = 48


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One deployment and its load; ``*_link_s`` are one-way delays in seconds.

    ``online_share`` is what online answers count in the deployment's score; batch counts the rest.
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
    """Read a scenario; raise ``BadSetting`` if it cannot be used."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except (OSError, msgspec.MsgspecError) as error:
        raise InvalidSetting("scenario", str(path), f"a scenario file ({error})") from error
