"""Find the prompt parts that crash endpoints, from what was in flight at each crash.

An endpoint that crashes takes all its requests with it, so one crash accuses many parts. A part is
held responsible after several crashes without a request that holds it and is answered in between.
Parts that always came together are held responsible together: only requests with all of them are
kept away. Performs no I/O; times are monotonic seconds.
"""

import math
from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from parsleyrouter.ids import EndpointId, PromptPart, RunId

__all__ = [
    "ANSWER_S",
    "MAX_CRASHES",
    "MAX_PARTS",
    "MAX_PROMPTS",
    "MAX_RUNS",
    "SETTLE_S",
    "Crash",
    "CrashEvidence",
    "CutRuns",
    "PartGroup",
    "Prompt",
]

Prompt = tuple[PromptPart, ...]
"""The parts of a request's prompt that other requests may share."""

PartGroup = frozenset[PromptPart]

MIN_CRASHES = 3
"""Crashes after which a part is held responsible if no other part explains them as well."""

ANSWER_S = 0.5
"""Time from the first of these crashes in which requests with a sound part may be answered."""

MIN_EXPLAINED_SHARE = 1 / 3
"""Share of the crashes since it was first accused that a part must explain: a rare part may be in
flight at some of many ordinary crashes."""

CERTAIN_CRASHES = 5
"""Crashes after which all parts are held responsible that explain them equally well, also parts of
which requests had ended whole before."""

SPREAD_S = 3.0
"""Time after which every node knows what a crash has made certain."""

SAME_EVENT_S = 0.1
"""Crashes within this time have one cause, such as a rack, and count once."""

SAME_CRASH_S = 1.0
"""Time within which nodes report the same crash of an endpoint whose start is not known."""

MAX_HISTORY = 4096
SETTLE_S = 0.15
"""Age from which a crash counts: the nodes that saw it have reported what they had in flight."""

EVIDENCE_TTL_S = 600.0
MAX_CRASHES = 64
MAX_PROMPTS = 32
"""Prompts kept for each crash."""

MAX_RUNS = 64
"""Runs kept for each crash."""

MAX_PARTS = 16
"""Parts kept of each prompt, the last ones."""


@dataclass
class Crash:
    """One crash of an endpoint and the prompts that may have caused it.

    ``started_ms`` tells the starts of an endpoint apart; 0 if it is not known. ``runs`` are those
    that it cut, as far as they are known one by one.
    """

    endpoint: EndpointId
    at_s: float
    prompts: set[Prompt] = field(default_factory=set)
    started_ms: int = 0
    runs: dict[RunId, Prompt] = field(default_factory=dict)

    def count_runs(self, group: PartGroup) -> int:
        """Return how many runs with all parts of a group it cut, 1 if that is not known."""
        runs = sum(group.issubset(prompt) for prompt in self.runs.values())
        return runs or int(any(group.issubset(prompt) for prompt in self.prompts))

    @property
    def parts(self) -> set[PromptPart]:
        """Return the parts of all prompts."""
        return {part for prompt in self.prompts for part in prompt}


@dataclass(frozen=True)
class CutRuns:
    """Runs with a group's parts that crashes have cut; ``late`` ones by when it was certain."""

    count: int
    late: int
    latest_s: float


