"""``parsley-load``: run experiments on slot sharing, compare and plot their results."""

import sys
from collections.abc import Iterable
from dataclasses import fields, replace
from pathlib import Path

import msgspec
from cyclopts import App, CycloptsError
from cyclopts.config import Env
from rich.console import Console

from parsleyrouter.commands.program import EXIT_INVALID_SETTING
from parsleyrouter.experiment.arrivals import generate_arrivals
from parsleyrouter.experiment.measures import Measures, Result
from parsleyrouter.experiment.report import compare as compare_results
from parsleyrouter.experiment.report import plot as plot_result
from parsleyrouter.experiment.report import read_result, result_table
from parsleyrouter.experiment.runner import ARMS, Arm, Plan, run_arms
from parsleyrouter.experiment.scenario import Scenario, load_scenario
from parsleyrouter.experiment.system_load import Target, run_system_load
from parsleyrouter.ids import Address
from parsleyrouter.process.options import InvalidSetting, check_address, check_range
from parsleyrouter.process.sharing_policies import PROFILES, SharingProfile
from parsleyrouter.version.schema import PolicyProfile

__all__ = ["main"]

app = App(name="parsley-load", help=__doc__, config=Env("PARSLEY_LOAD_", command=False))
console = Console(stderr=True)


@app.command
def run(
    scenario: Path,
    *,
    out: Path = Path("out"),
    rounds: int = 2,
    slice_s: float = 20.0,
    warmup_s: float = 4.0,
    seed: int = 1,
    arms: str = "",
) -> None:
    """Run a scenario under each sharing policy in turn and write a JSON result and a plot.

    Parameters
    ----------
    scenario
        Scenario file in TOML.
    out
        Folder of the results.
    rounds
        How often each arm is run; arms take turns within a round.
    slice_s
        Length of one arm in one round, in seconds.
    warmup_s
        Part of a slice that is not counted, in seconds.
    seed
        Seed of the arrivals; the round number is added to it.
    arms
        Names of the arms to run, separated by commas; all by default.
    """
    names = {name for name in arms.split(",") if name}
    unknown = names - {arm.name for arm in ARMS}
    if unknown:
        allowed = ", ".join(arm.name for arm in ARMS)
        raise InvalidSetting("arms", ",".join(sorted(unknown)), allowed)
    chosen = tuple(arm for arm in ARMS if not names or arm.name in names)
    _run(load_scenario(scenario), chosen, _plan(rounds, slice_s, warmup_s, seed), out)


@app.command
def sweep(
    scenario: Path,
    *values: str,
    out: Path = Path("out"),
    rounds: int = 2,
    slice_s: float = 20.0,
    warmup_s: float = 4.0,
    seed: int = 1,
) -> None:
    """Run ``online-first`` with changed profile settings, next to the arms without sharing.

    Parameters
    ----------
    scenario
        Scenario file in TOML.
    values
        Settings to try, one arm each, such as ``headroom_share=0.5,restore_headroom=false``.
    """
    chosen = load_scenario(scenario)
    profile = PROFILES[PolicyProfile(chosen.profile)]
    changed = [Arm(text, profile=_with_changes(profile, text)) for text in values]
    arms = (*(arm for arm in ARMS if not (arm.online and arm.batch)), *changed)
    _run(chosen, arms, _plan(rounds, slice_s, warmup_s, seed), out, suffix="-sweep")


@app.command
def drive(
    scenario: Path,
    *,
    entry: str,
    key: str,
    model: str,
    name: str = "driven",
    out: Path = Path("out"),
    length_s: float = 30.0,
    warmup_s: float = 4.0,
    seed: int = 1,
) -> None:
    """Send the model requests of a scenario to a running system and write the result.

    Parameters
    ----------
    scenario
        Scenario file in TOML; its endpoints, batch load and plain services are ignored.
    entry
        Address of any entry, ip:port.
    key
        API key of the team.
    model
        Model named in every request.
    name
        Name of the result file.
    length_s
        Duration of sending, in seconds.
    """
    check_address("entry", entry)
    check_range("length-s", length_s, 2, 3600, "seconds")
    check_range("warmup-s", warmup_s, 0, length_s - 1, "seconds")
    chosen = load_scenario(scenario)
    kinds = [kind for kind in chosen.online if kind.target == chosen.engines.model]
    load_only = msgspec.structs.replace(chosen, online=kinds)
    target = Target(Address(entry), key, model)
    measures = run_system_load(target, generate_arrivals(load_only, length_s, seed), warmup_s)
    plan = Plan(1, length_s, warmup_s, seed)
    _write(load_only, {name: measures}, plan, out / f"{scenario.stem}-{name}.json")


@app.command
def show(result: Path) -> None:
    """Print a result as a table."""
    Console(width=200).print(result_table(read_result(result)))


@app.command
def compare(first: Path, second: Path) -> None:
    """Print the difference of each arm between two results."""
    Console(width=160).print(compare_results(read_result(first), read_result(second)))


@app.command
def plot(result: Path, out: Path) -> None:
    """Write a plot of a result as PNG."""
    plot_result(read_result(result), out)


def _plan(rounds: int, slice_s: float, warmup_s: float, seed: int) -> Plan:
    check_range("rounds", rounds, 1, 1000, "rounds")
    check_range("slice-s", slice_s, 2, 3600, "seconds")
    check_range("warmup-s", warmup_s, 0, slice_s - 1, "seconds")
    return Plan(rounds, slice_s, warmup_s, seed)


def _run(scenario: Scenario, arms: Iterable[Arm], plan: Plan, out: Path, suffix: str = "") -> None:
    measures = run_arms(scenario, tuple(arms), plan, console.print)
    _write(scenario, measures, plan, out / f"{scenario.name}{suffix}.json")


def _write(scenario: Scenario, measures: dict[str, Measures], plan: Plan, path: Path) -> None:
    result = Result(
        scenario=scenario.name,
        online_share=scenario.online_share,
        command=" ".join(["parsley-load", *_redact_keys(sys.argv[1:])]),
        rounds=plan.rounds,
        slice_s=plan.slice_s,
        seed=plan.seed,
        arms={name: measure.result() for name, measure in measures.items()},
    )
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    plot_result(result, path.with_suffix(".png"))
    Console(width=200).print(result_table(result))
    console.print(f"written: {path} and {path.with_suffix('.png')}")


def _redact_keys(arguments: list[str]) -> list[str]:
    hidden = {index + 1 for index, argument in enumerate(arguments) if argument == "--key"}
    return [
        "…" if index in hidden or argument.startswith("--key=") else argument
        for index, argument in enumerate(arguments)
    ]


def _with_changes(profile: SharingProfile, text: str) -> SharingProfile:
    known = {field.name for field in fields(SharingProfile)}
    changes: dict[str, float | bool] = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        if name not in known:
            raise InvalidSetting("values", part, ", ".join(sorted(known)))
        try:
            changes[name] = msgspec.json.decode(value.encode())
        except msgspec.MsgspecError as error:
            raise InvalidSetting("values", part, "a number, true or false") from error
    return replace(profile, **changes)  # type: ignore[arg-type]


def main(arguments: list[str] | None = None) -> None:
    """Run one command; exit with code 2 on an invalid setting."""
    try:
        app(arguments, exit_on_error=False, print_error=False)
    except (InvalidSetting, CycloptsError) as error:
        print(f"parsley-load: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTING)


if __name__ == "__main__":
    main()
