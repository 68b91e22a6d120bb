"""Know when no request can still run on a model that new requests no longer reach. Pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from parsleyrouter.ids import EndpointId, ModelName

__all__ = ["ModelDrainTracker"]


@dataclass
class _Draining:
    began_s: float
    remaining: set[str] = field(default_factory=set)


class ModelDrainTracker:
    """Watch the calls that were live when a model was withdrawn everywhere.

    Later calls are of other models. ``settle_s`` covers calls dispatched just before.
    """

    def __init__(self, settle_s: float) -> None:
        self.settle_s = settle_s
        self.draining: dict[tuple[EndpointId, ModelName], _Draining] = {}

    def observe(
        self,
        endpoint: EndpointId,
        withdrawn: Iterable[ModelName],
        live: Iterable[str] | None,
        now: float,
    ) -> set[ModelName]:
        """Take the calls live on an endpoint, ``None`` if unknown; return the idle models."""
        wanted = {(endpoint, model) for model in withdrawn}
        for key in [key for key in self.draining if key[0] == endpoint and key not in wanted]:
            del self.draining[key]
        if live is None:
            return set()
        calls = set(live)
        for key in wanted:
            draining = self.draining.setdefault(key, _Draining(now))
            if now - draining.began_s < self.settle_s:
                draining.remaining |= calls
            draining.remaining &= calls
        return {
            key[1]
            for key in wanted
            if not self.draining[key].remaining
            and now - self.draining[key].began_s >= self.settle_s
        }

    def reset_endpoint(self, endpoint: EndpointId) -> None:
        """Begin anew: the withdrawal is not in force everywhere."""
        for key in [key for key in self.draining if key[0] == endpoint]:
            del self.draining[key]
