"""Plays a fleet in which copies of some requests crash endpoints, beside other causes."""

import math
from dataclasses import dataclass

from features.support.crash_play import CrashPlay, PlayedRequest
from parsleyrouter.ids import PromptPart
from parsleyrouter.request.crash import Prompt
from parsleyrouter.request.fingerprint import FINGERPRINT_MARK, is_fingerprint

KNOWN_REQUEST_CRASHES = 3
"""Crashes by a request after which it must be known within ``CONTACT_S``."""

REPEAT_AFTER_S = (0.0, 1.2)
REPEATED_SHARE = 0.7
"""Share of the cut requests that come again, from their client or by a second attempt."""

BURST_S = 0.3


@dataclass
class RequestPlay(CrashPlay):
    """Requests with fingerprints: all differ but for copies of deadly and of popular ones."""

    deadly_parts: int = 0
    deadly_requests: int = 1
    copies_share: float = 0.1
    """Share of all requests that are copies of each deadly one."""
    burst: int = 1
    """Copies that come together."""
    popular_share: float = 0.0
    """Share of the requests that are copies of a sound one."""
    item_share: float = 0.1
    """Share of the requests that are batch items, which have no fingerprint."""
    with_parts: bool = True
    mended_s: float = math.inf
    """When the deadly requests crash nothing any more."""
    wrong: int = 0
    """Sound requests that were held."""

    def _fingerprint(self, name: str) -> PromptPart:
        return PromptPart(FINGERPRINT_MARK + name)

    def _prompt(self) -> tuple[Prompt, Prompt]:
        shared, deadly = super()._prompt()
        if not self.with_parts:
            shared, deadly = (), ()
        share = self.random.random()
        if deadly:
            return (*shared, self._fingerprint(f"{next(self.names)}")), deadly
        if share < self.item_share:
            return shared, ()
        share -= self.item_share
        if share < self.popular_share:
            return (*shared[:1], self._fingerprint("popular")), ()
        share -= self.popular_share
        if share < self.copies_share * self.deadly_requests / self.burst:
            return self._copy()
        return (*shared, self._fingerprint(f"{next(self.names)}")), ()

    def _copy(self) -> tuple[Prompt, Prompt]:
        number = self.random.randrange(self.deadly_requests)
        name = self._fingerprint(f"deadly{number}")
        parts = (PromptPart("f0"), PromptPart(f"f0s{number}")) if self.with_parts else ()
        prompt = (*parts, name)
        deadly = (name,) if self.now < self.mended_s else ()
        for _ in range(self.burst - 1):
            copy = PlayedRequest(prompt, deadly, 0, self.now)
            self._schedule(self.now + self.random.uniform(0.0, BURST_S), "repeat", copy)
        return prompt, deadly

    def _note_lost(self, request: PlayedRequest, now: float) -> None:
        if self.random.random() < REPEATED_SHARE:
            again_s = now + self.random.uniform(*REPEAT_AFTER_S)
            self._schedule(again_s, "repeat", request)

    def _decide(self, now: float) -> None:
        before = set(self.quarantine.groups)
        super()._decide(now)
        for (name, *others) in map(sorted, self.quarantine.groups.keys() - before):
            self.wrong += not others and is_fingerprint(name) and name not in self.crashes_s

    def _counted_crashes(self, part: PromptPart) -> int:
        if part.startswith(FINGERPRINT_MARK):
            return KNOWN_REQUEST_CRASHES
        return super()._counted_crashes(part)
