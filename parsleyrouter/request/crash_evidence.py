"""Find the prompt parts and requests that crash endpoints, from what was in flight at each crash.

An endpoint that crashes takes all its requests with it, so one crash accuses many parts. A part is
held responsible after several crashes without a request that holds it and is answered in between.
Parts that always came together are held responsible together: only requests with all of them are
kept away. A request whose copies crash endpoints explains these crashes, so that they accuse no
part. Performs no I/O; times are monotonic seconds.
"""

import math
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field

from parsleyrouter.ids import PromptPart
from parsleyrouter.request.crash import Crash, CutRuns, PartGroup, Prompt
from parsleyrouter.request.fingerprint import is_fingerprint
from parsleyrouter.request.request_evidence import REQUEST_CRASHES, find_requests, is_request

__all__ = [
    "ANSWER_S",
    "MAX_CRASHES",
    "MAX_PARTS",
    "MAX_PROMPTS",
    "MAX_RUNS",
    "SETTLE_S",
    "CrashEvidence",
]

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
MAX_ANSWERED = 4096
"""Answered requests that are remembered, besides parts."""

SETTLE_S = 0.15
"""Age from which a crash counts: the nodes that saw it have reported what they had in flight."""

EVIDENCE_TTL_S = 600.0
MAX_CRASHES = 64
MAX_PROMPTS = 64
"""Prompts kept for each crash."""

MAX_RUNS = 64
"""Runs kept for each crash."""

MAX_PARTS = 17
"""Parts kept of each prompt, the last ones, with the fingerprint of the request."""


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
    answered: dict[PromptPart, None] = field(default_factory=dict)
    """Fingerprints of requests that have been answered, the latest last."""

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
            known = self.answered if is_fingerprint(part) else self.history
            known.pop(part, None)
            known[part] = None
        for known, limit in ((self.history, MAX_HISTORY), (self.answered, MAX_ANSWERED)):
            while len(known) > limit:
                del known[next(iter(known))]

    def was_answered(self, part: PromptPart) -> bool:
        """Return whether a part or request was answered before, as far as is remembered."""
        return part in self.history or part in self.answered

    def served_before(self, crash: Crash) -> set[PromptPart]:
        """Return the parts of a crash that were answered before."""
        return {part for part in crash.parts if self.was_answered(part)}

    def count_cuts(self, group: PartGroup, known: Iterable[PartGroup] = ()) -> CutRuns:
        """Return how many runs with a group's parts crashes have cut, and when.

        Crashes that a known request explains do not count for parts.
        """
        requests = [] if is_request(group) else list(filter(is_request, known))
        crashes = [
            one for one in self.crashes if one.holds(group) and not any(map(one.holds, requests))
        ]
        times_s = [one.at_s for one in crashes for _ in range(one.count_runs(group))]
        counted = times_s[CERTAIN_CRASHES - 1 :]
        if is_request(group):
            counted = [one.at_s for one in crashes[REQUEST_CRASHES - 1 :]]
        known_s = counted[0] + SPREAD_S if counted else math.inf
        late = sum(at_s > known_s for at_s in times_s)
        return CutRuns(len(times_s), late, max(times_s, default=-math.inf))

    def cleared_groups(self, known: Mapping[PartGroup, int]) -> list[PartGroup]:
        """Return the known groups of parts of which known requests explain every crash.

        They are given with the runs that crashes have cut: some of these may be forgotten here.
        """
        requests = list(filter(is_request, known))
        cleared = []
        for group, cut_runs in known.items():
            crashes = [] if is_request(group) else [one for one in self.crashes if one.holds(group)]
            complete = sum(crash.count_runs(group) for crash in crashes) >= max(1, cut_runs)
            if complete and all(_is_explained(crash, requests) for crash in crashes):
                cleared.append(group)
        return cleared

    def find_groups(self, now: float, known: Iterable[PartGroup] = ()) -> list[PartGroup]:
        """Return the groups of parts and requests to hold responsible, besides the known ones."""
        self._drop_expired(now)
        groups = list(known)
        found = find_requests(self._settled(now), self.served_s, self.answered, groups)
        groups += found
        while new := self._most_accused(groups, now):
            groups += new
            found += new
        return found

    def _most_accused(self, known: list[PartGroup], now: float) -> list[PartGroup]:
        everything = self._accusing_crashes([], now)
        beside_requests = self._accusing_crashes(list(filter(is_request, known)), now)
        unexplained = self._accusing_crashes(known, now)
        times = sorted({at_s for seen in unexplained.values() for at_s in seen})
        found: dict[PartGroup, int] = {}
        for part, every in everything.items():
            if part in self.history:
                # Copies of a request are a better reason than a part that is answered elsewhere.
                every = beside_requests.get(part, {})
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
        for moment_s, crash in self._settled(now):
            explaining = [group for group in known if crash.holds(group)]
            for part in crash.parts:
                explained = bool(explaining) and not any(part in one for one in explaining)
                if explained or is_fingerprint(part):
                    continue
                if crash.at_s >= self.served_s.get(part, crash.at_s):
                    accusing.setdefault(part, {}).setdefault(moment_s, []).append(crash)
        return accusing

    def _settled(self, now: float) -> list[tuple[float, Crash]]:
        """Return the crashes that all nodes have reported, with the moments that they belong to."""
        found, began_s = list[tuple[float, Crash]](), -math.inf
        for crash in self.crashes:
            if now - crash.at_s >= SETTLE_S:
                if crash.at_s - began_s > SAME_EVENT_S:
                    began_s = crash.at_s
                found.append((began_s, crash))
        return found

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
        prompts = [prompt for crash in crashes for prompt in crash.prompts_with(part)]
        shared = set(prompts[0]).intersection(*prompts[1:])
        first_s = min(crash.at_s for crash in crashes)
        shared = {one for one in shared if not is_fingerprint(one)}
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
    return any(map(crash.holds, groups))
