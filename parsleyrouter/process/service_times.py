"""Estimate how long a request occupies a slot, from its tokens and past uses."""

from dataclasses import dataclass, field

from parsleyrouter.ids import KindName
from parsleyrouter.process.slot_events import SlotAsk, Usage

__all__ = ["ServiceTimes"]

SMOOTHING = 0.1
PROMPT_FLOOR_TOKENS = 64
MIN_COST_S = 0.001


def _blend(old: float | None, new: float) -> float:
    return new if old is None else old + SMOOTHING * (new - old)


@dataclass
class ServiceTimes:
    """Keep moving averages of prefill and decode times of one endpoint."""

    prefill_s: float | None = None
    decode_s: float | None = None
    by_kind_s: dict[KindName, float] = field(default_factory=dict)

    def learn(self, ask: SlotAsk, held_s: float, usage: Usage) -> None:
        """Take in one whole use of a slot."""
        if not usage.ok:
            return
        if usage.ttft_s > 0 and usage.output_tokens > 0:
            prompt = ask.prompt_tokens + PROMPT_FLOOR_TOKENS
            self.prefill_s = _blend(self.prefill_s, usage.ttft_s / prompt)
            decode = max(0.0, held_s - usage.ttft_s) / usage.output_tokens
            self.decode_s = _blend(self.decode_s, decode)
        self.by_kind_s[ask.kind] = _blend(self.by_kind_s.get(ask.kind), held_s)

    def estimate_s(self, ask: SlotAsk) -> float:
        """Return the expected time in a slot; zero while nothing is known."""
        if ask.output_tokens and self.prefill_s is not None and self.decode_s is not None:
            prefill = self.prefill_s * (ask.prompt_tokens + PROMPT_FLOOR_TOKENS)
            return prefill + self.decode_s * ask.output_tokens
        return self.by_kind_s.get(ask.kind, 0.0)

    def cost_s(self, ask: SlotAsk) -> float:
        """Return what a use counts for in fairness between teams."""
        return max(MIN_COST_S, self.estimate_s(ask))
