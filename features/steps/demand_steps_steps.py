"""Steps for the forecast of steps of online demand."""

from collections.abc import Callable
from random import Random
from typing import Any

from behave import then, when
from hypothesis import given as any_of
from hypothesis import strategies as st

from features.support.step_play import StepPlay, StepResult, StepSimulation
from parsleyrouter.demand import DemandForecasts, StepForecast, StepOutlook
from parsleyrouter.ids import DomainName, EndpointId, ServiceName
from parsleyrouter.process.batch_placement import pick_batch_endpoint
from parsleyrouter.request.placement import PlacementCandidate

SERVICE = ServiceName("engines")
SLOTS = 360
SEEDS = (1, 2, 3)
PERIOD_S, TROUGH_S = 5.8, 3.4
LOADS = ((0.35, 0.2), (0.45, 0.2), (0.3, 0.35))
"""Mean shares of the slots that online requests and batch items need."""


def in_step(at_s: float) -> bool:
    return at_s % PERIOD_S >= TROUGH_S


def stepped(at_s: float) -> float:
    return 0.5 if in_step(at_s) else 0.1


def record(
    forecast: StepForecast, demand: Callable[[float], float], from_s: float, to_s: float
) -> list[tuple[float, StepOutlook | None]]:
    """Record a demand with random noise; return the outlook at each time."""
    random, seen = Random(3), []
    for number in range(int(from_s * 20), int(to_s * 20)):
        now = number / 20
        mean = demand(now) * SLOTS
        count = max(0.0, random.gauss(mean, mean**0.5))
        forecast.record(count / SLOTS, SLOTS, now)
        seen.append((now, forecast.outlook(now)))
    return seen


@when("demand rises five-fold for 2.4 s every 5.8 s")
def step_recurring(context: Any) -> None:
    context.seen = record(StepForecast(), stepped, 0.0, 40.0)


@then("after three steps the next one is foreseen to half a second")
def step_foreseen(context: Any) -> None:
    assert all(one is None for now, one in context.seen if now < PERIOD_S), context.seen
    checked = 0
    for now, outlook in context.seen:
        if now < 3 * PERIOD_S + 0.5:
            continue
        phase = now % PERIOD_S
        if 0.5 < phase < TROUGH_S - 0.6:
            assert outlook is not None and abs(outlook.in_s - (TROUGH_S - phase)) < 0.5, now
            assert abs(outlook.needed_share - 0.5) < 0.1, outlook
            checked += 1
        if TROUGH_S + 0.5 < phase < PERIOD_S - 0.5:
            assert outlook is not None and outlook.in_s == 0.0, now
            checked += 1
    assert checked > 200, checked


@when("demand rises five-fold at irregular times")
def step_irregular(context: Any) -> None:
    rises_s = (4.0, 8.0, 15.0, 18.5)

    def demand(at_s: float) -> float:
        return 0.5 if any(rise <= at_s < rise + 1.5 for rise in rises_s) else 0.1

    context.seen = dict(record(StepForecast(), demand, 0.0, 45.0))


@then("after three steps the reserve is kept all the time, and forgotten 20 s after the last")
def step_irregular_kept(context: Any) -> None:
    outlooks = [one for now, one in context.seen.items() if 17.0 < now < 24.0]
    assert all(one is not None and one.in_s == 0.0 for one in outlooks), outlooks
    assert all(one is None for now, one in context.seen.items() if now > 40.0)


@when("demand that came in steps stays low")
def step_stays_low(context: Any) -> None:
    last_s = 4 * PERIOD_S
    context.due_s = last_s + TROUGH_S
    context.seen = record(
        StepForecast(), lambda at_s: stepped(at_s) if at_s < last_s else 0.1, 0.0, last_s + 12.0
    )


@then("no step is expected a quarter of a period after it was due")
def step_not_waited(context: Any) -> None:
    end_s = context.due_s + PERIOD_S / 4 + 0.5
    assert any(one is not None for now, one in context.seen if now < end_s)
    assert all(one is None for now, one in context.seen if now > end_s)


