"""Tables, comparisons and plots of experiment results."""

from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram
from matplotlib import use
from rich.table import Table

from parsleyrouter.experiment.measures import ArmResult, Result
from parsleyrouter.process.options import InvalidSetting

__all__ = ["compare", "deployment_score", "idle_share", "plot", "read_result", "result_table"]

PERCENTILES = (0, 25, 50, 75, 90, 95, 99, 99.5, 99.9)
BATCH_ALONE = "batch-alone"
NO_BATCH = "no-batch"


def read_result(path: Path) -> Result:
    """Read a result file; raise ``BadSetting`` if it is missing or malformed."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.MsgspecError) as error:
        raise InvalidSetting("result", str(path), f"a result file ({error})") from error


def idle_share(result: Result, arm: ArmResult) -> float | None:
    """Return the batch rate relative to what batch alone reaches on the capacity left idle.

    The capacity that online work leaves idle is measured in the arm without batch. ``None`` if an
    arm needed for the comparison is missing.
    """
    alone, without = result.arms.get(BATCH_ALONE), result.arms.get(NO_BATCH)
    if alone is None or without is None or not alone.batch_tokens_per_s:
        return None
    idle = 1 - without.online_slot_s / without.slot_s
    return arm.batch_tokens_per_s / (alone.batch_tokens_per_s * idle)


def deployment_score(result: Result, arm: ArmResult) -> float | None:
    """Return the online score and the idle share, weighted by ``online_share``."""
    share = idle_share(result, arm)
    if share is None:
        return None
    return result.online_share * arm.score + (1 - result.online_share) * min(1.0, share)


def result_table(result: Result) -> Table:
    """Return a table with one row per arm."""
    output = Table(title=f"{result.scenario}: {result.rounds} rounds of {result.slice_s:g} s")
    columns = ["arm", "first token p50/p99/p99.9 ms", "between p50/p99 ms", "p99 ratio"]
    columns += [
        "in time",
        "refused",
        "batch items/s",
        "of idle",
        "yield p99 ms",
        "score",
        "loop lag ms",
    ]
    for column in columns:
        output.add_column(column)
    for name, arm in result.arms.items():
        output.add_row(*_row(result, name, arm))
    return output


def _row(result: Result, name: str, arm: ArmResult) -> list[str]:
    without = result.arms.get(NO_BATCH)
    ratio = arm.ttft.p99_ms / without.ttft.p99_ms if without and without.ttft.p99_ms else 0.0
    share = idle_share(result, arm)
    score = deployment_score(result, arm)
    return [
        name,
        f"{arm.ttft.p50_ms:.1f} / {arm.ttft.p99_ms:.1f} / {arm.ttft.p999_ms:.1f}",
        f"{arm.between.p50_ms:.1f} / {arm.between.p99_ms:.1f}",
        f"{ratio:.3f}",
        f"{arm.score:.4f}",
        str(arm.refused),
        f"{arm.batch_items_per_s:.2f}",
        "" if share is None else f"{share:.3f}",
        f"{arm.freed.p99_ms:.1f}",
        "" if score is None else f"{score:.3f}",
        f"{arm.loop_lag_p99_ms:.1f}",
    ]


def compare(first: Result, second: Result) -> Table:
    """Return a table of the changes of each arm between two results."""
    output = Table(title=f"{first.scenario}: before and after")
    for column in ("arm", "first token p99 ms", "between p99 ms", "score", "batch items/s"):
        output.add_column(column)
    for name, before in first.arms.items():
        after = second.arms.get(name)
        if after is not None:
            output.add_row(name, *_changes(before, after))
    return output


def _changes(before: ArmResult, after: ArmResult) -> list[str]:
    pairs = [
        (before.ttft.p99_ms, after.ttft.p99_ms),
        (before.between.p99_ms, after.between.p99_ms),
        (before.score, after.score),
        (before.batch_items_per_s, after.batch_items_per_s),
    ]
    return [f"{old:.4g} → {new:.4g}" for old, new in pairs]


def plot(result: Result, path: Path) -> None:
    """Write a PNG of the online latencies and the batch rates of all arms."""
    use("Agg")
    from matplotlib import pyplot

    figure, (latency, rates) = pyplot.subplots(1, 2, figsize=(12, 5))
    for name, arm in result.arms.items():
        if arm.ttft.count:
            found = HdrHistogram.decode(arm.ttft.encoded)
            values = [found.get_value_at_percentile(at) / 1000 for at in PERCENTILES]
            latency.plot(range(len(PERCENTILES)), values, marker=".", label=name)
    latency.set_xticks(range(len(PERCENTILES)), [f"{at:g}" for at in PERCENTILES])
    latency.set_xlabel("percentile")
    latency.set_ylabel("time to first token, ms")
    latency.set_yscale("log")
    latency.legend()
    names = list(result.arms)
    rates.barh(names, [result.arms[name].batch_items_per_s for name in names])
    rates.set_xlabel("batch items a second")
    figure.suptitle(f"{result.scenario}, {result.rounds} rounds of {result.slice_s:g} s")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
