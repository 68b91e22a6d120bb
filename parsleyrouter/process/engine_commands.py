"""Decide who may give orders to an engine, when, and which order is next. Pure.

An order is given under a fencing number that a compare and swap on the engine's record has raised.
An engine that ignores the number could still obey the former holder; its next holder waits until
the former one may no longer send and its longest order has ended, then reads the engine's state.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from parsleyrouter.ids import EndpointId, ModelName, Revision
from parsleyrouter.version.schema import EndpointSettings
from parsleyrouter.version.snapshot import SettingsSnapshot

__all__ = [
    "ClaimClock",
    "EngineState",
    "Order",
    "OrderKind",
    "OrderRecord",
    "OrderTimes",
    "Wanted",
    "may_send",
    "next_order",
    "orders_key",
    "wanted_of",
]

SEND_MARGIN_S = 1.0


@dataclass(frozen=True)
class OrderTimes:
    """How long a holder may send after its claim, and how long an order may take, in seconds."""

    hold_s: float = 10.0
    longest_order_s: float = 120.0
    settle_s: float = 5.0


class OrderRecord(msgspec.Struct, frozen=True):
    """Who may give the next order; ``released`` once the holder's orders are all answered."""

    fence: int
    holder: str
    released: bool
    nonce: str


class OrderKind(Enum):
    """Name the orders an engine takes."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclass(frozen=True)
class Order:
    """One order to an engine."""

    kind: OrderKind
    model: ModelName = ModelName("")
    version: str = ""
    role: str = ""

    def body(self, fence: int) -> dict[str, object]:
        """Return the JSON of the order."""
        if self.kind is OrderKind.ROLE:
            return {"role": self.role, "fence": fence}
        body: dict[str, object] = {"model": self.model, "fence": fence}
        return body | ({"version": self.version} if self.kind is OrderKind.LOAD else {})


@dataclass(frozen=True)
class EngineState:
    """What an engine says it has loaded."""

    models: Mapping[ModelName, str] = field(default_factory=dict)
    role: str = ""


@dataclass(frozen=True)
class Wanted:
    """What an engine is to have loaded."""

    models: Mapping[ModelName, str]
    role: str = ""


def orders_key(endpoint: EndpointId) -> str:
    """Return the key of an engine's order record."""
    return f"/parsley/orders/{endpoint}"


def wanted_of(endpoint: EndpointSettings, settings: SettingsSnapshot) -> Wanted:
    """Return what the settings ask of an engine; teams that differ get the higher version."""
    models = {}
    for name in endpoint.models:
        versions = [
            team.models[name].version for team in settings.teams.values() if name in team.models
        ]
        models[ModelName(name)] = max(versions, default="")
    return Wanted(models, endpoint.role)


def next_order(
    state: EngineState,
    wanted: Wanted,
    idle: Iterable[ModelName],
    demand: Mapping[ModelName, int] | None = None,
) -> Order | None:
    """Return the next order; a model is unloaded only when no request runs on it.

    Models are loaded in order of demand; an empty wanted version takes any that is loaded.
    """
    if wanted.role and wanted.role != state.role:
        return Order(OrderKind.ROLE, role=wanted.role)
    waiting = demand or {}
    for model in sorted(wanted.models, key=lambda name: (-waiting.get(name, 0), name)):
        version = wanted.models[model]
        loaded = state.models.get(model)
        if loaded is None or (version and version != loaded):
            return Order(OrderKind.LOAD, model, version or "1")
    free = set(idle) if wanted.models else set()
    for model in sorted(state.models):
        if model not in wanted.models and model in free:
            return Order(OrderKind.UNLOAD, model)
    return None


def may_send(claim_sent_s: float, now: float, times: OrderTimes) -> bool:
    """Tell whether a holder may still send: a pause since its claim may have cost it the hold."""
    return now < claim_sent_s + times.hold_s - SEND_MARGIN_S


class ClaimClock:
    """Watch order records by this process's own clock."""

    def __init__(self, times: OrderTimes) -> None:
        self.times = times
        self.seen: dict[EndpointId, tuple[Revision, float]] = {}

    def may_claim(
        self,
        endpoint: EndpointId,
        record: OrderRecord | None,
        revision: Revision,
        checks_fencing: bool,
        now: float,
    ) -> bool:
        """Tell whether the former holder can no longer give an order that would be obeyed."""
        seen = self.seen.get(endpoint)
        if seen is None or seen[0] != revision:
            self.seen[endpoint] = seen = (revision, now)
        if record is None or record.released:
            return True
        wait_s = self.times.hold_s
        if not checks_fencing:
            wait_s += self.times.longest_order_s
        return now - seen[1] >= wait_s
