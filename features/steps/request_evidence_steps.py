"""Steps for finding the requests whose copies crash endpoints."""

import time
from typing import Any

from behave import then, when

from features.support.request_play import RequestPlay
from parsleyrouter.ids import EndpointId, PromptPart, RunId
from parsleyrouter.platform.headers import shared_parts
from parsleyrouter.process.load_codec import decode, encode_crashes, split_crash
from parsleyrouter.request.crash import Crash, CutRuns, Prompt
from parsleyrouter.request.crash_evidence import (
    MAX_ANSWERED,
    MAX_CRASHES,
    MAX_HISTORY,
    MAX_PARTS,
    MAX_PROMPTS,
    MAX_RUNS,
    SPREAD_S,
    CrashEvidence,
)
from parsleyrouter.request.fingerprint import FINGERPRINT_MARK, fingerprint_of, is_fingerprint
from parsleyrouter.request.quarantine import (
    MAX_GROUPS,
    REQUEST_HOLD_S,
    REQUEST_PAUSES_S,
    Quarantine,
)
from parsleyrouter.request.request_evidence import REQUEST_CRASHES

REQUEST = PromptPart(FINGERPRINT_MARK + "deadly")
GROUP = frozenset((REQUEST,))
DAY_S = 86_400
MENDED_S = 20.0
FLOOD_CRASHES = 400
MAX_DECISION_S = 0.1
MAX_DATAGRAM_BYTES = 30_000


def _prompt(*parts: str) -> Prompt:
    return tuple(PromptPart(part) for part in parts)


def _other(number: int, *parts: str) -> Prompt:
    return (*_prompt(*parts), PromptPart(f"{FINGERPRINT_MARK}{number}"))


def _crash(number: int, at_s: float, *prompts: Prompt) -> Crash:
    return Crash(EndpointId(f"e{number}"), at_s, set(prompts))


@when("three endpoints that run copies of a request crash within a tenth of a second")
def step_same_moment(context: Any) -> None:
    evidence = CrashEvidence()
    for number in range(REQUEST_CRASHES):
        copy = (*_prompt("team", "second"), REQUEST)
        evidence.record_crash(_crash(number, 1.0 + number * 0.03, copy, _other(number, "team")))
    context.found = evidence.find_groups(1.5)


@then("the request is held responsible, and none of its prompt parts")
def step_request_found(context: Any) -> None:
    assert context.found == [GROUP], context.found


@when("a sound part is in quarantine for crashes that a request turns out to explain")
def step_explained_part(context: Any) -> None:
    context.evidence = evidence = CrashEvidence()
    evidence.record_served_before(_prompt("team"))
    part = frozenset(_prompt("team"))
    context.cleared = []
    for number in range(8):
        evidence.record_crash(_crash(number, 1.0 + number, (*_prompt("team"), REQUEST)))
        known = [part] if number < REQUEST_CRASHES - 1 else [part, GROUP]
        context.cleared.append(evidence.cleared_groups(known))
    context.found = evidence.find_groups(20.0, [GROUP])


@then("the part is released, and further crashes by the request accuse no part")
def step_part_released(context: Any) -> None:
    part = frozenset(_prompt("team"))
    assert context.cleared == [[], []] + [[part]] * 6, context.cleared
    assert context.found == [], context.found


@when("endpoints that run a request which was answered before crash at the same moment")
def step_rack(context: Any) -> None:
    evidence = CrashEvidence()
    evidence.record_served((REQUEST,), 0.5)
    for moment in range(2):
        for number in range(6):
            at_s = 1.0 + moment + number * 0.01
            evidence.record_crash(_crash(10 * moment + number, at_s, (REQUEST,)))
    context.found = evidence.find_groups(3.0)


@then("no request is held responsible")
def step_none_found(context: Any) -> None:
    assert context.found == [], context.found


@when("racks of endpoints crash again and again while many send the same sound request")
def step_popular(context: Any) -> None:
    context.plays = [
        RequestPlay(
            seed,
            endpoints=8,
            rate_per_s=rate_per_s,
            copies_share=0.0,
            popular_share=popular_share,
            ordinary_per_s=0.3,
            rack=rack,
        ).run()
        for seed in range(10)
        for rate_per_s in (8.0, 30.0)
        for rack in (1, 4)
        for popular_share in (0.05, 0.4)
    ]


@then("fewer than one in a thousand sound requests is refused")
def step_hardly_refused(context: Any) -> None:
    refused = sum(one.refused_sound for one in context.plays)
    assert refused < sum(one.sound for one in context.plays) / 1000, refused


@when("copies of a request in quarantine come for a day")
def step_day(context: Any) -> None:
    context.quarantine = quarantine = Quarantine()
    quarantine.add(GROUP, 0.0)
    (group,) = quarantine.find((REQUEST,))
    group.note_crashes(CutRuns(REQUEST_CRASHES, 0, 0.0))
    context.trials_s = []
    for now in map(float, range(0, DAY_S, 10)):
        group.requested_s = now
        if group.trial_due(now):
            group.trials, group.late_trials = group.trials + 1, group.late_requests + 1
            group.note_claim(now, None, own=True)
        if quarantine.take_trial([group], now):
            context.trials_s.append(now)
            assert group.end_trial(began=True)
            late = len(context.trials_s)
            group.note_crashes(CutRuns(REQUEST_CRASHES + late, late, now))


@then("it is tried three times, at growing intervals, and stays in quarantine for a day more")
def step_three_trials(context: Any) -> None:
    assert context.trials_s == [30.0, 150.0, 790.0], context.trials_s
    assert not context.quarantine.release_expired(DAY_S - 10 + REQUEST_HOLD_S)
    assert context.quarantine.release_expired(DAY_S + REQUEST_HOLD_S)


