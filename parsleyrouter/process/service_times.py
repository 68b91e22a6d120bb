"""Estimate how long a request occupies a slot, from its tokens and past requests."""

from dataclasses import dataclass, field

from parsleyrouter.ids import KindName
from parsleyrouter.process.slot_events import SlotRequest, SlotUsage

__all__ = ["ServiceTimes"]

EWMA_WEIGHT = 0.1
PREFILL_OVERHEAD_TOKENS = 64
"""Fixed part of the prefill time, expressed as prompt tokens."""

MIN_COST_S = 0.001


def _moving_average(old: float | None, new: float) -> float:
    return new if old is None else old + EWMA_WEIGHT * (new - old)


@dataclass
class ServiceTimes:
    """Moving averages of the prefill and decode times of one endpoint."""

    prefill_s_per_token: float | None = None
    decode_s_per_token: float | None = None
    by_kind_s: dict[KindName, float] = field(default_factory=dict)

    def record_use(self, request: SlotRequest, held_s: float, usage: SlotUsage) -> None:
        """Update the averages from one use of a slot; failed uses are ignored."""
        if not usage.ok:
            return
        if usage.ttft_s > 0 and usage.output_tokens > 0:
            prompt = request.prompt_tokens + PREFILL_OVERHEAD_TOKENS
            self.prefill_s_per_token = _moving_average(
                self.prefill_s_per_token, usage.ttft_s / prompt
            )
            decode = max(0.0, held_s - usage.ttft_s) / usage.output_tokens
            self.decode_s_per_token = _moving_average(self.decode_s_per_token, decode)
        self.by_kind_s[request.kind] = _moving_average(self.by_kind_s.get(request.kind), held_s)

    def estimate_s(self, request: SlotRequest) -> float:
        """Return the expected time in a slot; 0 while there are no observations."""
        if (
            request.output_tokens
            and self.prefill_s_per_token is not None
            and self.decode_s_per_token is not None
        ):
            prefill = self.prefill_s_per_token * (request.prompt_tokens + PREFILL_OVERHEAD_TOKENS)
            return prefill + self.decode_s_per_token * request.output_tokens
        return self.by_kind_s.get(request.kind, 0.0)

    def cost_s(self, request: SlotRequest) -> float:
        """Return the slot time charged to the team for fair sharing."""
        return max(MIN_COST_S, self.estimate_s(request))
