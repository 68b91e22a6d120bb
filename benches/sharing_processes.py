"""Measure sharing over real processes: one cluster, the sharing policies in turn.

Results go to ``out/``; show them with ``parsley-load show`` or ``compare``.
"""

import argparse
import sys
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from features.support.cluster import MODEL, TEAM_KEY, Cluster, ClusterPlan  # noqa: E402
from features.support.workload import executions, job_lines, submit  # noqa: E402
from parsleyrouter.experiment.arrivals import generate_arrivals  # noqa: E402
from parsleyrouter.experiment.measures import Measures, Result  # noqa: E402
from parsleyrouter.experiment.report import result_table  # noqa: E402
from parsleyrouter.experiment.scenario import Scenario, load_scenario  # noqa: E402
from parsleyrouter.experiment.system_load import Target, run_system_load  # noqa: E402
from parsleyrouter.ids import Address  # noqa: E402

NO_BATCH = "no-batch"
ARMS = (NO_BATCH, "online-first", "first-come", "fixed-split")
ITEMS = 4000
ITEM_TOKENS = 48
SETTLE_S = 4.0


def main() -> None:
    """Start a cluster, run all arms and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", type=Path)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument("--share", type=float, default=0.5, help="share of the scenario's rates")
    parser.add_argument("--length-s", type=float, default=24.0)
    parser.add_argument("--warmup-s", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=1)
    chosen = parser.parse_args()
    cleanups: list[Any] = []
    passed = SimpleNamespace(status=SimpleNamespace(name="passed"))
    context = SimpleNamespace(add_cleanup=cleanups.append, scenario=passed)
    plan = ClusterPlan(nodes=3, engines=chosen.engines, engine_options=())
    try:
        _run(Cluster.start(context, plan), chosen)
    finally:
        for cleanup in reversed(cleanups):
            cleanup()


def _run(cluster: Cluster, chosen: argparse.Namespace) -> None:
    scenario = _scaled_model_load(load_scenario(chosen.scenario), chosen.share)
    measures = {arm: Measures() for arm in ARMS}
    for number in range(chosen.rounds):
        for arm in (*ARMS[number % 4 :], *ARMS[: number % 4]):
            print(f"round {number + 1}: {arm}", file=sys.stderr)
            seen = _run_slice(cluster, scenario, arm, chosen, number)
            _add(measures[arm], seen)
    result = Result(
        scenario=f"{scenario.name} over processes",
        online_share=scenario.online_share,
        command=" ".join(sys.argv),
        rounds=chosen.rounds,
        slice_s=chosen.length_s,
        seed=1,
        arms={arm: measure.result() for arm, measure in measures.items()},
    )
    path = ROOT / "out" / f"{scenario.name}-whole.json"
    path.parent.mkdir(exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    from rich.console import Console

    Console(width=200).print(result_table(result))


def _run_slice(
    cluster: Cluster, scenario: Scenario, arm: str, chosen: argparse.Namespace, number: int
) -> Measures:
    policy = {"profile": scenario.profile, "sharing": arm if arm != NO_BATCH else "online-first"}
    cluster.put_settings("fleet", {"endpoints": cluster.endpoints(), "policy": policy})
    entry = cluster.nodes[0].entry.http
    job = ""
    if arm != NO_BATCH:
        lines = job_lines(ITEMS, 0, ITEM_TOKENS)
        accepted = submit(cluster, entry, f"{arm}-{number}-{time.time()}", lines)
        assert accepted.status == 202, accepted
        job = accepted.json()["id"]
    time.sleep(SETTLE_S)
    target = Target(Address(entry), TEAM_KEY, MODEL)
    arrivals = generate_arrivals(scenario, chosen.length_s, 1 + number)
    before, began_s = _finished(cluster), time.monotonic()
    measures = run_system_load(target, arrivals, chosen.warmup_s)
    elapsed_s = time.monotonic() - began_s
    done = _finished(cluster) - before
    if job:
        cluster.caller.call(entry, "DELETE", f"/v1/batches/{job}")
    measures.batch_items = round(done * measures.measured_s / elapsed_s)
    measures.batch_tokens = measures.batch_items * ITEM_TOKENS
    time.sleep(SETTLE_S)
    return measures


def _finished(cluster: Cluster) -> int:
    """Return the number of batch items in the engines' records of finished runs."""
    return sum(
        record["state"] == "finished" and "introduce" in record["prompt"]
        for record in executions(cluster)
    )


def _scaled_model_load(scenario: Scenario, share: float) -> Scenario:
    kinds = []
    for kind in scenario.online:
        if kind.target == scenario.engines.model:
            burst = kind.burst
            if burst is not None:
                burst = msgspec.structs.replace(burst, rate_per_s=burst.rate_per_s * share)
            rate = kind.rate_per_s * share
            kinds.append(msgspec.structs.replace(kind, rate_per_s=rate, burst=burst))
    return msgspec.structs.replace(scenario, online=kinds)


def _add(into: Measures, seen: Measures) -> None:
    for name in ("ttft", "between", "freed", "lag"):
        getattr(into, name).add(getattr(seen, name))
    for name in ("offered", "answered", "refused", "weight_offered", "weight_answered"):
        setattr(into, name, getattr(into, name) + getattr(seen, name))
    for name in ("batch_items", "batch_tokens", "measured_s"):
        setattr(into, name, getattr(into, name) + getattr(seen, name))


if __name__ == "__main__":
    main()
