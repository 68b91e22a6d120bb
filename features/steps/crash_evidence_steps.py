"""Steps for finding the prompt parts that crash endpoints."""

from typing import Any

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.support.crash_play import CrashPlay
from parsleyrouter.ids import EndpointId, PromptPart
from parsleyrouter.request.crash import Crash, CutRuns, Prompt
from parsleyrouter.request.crash_evidence import (
    MAX_CRASHES,
    MAX_PARTS,
    MAX_PROMPTS,
    CrashEvidence,
)
from parsleyrouter.request.quarantine import (
    HOLD_S,
    MAX_EARLY_RUNS,
    MAX_GROUPS,
    Quarantine,
)


def _prompt(*parts: str) -> Prompt:
    return tuple(PromptPart(part) for part in parts)


@when("fleets of many sizes run requests with up to three deadly parts beside ordinary crashes")
def step_plays(context: Any) -> None:
    context.plays = []

    @settings(max_examples=40, derandomize=True, deadline=None)
    @for_all(
        st.integers(0, 2**20),
        st.integers(4, 30),
        st.integers(1, 3),
        st.floats(0.01, 0.1),
        st.booleans(),
        st.sampled_from([0.0, 0.05, 0.2]),
    )
    def run(
        seed: int, endpoints: int, parts: int, share: float, first: bool, ordinary_per_s: float
    ) -> None:
        context.plays.append(
            CrashPlay(
                seed,
                endpoints=endpoints,
                rate_per_s=4.0 * endpoints,
                deadly_parts=parts,
                deadly_share=share,
                deadly_first=first,
                ordinary_per_s=ordinary_per_s,
            ).run()
        )

    run()


@then("at most three requests with each are sent later than 3 s after its fifth crash")
def step_few_late(context: Any) -> None:
    late = [(count, one) for one in context.plays for count in one.sent_late().values()]
    assert len(late) > 20
    for count, one in late:
        assert count <= 3, (count, one.seed, one.endpoints, one.deadly_parts, one.deadly_share)


@then("in the second half at least half of the sound requests begin in each, all but 1 % in sum")
def step_few_refused(context: Any) -> None:
    for one in context.plays:
        assert one.refused_at_end <= one.sound_at_end / 2, (one.seed, one.refused_at_end)
    refused = sum(one.refused_at_end for one in context.plays)
    assert refused < sum(one.sound_at_end for one in context.plays) / 100, refused


@then("in the second half fewer than one in a hundred sound requests is refused")
def step_hardly_refused(context: Any) -> None:
    for one in context.plays:
        assert one.refused_at_end < one.sound_at_end / 100, (one.seed, one.refused_at_end)


@when("racks of endpoints crash again and again while popular and rare parts are in use")
def step_racks(context: Any) -> None:
    context.plays = [
        CrashPlay(
            seed,
            endpoints=8,
            rate_per_s=rate_per_s,
            deadly_share=0.0,
            ordinary_per_s=0.3,
            rack=rack,
        ).run()
        for seed in range(20)
        for rate_per_s in (8.0, 30.0)
        for rack in (1, 4)
    ]


@then("fewer than one in a thousand requests is refused")
def step_none_refused(context: Any) -> None:
    refused = sum(one.refused_sound for one in context.plays)
    assert refused < sum(one.sound for one in context.plays) / 1000, refused


@when("requests with a deadly part share their other parts with sound ones that come rarely")
def step_together(context: Any) -> None:
    evidence = CrashEvidence()
    prompt = _prompt("team", "rare", "deadly")
    for number in range(3):
        evidence.record_served(_prompt("team", "other"), number + 0.5)
        evidence.record_crash(Crash(EndpointId(f"e{number}"), number + 1.0, {prompt}))
        evidence.record_served(_prompt("team", "other"), number + 1.2)
    context.first = evidence.find_groups(4.0)
    evidence.record_served(_prompt("team", "rare"), 5.0)
    evidence.record_crash(Crash(EndpointId("e9"), 6.0, {prompt}))
    context.later = evidence.find_groups(6.5)
    context.others = CrashEvidence(), [frozenset(_prompt("team", "rare", "deadly"))]
    for number in range(4):
        parts = ("team", "rare", "deadly") if number < 3 else ("two", "deadly")
        crash = Crash(EndpointId(f"e{number}"), 1.0 + number, {_prompt(*parts)})
        context.others[0].record_crash(crash)


@then("only requests with all of the parts that crashed are refused, fewer parts once served")
def step_groups(context: Any) -> None:
    assert context.first == [frozenset(_prompt("rare", "deadly"))], context.first
    assert context.later == [frozenset(_prompt("deadly"))], context.later
    evidence, known = context.others
    assert evidence.find_groups(5.0, known) == [frozenset(_prompt("deadly"))]
    quarantine = Quarantine()
    assert quarantine.add(known[0], 3.0) == []
    assert quarantine.add(frozenset(_prompt("deadly")), 4.0) == known
    assert quarantine.add(known[0], 5.0) is None


