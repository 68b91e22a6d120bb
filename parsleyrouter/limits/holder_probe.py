"""Ask holders that are neither registered nor heard of whether they still answer.

Load: the store turns a third of the nodes away. Their registrations lapse and the others no longer
get their load reports, while they hold shares and grant from them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from parsleyrouter.ids import Address, CustomerName, ShareId
from parsleyrouter.limits.permit_calls import PermitCalls
from parsleyrouter.process.loop import Loop

__all__ = ["HolderProbe"]

PROBE_INTERVAL_S = 1.0

ANSWER_VALID_S = 2.5
"""Time for which an answer counts, so that one lost datagram does not."""

NO_CUSTOMER = CustomerName("")
"""Nobody has this name, so that the ask takes no permit."""


@dataclass
class HolderProbe:
    """When holders were asked and when they answered, by address."""

    loop: Loop
    calls: PermitCalls
    clock: Callable[[], float]
    asked_s: dict[Address, float] = field(default_factory=dict)
    answered_s: dict[Address, float] = field(default_factory=dict)

    def answers(self, address: Address) -> bool:
        """Return whether the process at an address has answered lately, and ask it again."""
        now = self.clock()
        self._forget_old(now)
        if address not in self.asked_s or now - self.asked_s[address] >= PROBE_INTERVAL_S:
            self.asked_s[address] = now
            self.loop.spawn(self._ask(address), "probe a holder")
        return now - self.answered_s.get(address, -ANSWER_VALID_S) < ANSWER_VALID_S

    async def _ask(self, address: Address) -> None:
        answer = await self.calls.ask(
            address, ShareId(0), NO_CUSTOMER, returning=False, longest_s=-1.0
        )
        if answer is not None:
            self.answered_s[address] = self.clock()

    def _forget_old(self, now: float) -> None:
        for times in (self.asked_s, self.answered_s):
            for address in [one for one, at_s in times.items() if now - at_s > ANSWER_VALID_S]:
                del times[address]
