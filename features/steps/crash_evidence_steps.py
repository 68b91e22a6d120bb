"""Steps for finding the prompt parts that crash endpoints."""

from typing import Any

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.support.crash_play import CrashPlay
from parsleyrouter.ids import EndpointId, PromptPart
from parsleyrouter.request.crash_evidence import (
    MAX_CRASHES,
    MAX_PARTS,
    MAX_PROMPTS,
    Crash,
    CrashEvidence,
    Prompt,
)
from parsleyrouter.request.quarantine import HOLD_S, MAX_GROUPS, Quarantine


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
    late = [count for one in context.plays for count in one.sent_late().values()]
    assert len(late) > 20 and max(late) <= 3, sorted(late)[-5:]


@then("in the second half fewer than one in a hundred sound requests is refused")
def step_few_refused(context: Any) -> None:
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
    context.later = evidence.find_groups(6.0)


@then("only requests with all of the parts that crashed are refused, fewer parts once served")
def step_groups(context: Any) -> None:
    assert context.first == [frozenset(_prompt("rare", "deadly"))], context.first
    assert context.later == [frozenset(_prompt("deadly"))], context.later


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
    group = quarantine.find(_prompt("team", "deadly"))
    assert group is not None
    context.trials_s = []
    for now in range(0, 7200, 10):
        if group.trial_due(float(now)):
            group.trials, group.may_try = group.trials + 1, True
        if group.take_trial():
            context.trials_s.append(float(now))


@then("it lets two requests through at growing intervals, and ends once one of them is answered")
def step_trials(context: Any) -> None:
    assert context.trials_s == [10.0, 80.0], context.trials_s
    assert context.quarantine.release_served(_prompt("team", "deadly"), 100.0)
    assert context.quarantine.find(_prompt("team", "deadly")) is None


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