@when("steady demand of any level varies at random")
def step_steady(context: Any) -> None:
    @any_of(
        level=st.floats(0.0, 1.2), slots=st.sampled_from([18, 45, 360]), seed=st.integers(0, 99)
    )
    def check(level: float, slots: int, seed: int) -> None:
        random, forecast, count = Random(seed), StepForecast(), level * slots
        for number in range(600):
            # Each request lasts about 0.4 s: an eighth of them change from sample to sample.
            count += (level * slots - count) / 8 + random.gauss(0, (level * slots / 4) ** 0.5)
            forecast.record(max(0.0, count) / slots, slots, number / 20)
            assert forecast.outlook(number / 20) is None, (level, slots, number)

    context.check = check


@then("no step is ever expected")
def step_no_step(context: Any) -> None:
    context.check()


@when("traffic begins and stays steady")
def step_begins(context: Any) -> None:
    context.seen = record(StepForecast(), lambda at_s: 0.4 if at_s > 16.0 else 0.0, 0.0, 60.0)


@then("no step is expected after it")
def step_no_step_after(context: Any) -> None:
    assert all(one is None for _, one in context.seen)


def learnt(until_s: float) -> DemandForecasts:
    """Return forecasts that have seen recurring steps."""
    forecasts = DemandForecasts()
    forecast = forecasts.services[SERVICE] = StepForecast()
    record(forecast, stepped, 0.0, until_s)
    return forecasts


@when("items of different work and due time wait in stepped demand")
def step_items(context: Any) -> None:
    now = 4 * PERIOD_S + 1.5
    forecasts = learnt(now)
    context.seen = {
        (needed_s, left_s): forecasts.reserved_share(
            SERVICE, needed_s=needed_s, left_s=left_s, now=now
        )
        for needed_s in (0.5, 3.0)
        for left_s in (2.0, 12.0)
    }
    context.other = forecasts.reserved_share(
        ServiceName("other"), needed_s=3.0, left_s=12.0, now=now
    )


@then("those that end before the step and those that are due soon take any slot")
def step_items_started(context: Any) -> None:
    reserved = {key for key, share in context.seen.items() if share}
    assert reserved == {(3.0, 12.0)}, context.seen
    assert 0.5 < context.seen[3.0, 12.0] < 0.75, context.seen
    assert context.other == 0.0


@when("any share of the slots is reserved")
def step_any_reserve(context: Any) -> None:
    @any_of(
        share=st.floats(0.0, 1.0),
        slots=st.integers(1, 16),
        online=st.integers(0, 16),
        batch=st.integers(0, 16),
    )
    def check(share: float, slots: int, online: int, batch: int) -> None:
        one = PlacementCandidate(EndpointId("e"), DomainName("z"), slots, online, batch)
        best = pick_batch_endpoint([one], reserved_share=share)
        most = round(slots * (1 - share))
        assert (best is not None) == (online + batch < slots and batch < most)
        free = pick_batch_endpoint([one])
        assert (free is not None) == (online + batch < slots)

    context.check = check


@then("items get at most the rest, and without a reserve every free slot")
def step_reserve_kept(context: Any) -> None:
    context.check()


def play(forecasts: bool, steps: bool) -> list[StepResult]:
    return [
        StepSimulation(
            StepPlay(
                online_load=online, batch_load=batch, steps=steps, forecasts=forecasts, seed=seed
            )
        ).run()
        for online, batch in LOADS
        for seed in SEEDS
    ]


@when("batch jobs run beside steps of online demand with and without the forecast")
def step_play_steps(context: Any) -> None:
    context.without, context.played = play(False, True), play(True, True)


@then("less than 150 runs are cut for 680 results after two steps, and no job is late")
def step_play_kept(context: Any) -> None:
    for without, played in zip(context.without, context.played, strict=True):
        assert played.known_cuts < played.known_results * 150 / 680, played
        assert played.late_items == 0, played
        assert played.mean_wait_s < without.mean_wait_s, (played, without)


@when("batch jobs run beside steady demand with and without the forecast")
def step_play_steady(context: Any) -> None:
    context.without, context.played = play(False, False), play(True, False)


@then("both plays are equal in every figure")
def step_play_equal(context: Any) -> None:
    assert context.without == context.played