@when("crashes of many endpoints are reported with many prompts of many parts")
def step_many(context: Any) -> None:
    context.evidence, context.quarantine = CrashEvidence(), Quarantine()
    for number in range(1000):
        prompts = {
            _prompt(*(f"p{number}-{row}-{part}" for part in range(40))) for row in range(100)
        }
        crash = Crash(EndpointId(f"e{number}"), float(number), prompts)
        context.evidence.record_crash(crash)
        context.quarantine.add(frozenset(_prompt(f"g{number}")), float(number))
        if number % 100 == 99:
            context.evidence.find_groups(float(number))


@then("the evidence and the quarantine stay within their limits, and old ones are dropped")
def step_bounded(context: Any) -> None:
    evidence = context.evidence
    assert len(evidence.crashes) <= MAX_CRASHES
    assert all(len(one.prompts) <= MAX_PROMPTS for one in evidence.crashes)
    parts = MAX_CRASHES * MAX_PROMPTS * MAX_PARTS
    assert len(evidence.accused_s) <= parts and len(evidence.served_s) <= parts
    assert len(context.quarantine.groups) <= MAX_GROUPS
    evidence.find_groups(1e6)
    assert not evidence.crashes and not evidence.accused_s and not evidence.served_s


@when("a group of parts is in quarantine")
def step_quarantined(context: Any) -> None:
    context.quarantine = quarantine = Quarantine()
    quarantine.add(frozenset(_prompt("deadly")), 0.0)
    prompt = _prompt("team", "deadly")
    (group,) = quarantine.find(prompt)
    group.note_crashes(CutRuns(MAX_EARLY_RUNS, 0, 0.0))
    context.trials_s = []
    for now in map(float, range(0, 7200, 10)):
        if group.trial_due(now):
            group.trials, group.late_trials = group.trials + 1, group.late_trials + 1
            group.note_claim(now, None, own=True)
        if quarantine.take_trial(quarantine.find(prompt), now):
            context.trials_s.append(now)
            if len(context.trials_s) == 2:
                # It never began at an endpoint, so another takes its place.
                assert group.end_trial(began=False)
                assert quarantine.take_trial(quarantine.find(prompt), now)
            assert group.end_trial(began=True)
            group.note_crashes(CutRuns(group.cut_runs, len(context.trials_s), now))
        assert not quarantine.take_trial(quarantine.find(prompt), now), "a second request"


@then("it lets single requests through at growing intervals, and ends once one is answered")
def step_trials(context: Any) -> None:
    assert context.trials_s == [10.0, 40.0, 680.0, 5800.0], context.trials_s
    prompt = _prompt("team", "deadly")
    assert not context.quarantine.release_served(prompt, -1.0)
    assert context.quarantine.release_served(prompt, 6000.0)
    assert context.quarantine.find(prompt) == []


@then("it ends when no request has held the parts for a long time")
def step_expired(context: Any) -> None:
    quarantine = Quarantine()
    quarantine.add(frozenset(_prompt("deadly")), 0.0)
    assert not quarantine.release_expired(HOLD_S - 1)
    assert quarantine.release_expired(HOLD_S + 1)


@when("six endpoints that run requests with the same part crash within a tenth of a second")
def step_same_moment(context: Any) -> None:
    evidence = CrashEvidence()
    for number in range(6):
        prompt = _prompt("team", f"p{number}")
        at_s = 1.0 + 0.015 * number
        evidence.record_crash(Crash(EndpointId(f"e{number}"), at_s, {prompt}))
    context.found = evidence.find_groups(2.0)


@then("the part is not held responsible")
def step_not_responsible(context: Any) -> None:
    assert context.found == [], context.found


@when("a node learns between crashes that a deadly part was answered before them")
def step_answered_before(context: Any) -> None:
    evidence, context.quarantine = CrashEvidence(), Quarantine()
    context.found = []
    for number in range(6):
        crash = Crash(EndpointId(f"e{number}"), 1.0 + number, {_prompt("team", "deadly")})
        evidence.record_crash(crash)
        evidence.record_served(_prompt("team", "other"), 1.2 + number)
        evidence.record_served_before(_prompt("deadly"))
        found = evidence.find_groups(1.5 + number, context.quarantine.groups)
        context.found.append(found)
        for group in found:
            context.quarantine.add(group, 1.5 + number)


@then("the part is put into quarantine after five crashes, and stays there")
def step_stays(context: Any) -> None:
    group = frozenset(_prompt("deadly"))
    assert context.found == [[], [], [], [], [group], []], context.found
    assert list(context.quarantine.groups) == [group]


@when("nodes report the crash of one start of an endpoint seconds apart")
def step_late_reports(context: Any) -> None:
    context.evidence = evidence = CrashEvidence()
    for at_s, part in ((1.0, "a"), (4.0, "b"), (9.0, "c")):
        crash = Crash(EndpointId("e1"), at_s, {_prompt("team", part)}, started_ms=7)
        evidence.record_crash(crash)
    evidence.record_crash(Crash(EndpointId("e1"), 9.5, {_prompt("team", "d")}, started_ms=8))


@then("it counts as one crash, and that of its next start as another")
def step_one_crash(context: Any) -> None:
    prompts = [len(one.prompts) for one in context.evidence.crashes]
    assert prompts == [3, 1], context.evidence.crashes
