"""Steps for the experiment tool."""

import contextlib
import io
import tempfile
from pathlib import Path
from typing import Any

from behave import then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from parsleyrouter.commands.load import main
from parsleyrouter.experiment.arrivals import generate_arrivals
from parsleyrouter.experiment.report import read_result
from parsleyrouter.experiment.scenario import Scenario, load_scenario

SCENARIO = Path("scenarios/nkabom.toml")


def _small(folder: Path) -> Path:
    text = SCENARIO.read_text().replace('name = "nkabom"', 'name = "small"')
    path = folder / "small.toml"
    path.write_text(text.replace("count = 5\nslots = 8", "count = 2\nslots = 8"))
    return path


@when("arrivals are generated for any seed and length")
def generate(context: Any) -> None:
    context.drawn = []

    @settings(max_examples=20)
    @any_of(st.integers(0, 1000), st.floats(1, 60))
    def check(seed: int, length_s: float) -> None:
        scenario: Scenario = load_scenario(SCENARIO)
        first = generate_arrivals(scenario, length_s, seed)
        context.drawn.append((length_s, first, generate_arrivals(scenario, length_s, seed)))

    check()
    scenario = load_scenario(SCENARIO)
    context.kind = scenario.online[0]
    context.long = [a for a in generate_arrivals(scenario, 400.0, 1) if a.kind == context.kind]


@then("equal seeds give equal arrivals in order of time, with a higher rate in bursts")
def equal_and_ordered(context: Any) -> None:
    for length_s, first, second in context.drawn:
        times = [arrival.at_s for arrival in first]
        assert first == second
        assert times == sorted(times) and all(0 <= at < length_s for at in times)
    burst = context.kind.burst
    inside = [a for a in context.long if a.at_s % burst.every_s >= burst.every_s - burst.length_s]
    length_s = 400.0 * burst.length_s / burst.every_s
    rate = len(inside) / length_s
    assert abs(rate - burst.rate_per_s - context.kind.rate_per_s) < 4, rate


@when("parsley-load runs two arms of a small scenario")
def run_small(context: Any) -> None:
    folder = tempfile.TemporaryDirectory()
    context.cleanups = [folder.cleanup]
    path = Path(folder.name)
    context.folder = path
    arguments = ["run", str(_small(path)), "--out", str(path), "--rounds", "1"]
    arguments += ["--slice-s", "3", "--warmup-s", "1", "--arms", "no-batch,online-first"]
    context.output = _run_command(arguments)[1]
    context.result = read_result(path / "small.json")


def _run_command(arguments: list[str]) -> tuple[int, str]:
    output = io.StringIO()
    code = 0
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            main(arguments)
        except SystemExit as stop:
            code = int(stop.code or 0)
    return code, output.getvalue()


@then("the result contains latencies from intended starts, batch rates and slot seconds")
def result_complete(context: Any) -> None:
    arms = context.result.arms
    assert set(arms) == {"no-batch", "online-first"}, set(arms)
    assert arms["no-batch"].offered == arms["online-first"].offered > 0
    assert arms["no-batch"].batch_items_per_s == 0 < arms["online-first"].batch_tokens_per_s
    assert arms["no-batch"].slot_s == 32.0, arms["no-batch"].slot_s
    assert arms["online-first"].ttft.p50_ms > 0


@then("results can be compared and plotted")
def compared_and_plotted(context: Any) -> None:
    result, image = str(context.folder / "small.json"), str(context.folder / "again.png")
    code, output = _run_command(["compare", result, result])
    assert code == 0 and "online-first" in output, output
    assert _run_command(["plot", result, image])[0] == 0
    assert Path(image).read_bytes().startswith(b"\x89PNG")


@when("parsley-load is given a bad scenario, an unknown arm and invalid settings")
def invalid(context: Any) -> None:
    scenario = str(SCENARIO)
    context.invalid = [
        (_run_command(["run", "no-such.toml"]), "no-such.toml"),
        (_run_command(["run", scenario, "--arms", "fastest"]), "first-come"),
        (_run_command(["sweep", scenario, "tempo=3"]), "headroom_share"),
        (_run_command(["run", scenario, "--rounds", "0"]), "1 to 1000"),
    ]


@then("each error names the bad or the allowed values and nothing is run")
def errors_named(context: Any) -> None:
    for (code, output), hint in context.invalid:
        assert code == 2 and hint in output and "round 1" not in output, (code, output)
