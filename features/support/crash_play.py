"""Plays the load of a fleet in which some prompt parts crash endpoints, and others crash anyway."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from parsleyrouter.ids import EndpointId, PromptPart
from parsleyrouter.process.crash_monitor import RECENT_S
from parsleyrouter.request.crash import Crash, Prompt
from parsleyrouter.request.crash_evidence import (
    ANSWER_S,
    SETTLE_S,
    CrashEvidence,
)
from parsleyrouter.request.quarantine import ONLINE_DELAY_S, Quarantine, QuarantinedGroup

AWAY_S = 3.0
CONTACT_S = 3.0
KNOWN_CRASHES = 5
"""Crashes by a part after which it must be known within ``CONTACT_S``."""

CRASH_AFTER_S = (0.03, 0.11)
LENGTHS_S = (0.2, 1.0)


@dataclass(eq=False)
class PlayedRequest:
    prompt: Prompt
    deadly: Prompt
    endpoint: int
    began_s: float
    lost: bool = False


@dataclass
class CrashPlay:
    """Requests at endpoints; ``deadly`` parts crash, beside ``ordinary_per_s`` other crashes."""

    seed: int
    endpoints: int = 6
    rate_per_s: float = 20.0
    first_parts: int = 10
    deadly_parts: int = 1
    deadly_share: float = 0.05
    deadly_first: bool = False
    ordinary_per_s: float = 0.0
    rack: int = 1
    length_s: float = 40.0
    deadly_from_s: float = 0.0
    """Until then the parts are sound."""
    lengths_s: tuple[float, float] = LENGTHS_S
    evidence: CrashEvidence = field(default_factory=CrashEvidence)
    quarantine: Quarantine = field(default_factory=Quarantine)
    crashes_s: dict[PromptPart, list[float]] = field(default_factory=dict)
    sent_s: dict[PromptPart, list[float]] = field(default_factory=dict)
    sound: int = 0
    refused_sound: int = 0
    sound_at_end: int = 0
    refused_at_end: int = 0

    def run(self) -> "CrashPlay":
        self.random = Random(self.seed)
        self.names = count(1)
        self.up_s = [0.0] * self.endpoints
        self.running: list[set[PlayedRequest]] = [set() for _ in range(self.endpoints)]
        self.events: list[tuple[float, int, str, PlayedRequest | None]] = []
        self._schedule(0.0, "arrival")
        if self.ordinary_per_s:
            self._schedule(self.random.expovariate(self.ordinary_per_s), "ordinary")
        now = 0.0
        while self.events and now < self.length_s:
            now, _, kind, request = heappop(self.events)
            if kind == "repeat" and request is not None:
                self._arrive(now, request)
            elif kind == "arrival":
                self._arrive(now)
                self._schedule(now + self.random.expovariate(self.rate_per_s), "arrival")
            elif kind == "ordinary":
                for endpoint in self.random.sample(range(self.endpoints), self.rack):
                    self._crash(endpoint, now)
                self._schedule(now + self.random.expovariate(self.ordinary_per_s), "ordinary")
            elif kind == "decide":
                self._decide(now)
            elif request is not None and not request.lost:
                self._end(request, now, whole=kind == "end")
        return self

    def sent_late(self) -> dict[PromptPart, int]:
        """Count the requests with each deadly part that were sent long after its fifth crash."""
        known_s = {
            part: times[self._counted_crashes(part) - 1] + CONTACT_S
            for part, times in self.crashes_s.items()
            if len(times) >= self._counted_crashes(part)
        }
        return {part: sum(at_s > known_s[part] for at_s in self.sent_s[part]) for part in known_s}

    def _counted_crashes(self, part: PromptPart) -> int:
        """Return after how many crashes requests with a part count."""
        return KNOWN_CRASHES

    def _schedule(self, at_s: float, kind: str, request: PlayedRequest | None = None) -> None:
        heappush(self.events, (at_s, next(self.names), kind, request))

    def _prompt(self) -> tuple[Prompt, Prompt]:
        first = PromptPart(f"f{int(self.first_parts * self.random.random() ** 2)}")
        second = PromptPart(f"{first}s{self.random.randrange(20)}")
        if self.random.random() >= self.deadly_share * self.deadly_parts:
            return (first, second), ()
        deadly = PromptPart(f"d{self.random.randrange(self.deadly_parts)}")
        prompt = (deadly, first) if self.deadly_first else (first, second, deadly)
        return prompt, ((deadly,) if self.now >= self.deadly_from_s else ())

    def _arrive(self, now: float, repeated: PlayedRequest | None = None) -> None:
        self.now = now
        prompt, deadly = (repeated.prompt, repeated.deadly) if repeated else self._prompt()
        groups = self.quarantine.find(prompt)
        if groups and all(group.trial_due(now - ONLINE_DELAY_S) for group in groups):
            for group in groups:
                group.trials += 1
                group.late_trials = group.late_requests + group.late
                group.note_claim(now, None, own=True)
        refused = bool(groups) and not self.quarantine.take_trial(groups, now)
        if not deadly:
            self.sound += 1
            self.refused_sound += refused
            self.sound_at_end += now > self.length_s / 2
            self.refused_at_end += refused and now > self.length_s / 2
        up = [one for one in range(self.endpoints) if self.up_s[one] <= now]
        if refused or not up:
            return
        endpoint = min(up, key=lambda one: (len(self.running[one]), self.random.random()))
        request = PlayedRequest(prompt, deadly, endpoint, now)
        self.running[endpoint].add(request)
        for part in deadly:
            self.sent_s.setdefault(part, []).append(now)
        length_s = self.random.uniform(*(CRASH_AFTER_S if deadly else self.lengths_s))
        self._schedule(now + length_s, "end", request)
        if not deadly and length_s > RECENT_S:
            self._schedule(now + RECENT_S, "survived", request)

    def _end(self, request: PlayedRequest, now: float, *, whole: bool) -> None:
        for group in self.quarantine.find(request.prompt):
            group.end_trial(began=True)
        if request.deadly:
            for part in request.deadly:
                self.crashes_s.setdefault(part, []).append(now)
            self._crash(request.endpoint, now)
            return
        if whole:
            self.running[request.endpoint].discard(request)
        self.evidence.record_served(request.prompt, request.began_s)
        self.quarantine.release_served(request.prompt, request.began_s)

    def _crash(self, endpoint: int, now: float) -> None:
        if self.up_s[endpoint] > now:
            return
        self.up_s[endpoint] = now + AWAY_S
        cut, self.running[endpoint] = self.running[endpoint], set()
        for request in sorted(cut, key=lambda one: one.began_s):
            request.lost = True
            self._note_lost(request, now)
        name = EndpointId(f"e{endpoint}-{next(self.names)}")
        self.evidence.record_crash(
            Crash(name, now, {one.prompt for one in cut if now - one.began_s <= RECENT_S})
        )
        for group in self.quarantine.groups.values():
            self._note_crashes(group)
        for delay_s in (SETTLE_S, SETTLE_S + ANSWER_S):
            self._schedule(now + delay_s + 0.01, "decide")

    def _note_lost(self, request: PlayedRequest, now: float) -> None:
        """Note a request that a crash has cut."""

    def _note_crashes(self, group: QuarantinedGroup) -> None:
        cuts = self.evidence.count_cuts(group.parts)
        if cuts.count:
            group.note_crashes(cuts)

    def _decide(self, now: float) -> None:
        for group in self.evidence.find_groups(now, self.quarantine.groups):
            doubtful = all(part in self.evidence.history for part in group)
            if self.quarantine.add(group, now, doubtful=doubtful) is not None:
                self._note_crashes(self.quarantine.groups[group])
        cut_runs = {parts: one.cut_runs for parts, one in self.quarantine.groups.items()}
        for group in self.evidence.cleared_groups(cut_runs):
            del self.quarantine.groups[group]
