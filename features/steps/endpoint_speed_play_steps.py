"""Steps for what callers get where endpoints differ in speed."""

import math
from statistics import pstdev
from typing import Any

from behave import then, when

from features.support.speed_play import (
    SPEEDS,
    Play,
    former_rule,
    knowing_rule,
    learned_rule,
    played,
)
from features.support.speed_result import PlayResult

SEEDS = range(1, 7)
TRIAL_LOADS = (0.2, 0.35)
"""Shares of the capacity that are asked for, as on the operators' sites."""


def mean(results: list[PlayResult], measure: Any) -> float:
    return sum(measure(one) for one in results) / len(results)


@when("nodes with a twentieth of the answers each place requests at endpoints of unequal speed")
def step_play(context: Any) -> None:
    context.played = {
        (load, rule): [played(Play(nodes=20, load=load, seed=seed), rule) for seed in SEEDS]
        for load in TRIAL_LOADS
        for rule in (former_rule, learned_rule, knowing_rule)
    }


@then("callers wait less than by the former rule, by half of the mean gain of full knowledge")
def step_gain(context: Any) -> None:
    for load in TRIAL_LOADS:
        for measure in (PlayResult.mean_first_s, PlayResult.mean_stretch, PlayResult.p95_first_s):
            former, learned, full = (
                mean(context.played[load, rule], measure)
                for rule in (former_rule, learned_rule, knowing_rule)
            )
            share = 0.0 if measure is PlayResult.p95_first_s else 0.5
            assert former - learned > share * (former - full), (load, former, learned, full)


@when("nodes place requests at endpoints of unequal speed that are almost full")
def step_play_full(context: Any) -> None:
    context.played = {
        rule: [played(Play(nodes=20, load=0.5, seed=seed), rule) for seed in SEEDS]
        for rule in (former_rule, learned_rule)
    }


@then("durations are shorter than by the former rule, and first events not a tenth later")
def step_full(context: Any) -> None:
    for measure, most in ((PlayResult.mean_stretch, 1.0), (PlayResult.mean_first_s, 1.1)):
        former, learned = (
            mean(context.played[rule], measure) for rule in (former_rule, learned_rule)
        )
        assert learned < most * former, (former, learned)


@when("only one of the endpoints of unequal speed reports its slowness")
def step_play_silent(context: Any) -> None:
    context.played = {
        (load, rule): [played(Play(load=load, reporting=1, seed=seed), rule) for seed in SEEDS]
        for load in TRIAL_LOADS
        for rule in (former_rule, learned_rule)
    }


@then("callers wait less than by the former rule")
def step_gain_silent(context: Any) -> None:
    for load in TRIAL_LOADS:
        for measure in (PlayResult.mean_first_s, PlayResult.mean_stretch):
            former, learned = (
                mean(context.played[load, rule], measure) for rule in (former_rule, learned_rule)
            )
            assert learned < former, (load, former, learned)


@when("all endpoints are equal and {reporting:d} of them report four figures")
def step_play_equal(context: Any, reporting: int) -> None:
    play: dict[str, Any] = {"speeds": (1.0,), "slow_share": 0.0, "reporting": reporting}
    context.played = {
        rule: [played(Play(load=0.35, seed=seed, **play), rule) for seed in SEEDS]
        for rule in (former_rule, learned_rule)
    }


@then("callers wait as long as before, and endpoints rarely count as different")
def step_equal(context: Any) -> None:
    for measure in (PlayResult.p95_first_s, PlayResult.mean_stretch):
        former, learned = (
            mean(context.played[rule], measure) for rule in (former_rule, learned_rule)
        )
        assert learned < 1.02 * former, (former, learned)
    uneven = mean(context.played[learned_rule], lambda one: one.uneven / one.placements)
    assert uneven < 0.1, uneven


@when("71 nodes place requests at endpoints of constant unequal speed")
def step_settle(context: Any) -> None:
    play = Play(endpoints=24, nodes=71, load=0.35, slow_share=0.0)
    context.played = {rule: played(play, rule) for rule in (learned_rule, knowing_rule)}


@then("what a node believes varies by less than a quarter of the difference, and so does the load")
def step_settled(context: Any) -> None:
    learned, full = context.played[learned_rule], context.played[knowing_rule]
    spreads = [pstdev([math.log(one) for one in seen]) for seen in learned.estimates.values()]
    difference = math.log(SPEEDS[2] / SPEEDS[1])
    assert sum(spreads) / len(spreads) < difference / 4, spreads
    assert learned.swing() < 1.5 * full.swing(), (learned.swing(), full.swing())