@dataclass
class CrashEvidence:
    """Crashes and the latest time at which each part in them was served."""

    crashes: list[Crash] = field(default_factory=list)
    accused_s: dict[PromptPart, float] = field(default_factory=dict)
    """The latest crash of each part in them."""
    served_s: dict[PromptPart, float] = field(default_factory=dict)
    """When the latest answer with the part began that did not crash its endpoint; only for parts of
    recorded crashes."""
    history: dict[PromptPart, None] = field(default_factory=dict)
    """Parts that have been answered, the latest last."""

    def record_crash(self, crash: Crash) -> bool:
        """Add a crash, or what another node knows about it; return whether anything is new."""
        known = next((one for one in self.crashes if _is_same(one, crash)), None)
        new = known is None
        if known is None:
            known = Crash(crash.endpoint, crash.at_s, started_ms=crash.started_ms)
            self.crashes.append(known)
            self.crashes.sort(key=lambda one: one.at_s)
            del self.crashes[:-MAX_CRASHES]
        for prompt in {one[-MAX_PARTS:] for one in crash.prompts} - known.prompts:
            if len(known.prompts) < MAX_PROMPTS:
                new = True
                known.prompts.add(prompt)
                for part in prompt:
                    self.accused_s[part] = max(self.accused_s.get(part, known.at_s), known.at_s)
        for run in crash.runs.keys() - known.runs.keys():
            if len(known.runs) < MAX_RUNS:
                new = True
                known.runs[run] = crash.runs[run][-MAX_PARTS:]
        return new

    def record_served(self, prompt: Prompt, began_s: float) -> bool:
        """Note an answer that did not crash its endpoint; return whether the evidence changes."""
        prompt = prompt[-MAX_PARTS:]
        accused = [
            part
            for part in prompt
            if part in self.accused_s
            and self.served_s.get(part, -math.inf) <= self.accused_s[part] < began_s
        ]
        self.served_s |= dict.fromkeys(accused, began_s)
        self.record_served_before(prompt)
        return bool(accused)

    def record_served_before(self, parts: Iterable[PromptPart]) -> None:
        """Note parts that have been answered at some time, here or at another node."""
        for part in parts:
            self.history.pop(part, None)
            self.history[part] = None
        while len(self.history) > MAX_HISTORY:
            del self.history[next(iter(self.history))]

    def served_before(self, crash: Crash) -> set[PromptPart]:
        """Return the parts of a crash that were answered before."""
        return {part for part in crash.parts if part in self.history}

    def count_cuts(self, group: PartGroup) -> "CutRuns":
        """Return how many runs with a group's parts crashes have cut, and when."""
        times_s = [crash.at_s for crash in self.crashes for _ in range(crash.count_runs(group))]
        if len(times_s) < CERTAIN_CRASHES:
            return CutRuns(len(times_s), 0, max(times_s, default=-math.inf))
        known_s = times_s[CERTAIN_CRASHES - 1] + SPREAD_S
        return CutRuns(len(times_s), sum(at_s > known_s for at_s in times_s), times_s[-1])

    def find_groups(self, now: float, known: Iterable[PartGroup] = ()) -> list[PartGroup]:
        """Return the groups of parts to hold responsible, besides the known ones."""
        self._drop_expired(now)
        groups = list(known)
        found: list[PartGroup] = []
        while new := self._most_accused(groups, now):
            groups += new
            found += new
        return found

    def _most_accused(self, known: list[PartGroup], now: float) -> list[PartGroup]:
        everything = self._accusing_crashes([], now)
        unexplained = self._accusing_crashes(known, now)
        times = sorted({at_s for seen in unexplained.values() for at_s in seen})
        found: dict[PartGroup, int] = {}
        for part, every in everything.items():
            certain = len(every) >= CERTAIN_CRASHES
            seen = every if certain else unexplained.get(part, {})
            crashes = [crash for crashes in seen.values() for crash in crashes]
            explained = not certain and all(_is_explained(crash, known) for crash in crashes)
            if explained or not self._is_likely(part, seen.keys(), times, now):
                continue
            group = self._group_of(part, crashes)
            if not any(one <= group for one in known):
                found[group] = max(len(seen), found.get(group, 0))
        # What was answered before is blamed only if nothing else can be.
        new = {group: count for group, count in found.items() if group.isdisjoint(self.history)}
        found = new or found
        most = max(found.values(), default=0)
        groups = [group for group, count in found.items() if count == most]
        specific = [one for one in groups if not any(one < other for other in groups)]
        return specific if len(specific) == 1 or most >= CERTAIN_CRASHES else []

    def _accusing_crashes(
        self, known: list[PartGroup], now: float
    ) -> dict[PromptPart, dict[float, list[Crash]]]:
        """Return the crashes that accuse each part by time; those within a short time are one.

        A crash that a known group explains accuses the parts of that group only.
        """
        accusing: dict[PromptPart, dict[float, list[Crash]]] = {}
        began_s = -math.inf
        for crash in self.crashes:
            if now - crash.at_s < SETTLE_S:
                continue
            explaining = [
                group for group in known if any(group.issubset(one) for one in crash.prompts)
            ]
            if crash.at_s - began_s > SAME_EVENT_S:
                began_s = crash.at_s
            for part in crash.parts:
                explained = bool(explaining) and not any(part in one for one in explaining)
                if not explained and crash.at_s >= self.served_s.get(part, crash.at_s):
                    accusing.setdefault(part, {}).setdefault(began_s, []).append(crash)
        return accusing

    def _is_likely(
        self, part: PromptPart, seen: Set[float], times: list[float], now: float
    ) -> bool:
        """Return whether a part explains enough of the crashes since it was first accused."""
        answerable = now - min(seen) >= ANSWER_S
        if len(seen) >= CERTAIN_CRASHES:
            return answerable or part not in self.history
        if len(seen) < MIN_CRASHES or not answerable or part in self.history:
            return False
        return len(seen) >= MIN_EXPLAINED_SHARE * sum(one >= min(seen) for one in times)

    def _group_of(self, part: PromptPart, crashes: list[Crash]) -> PartGroup:
        """Return the part and those that came with it each time and may be the cause as well.

        Beside a part that was never answered, one that was answered before is not the cause.
        """
        prompts = [prompt for crash in crashes for prompt in crash.prompts if part in prompt]
        shared = set(prompts[0]).intersection(*prompts[1:])
        first_s = min(crash.at_s for crash in crashes)
        suspected = {one for one in shared if self.served_s.get(one, first_s) <= first_s} | {part}
        if part not in self.history:
            suspected -= self.history.keys()
        return frozenset(suspected)

    def _drop_expired(self, now: float) -> None:
        self.crashes = [one for one in self.crashes if one.at_s > now - EVIDENCE_TTL_S]
        parts = set[PromptPart]().union(*(one.parts for one in self.crashes))
        self.accused_s = {part: at_s for part, at_s in self.accused_s.items() if part in parts}
        self.served_s = {part: at_s for part, at_s in self.served_s.items() if part in parts}


def _is_same(known: Crash, other: Crash) -> bool:
    if known.endpoint != other.endpoint or known.started_ms != other.started_ms:
        return False
    return bool(known.started_ms) or abs(known.at_s - other.at_s) < SAME_CRASH_S


def _is_explained(crash: Crash, groups: list[PartGroup]) -> bool:
    return any(group.issubset(prompt) for group in groups for prompt in crash.prompts)
