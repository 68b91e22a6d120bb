"""Find the prompt parts that crash endpoints, from what was in flight at each crash.

An endpoint that crashes takes all its requests with it, so one crash accuses many parts. A part is
held responsible after several crashes without a request that holds it and ends whole in between.
Parts that always came together are held responsible together: only requests with all of them are
kept away. Performs no I/O; times are monotonic seconds.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from parsleyrouter.ids import EndpointId, PromptPart

__all__ = ["MAX_PARTS", "MAX_PROMPTS", "Crash", "CrashEvidence", "PartGroup", "Prompt"]

Prompt = tuple[PromptPart, ...]
"""The parts of a request's prompt that other requests may share."""

PartGroup = frozenset[PromptPart]

MIN_CRASHES = 3
"""Crashes after which a part is held responsible if no other part explains them as well."""

MIN_SPAN_S = 0.5
"""Time over which these crashes must be spread, so that sound requests had time to end whole."""

MIN_EXPLAINED_SHARE = 0.5
"""Share of the crashes since it was first accused that a part must explain: a rare part may be in
flight at some of many ordinary crashes."""

CERTAIN_CRASHES = 5
"""Crashes after which all parts are held responsible that explain them equally well, also parts of
which requests had ended whole before."""

SAME_EVENT_S = 0.1
"""Crashes within this time have one cause, such as a rack, and count once."""

SAME_CRASH_S = 1.0
"""Time within which nodes report the same crash of an endpoint; a restart takes longer."""

MAX_HISTORY = 4096
EVIDENCE_TTL_S = 600.0
MAX_CRASHES = 128
MAX_PROMPTS = 64
"""Prompts kept for each crash."""

MAX_PARTS = 16
"""Parts kept of each prompt."""


@dataclass
class Crash:
    """One crash of an endpoint and the prompts that may have caused it."""

    endpoint: EndpointId
    at_s: float
    prompts: set[Prompt] = field(default_factory=set)


@dataclass
class CrashEvidence:
    """Crashes and the latest time at which each part in them was served."""

    crashes: list[Crash] = field(default_factory=list)
    accused_s: dict[PromptPart, float] = field(default_factory=dict)
    """The latest crash of each part in them."""
    served_s: dict[PromptPart, float] = field(default_factory=dict)
    """When a request with the part last ended whole; only for parts of recorded crashes."""
    history: dict[PromptPart, float] = field(default_factory=dict)
    """When a request with each part last ended whole, the latest last."""

    def record_crash(self, crash: Crash) -> None:
        """Add a crash, or what another node knows about a recorded one."""
        known = next((one for one in self.crashes if _is_same(one, crash)), None)
        if known is None:
            known = Crash(crash.endpoint, crash.at_s)
            self.crashes.append(known)
            self.crashes.sort(key=lambda one: one.at_s)
            del self.crashes[:-MAX_CRASHES]
        for prompt in crash.prompts:
            if len(known.prompts) < MAX_PROMPTS:
                known.prompts.add(prompt[:MAX_PARTS])
                for part in prompt[:MAX_PARTS]:
                    self.accused_s[part] = max(self.accused_s.get(part, known.at_s), known.at_s)

    def record_served(self, prompt: Prompt, at_s: float) -> bool:
        """Note that a request ended whole; return whether that changes the evidence."""
        for part in prompt[:MAX_PARTS]:
            self.history[part] = max(at_s, self.history.pop(part, at_s))
        while len(self.history) > MAX_HISTORY:
            del self.history[next(iter(self.history))]
        accused = [
            part
            for part in prompt
            if part in self.accused_s
            and self.served_s.get(part, -math.inf) <= self.accused_s[part] < at_s
        ]
        self.served_s |= dict.fromkeys(accused, at_s)
        return bool(accused)

    def served_before(self, crash: Crash) -> set[PromptPart]:
        """Return the parts of a crash of which requests had ended whole before."""
        parts = {part for prompt in crash.prompts for part in prompt}
        return {part for part in parts if self.history.get(part, crash.at_s) < crash.at_s}

    def find_groups(self, now: float, known: Iterable[PartGroup] = ()) -> list[PartGroup]:
        """Return the groups of parts to hold responsible, besides the known ones."""
        self._drop_expired(now)
        groups = list(known)
        found: list[PartGroup] = []
        while True:
            unexplained = [one for one in self.crashes if not _is_explained(one, groups)]
            new = self._most_accused(unexplained)
            if not new:
                return found
            groups += new
            found += new

    def _most_accused(self, crashes: list[Crash]) -> list[PartGroup]:
        events = self._events_by_part(crashes)
        times = sorted(set[float]().union(*events.values()))
        events = {part: seen for part, seen in events.items() if self._is_likely(part, seen, times)}
        most = max((len(one) for one in events.values()), default=0)
        if not most:
            return []
        groups = {
            self._group_of(part, crashes) for part, seen in events.items() if len(seen) == most
        }
        specific = [one for one in groups if not any(one < other for other in groups)]
        return specific if len(specific) == 1 or most >= CERTAIN_CRASHES else []

    def _events_by_part(self, crashes: list[Crash]) -> dict[PromptPart, set[float]]:
        """Return the times of the crashes of each part, those within a short time as one."""
        events: dict[PromptPart, set[float]] = {}
        began_s = -math.inf
        for crash in crashes:
            if crash.at_s - began_s > SAME_EVENT_S:
                began_s = crash.at_s
            for part in {part for prompt in crash.prompts for part in prompt}:
                if self._is_accused(part, crash):
                    events.setdefault(part, set()).add(began_s)
        return events

    def _is_likely(self, part: PromptPart, seen: set[float], times: list[float]) -> bool:
        """Return whether a part explains enough of the crashes since it was first accused."""
        if len(seen) >= CERTAIN_CRASHES:
            return True
        if len(seen) < MIN_CRASHES or max(seen) - min(seen) < MIN_SPAN_S or part in self.history:
            return False
        return len(seen) >= MIN_EXPLAINED_SHARE * sum(one >= min(seen) for one in times)

    def _group_of(self, part: PromptPart, crashes: list[Crash]) -> PartGroup:
        """Return the part and those that came with it each time and were not served since."""
        accusing = [one for one in crashes if self._is_accused(part, one)]
        prompts = [prompt for crash in accusing for prompt in crash.prompts if part in prompt]
        shared = set(prompts[0]).intersection(*prompts[1:])
        first_s = min(crash.at_s for crash in accusing)
        return frozenset(
            one for one in shared if one == part or self.served_s.get(one, first_s) <= first_s
        )

    def _is_accused(self, part: PromptPart, crash: Crash) -> bool:
        return crash.at_s >= self.served_s.get(part, crash.at_s) and any(
            part in prompt for prompt in crash.prompts
        )

    def _drop_expired(self, now: float) -> None:
        self.crashes = [one for one in self.crashes if one.at_s > now - EVIDENCE_TTL_S]
        parts = {part for one in self.crashes for prompt in one.prompts for part in prompt}
        self.accused_s = {part: at_s for part, at_s in self.accused_s.items() if part in parts}
        self.served_s = {part: at_s for part, at_s in self.served_s.items() if part in parts}


def _is_same(known: Crash, other: Crash) -> bool:
    return known.endpoint == other.endpoint and abs(known.at_s - other.at_s) < SAME_CRASH_S


def _is_explained(crash: Crash, groups: Iterable[PartGroup]) -> bool:
    return any(group.issubset(prompt) for group in groups for prompt in crash.prompts)