@when("requests crash endpoints for 20 s in fleets of many sizes")
def step_mended(context: Any) -> None:
    context.plays = [
        RequestPlay(
            seed,
            endpoints=endpoints,
            rate_per_s=4.0 * endpoints,
            deadly_requests=requests,
            copies_share=0.05,
            burst=burst,
            with_parts=bool(seed % 2),
            mended_s=MENDED_S,
            length_s=MENDED_S + REQUEST_PAUSES_S[0] + 10.0,
        ).run()
        for seed in range(8)
        for endpoints in (5, 12, 30)
        for requests in (1, 3)
        for burst in (1, 3)
    ]


@then("none crashes more endpoints than it had before its quarantine, and no sound one is held")
def step_no_trial_crash(context: Any) -> None:
    for play in context.plays:
        assert not play.wrong, (play.seed, play.endpoints, play.wrong)
        for name, times_s in play.crashes_s.items():
            last_s = times_s[min(len(times_s), REQUEST_CRASHES) - 1] + SPREAD_S
            assert times_s[-1] <= last_s, (play.seed, name, times_s)


@then("all copies are answered again half a minute after")
def step_answered_again(context: Any) -> None:
    held = [(one.seed, list(one.quarantine.groups)) for one in context.plays]
    assert not any(groups for _, groups in held), held


@when("crashes with many distinct requests are reported while distinct requests are answered")
def step_flood(context: Any) -> None:
    context.evidence, context.quarantine = CrashEvidence(), Quarantine()
    context.took_s = []
    for number in range(FLOOD_CRASHES):
        at_s = number * 0.2
        cut = {_other(number * 100 + row, "team", f"p{row}") for row in range(100)}
        repeated = (*_prompt("team"), PromptPart(f"{FINGERPRINT_MARK}r{number // 5}"))
        context.evidence.record_crash(_crash(number, at_s, repeated, *cut))
        for answered in range(50):
            served = _other(10**6 + number * 50 + answered, "team", f"q{answered}")
            context.evidence.record_served(served, at_s)
        began_s = time.process_time()
        groups = context.evidence.find_groups(at_s + 0.2, context.quarantine.groups)
        cleared = context.evidence.cleared_groups(context.quarantine.groups)
        context.took_s.append(time.process_time() - began_s)
        for group in groups:
            context.quarantine.add(group, at_s)
        for group in cleared:
            del context.quarantine.groups[group]


@then("the evidence stays within its limits, and a decision takes less than 0.1 s")
def step_bounded(context: Any) -> None:
    evidence = context.evidence
    assert len(evidence.crashes) <= MAX_CRASHES
    assert all(len(one.prompts) <= MAX_PROMPTS for one in evidence.crashes)
    assert len(evidence.answered) <= MAX_ANSWERED and len(evidence.history) <= MAX_HISTORY
    assert not any(map(is_fingerprint, evidence.history)), "requests push parts out"
    accused = sum(len(one.parts) for one in evidence.crashes)
    assert len(evidence.accused_s) <= accused and len(evidence.served_s) <= accused
    assert len(context.quarantine.groups) <= MAX_GROUPS
    median_s = sorted(context.took_s)[len(context.took_s) // 2]
    assert median_s < MAX_DECISION_S, (median_s, max(context.took_s))


@when("a crash has cut as many runs with as long prompts as a node keeps")
def step_long_prompts(context: Any) -> None:
    parts = [f"{number:040x}" for number in range(MAX_PARTS - 1)]
    context.crash = _crash(1, 1.0)
    context.crash.runs = {RunId(f"run{row}"): _other(row, *parts) for row in range(MAX_RUNS)}
    context.crash.prompts = set(context.crash.runs.values())
    context.datagrams = [encode_crashes([one], 0.1) for one in split_crash(context.crash)]


@then("each of its datagrams is below 30 kB, and together they name all runs")
def step_all_named(context: Any) -> None:
    sizes = [len(one) for one in context.datagrams]
    assert max(sizes) < MAX_DATAGRAM_BYTES, sizes
    evidence = CrashEvidence()
    for data in context.datagrams:
        for crash in decode(data, 1.1).crashes:
            evidence.record_crash(crash)
    (found,) = evidence.crashes
    assert found.runs == context.crash.runs and found.prompts == context.crash.prompts


@when("requests differ in host, method, target, prompt or body")
def step_different(context: Any) -> None:
    context.prints = [
        fingerprint_of("a", "POST", "/x", "p:1", b"b"),
        fingerprint_of("b", "POST", "/x", "p:1", b"b"),
        fingerprint_of("a", "GET", "/x", "p:1", b"b"),
        fingerprint_of("a", "POST", "/x?y", "p:1", b"b"),
        fingerprint_of("a", "POST", "/x", "p:2", b"b"),
        fingerprint_of("a", "POST", "/x", "p:1", b"c"),
        fingerprint_of("a", "POST", "/xp:1", "", b"b"),
    ]
    context.copy = fingerprint_of("A", "POST", "/x", "p:1", b"b")


@then("they have different fingerprints, however their bytes are divided")
def step_distinct(context: Any) -> None:
    assert len(set(context.prints)) == len(context.prints), context.prints
    assert context.copy == context.prints[0]


@when("a prompt has a part that looks like a fingerprint")
def step_forged(context: Any) -> None:
    context.parts = shared_parts(f"team:10,{REQUEST}:20,last:30")


@then("it is known by another name")
def step_renamed(context: Any) -> None:
    assert len(context.parts) == 2 and not any(map(is_fingerprint, context.parts)), context.parts
