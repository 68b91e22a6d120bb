"""Detect when no request runs any longer on a model that is withdrawn; performs no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from parsleyrouter.ids import EndpointId, ModelName

__all__ = ["ModelDrainTracker"]


@dataclass
class _ModelDrain:
    started_s: float
    remaining: set[str] = field(default_factory=set)


class ModelDrainTracker:
    """Track the calls that were live when a model was withdrawn everywhere.

    Calls that start later use other models. ``settle_s`` covers calls dispatched just before.
    """

    def __init__(self, settle_s: float) -> None:
        self.settle_s = settle_s
        self.draining: dict[tuple[EndpointId, ModelName], _ModelDrain] = {}

    def observe(
        self,
        endpoint: EndpointId,
        withdrawn: Iterable[ModelName],
        live: Iterable[str] | None,
        now: float,
    ) -> set[ModelName]:
        """Update with the live calls of an endpoint, ``None`` if unknown; return drained models."""
        keys = {(endpoint, model) for model in withdrawn}
        for key in [key for key in self.draining if key[0] == endpoint and key not in keys]:
            del self.draining[key]
        if live is None:
            return set()
        calls = set(live)
        for key in keys:
            drain = self.draining.setdefault(key, _ModelDrain(now))
            if now - drain.started_s < self.settle_s:
                drain.remaining |= calls
            drain.remaining &= calls
        return {
            key[1]
            for key in keys
            if not self.draining[key].remaining
            and now - self.draining[key].started_s >= self.settle_s
        }

    def reset_endpoint(self, endpoint: EndpointId) -> None:
        """Restart the drains of an endpoint because a withdrawal is not active everywhere."""
        for key in [key for key in self.draining if key[0] == endpoint]:
            del self.draining[key]
