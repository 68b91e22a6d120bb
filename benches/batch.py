"""Measure batch jobs: cost against job size on one node, and takeover among real processes.

Usage: python benches/batch.py [--sizes N ...] [--kills N]. The first part runs one batch process,
three disk VMs and an instant endpoint in one process on the loopback, so its rate is the most
that one node can process. The second kills the VM that runs a job and waits for the first item of
the next owner.
"""

import argparse
import json
import re
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from features.support.batch_fleet import BatchFleet, job_body, pieces, spec  # noqa: E402
from features.support.callers import Caller  # noqa: E402
from features.support.cluster import BATCH_KIND, MODEL, Cluster, ClusterPlan  # noqa: E402
from features.support.processes import wait_until  # noqa: E402
from parsleyrouter.process.batch_limits import BatchLimits  # noqa: E402
from parsleyrouter.process.batch_metrics import BatchMetrics  # noqa: E402
from parsleyrouter.process.job_port import JobStatus  # noqa: E402
from parsleyrouter.process.loop import TimedOut  # noqa: E402
from parsleyrouter.process.runtime import Runtime  # noqa: E402

SIZES = (1_000, 5_000, 20_000, 79_000)
JOB_TIMEOUT_S = 300.0
POLL_S = 0.02
TAKEOVER_ITEMS = 6_000
OUT = Path("out")


@dataclass(frozen=True)
class JobCost:
    """Cost of one job; bytes and calls are per item or per 1,000 items."""

    items: int
    items_per_s: float
    accept_s: float
    cpu_ms_per_1000: float
    kv_writes_per_1000: float
    kv_reads_per_1000: float
    input_bytes_per_item: float
    disk_bytes_per_item: float
    wire_bytes_per_item: float
    files: int


async def measure(runtime: Runtime, folder: Path, items: int) -> JobCost:
    """Run one job to its end with the default limits, except for rare scans."""
    limits = BatchLimits(scan_s=3600.0)
    fleet = BatchFleet(runtime, folder, limits=limits)
    node = fleet.nodes["n0"]
    body = job_body(items)
    await runtime.loop.sleep(1.0)
    node.faults.counts.clear()
    started_s, cpu_s = time.monotonic(), time.process_time()
    status = await node.job_service.submit(spec(), pieces(body, 65536))
    assert isinstance(status, JobStatus), status
    accept_s = time.monotonic() - started_s
    await fleet.until(lambda: sum(fleet.dispatched.values()) >= items, JOB_TIMEOUT_S)
    await fleet.until(lambda: len(fleet.store.keys) == 1, JOB_TIMEOUT_S)
    elapsed_s, cpu_s = time.monotonic() - started_s, time.process_time() - cpu_s
    calls = {kind.value: count for kind, count in node.faults.counts.items()}
    writes = calls.get("swap", 0) + calls.get("delete", 0)
    files = list(folder.glob("*/*/*.chunk"))
    sent = BatchMetrics.of(runtime.metrics).sent_bytes._value.get()
    return JobCost(
        items=items,
        items_per_s=round(items / elapsed_s),
        accept_s=round(accept_s, 3),
        cpu_ms_per_1000=round(cpu_s * 1e6 / items, 1),
        kv_writes_per_1000=round(writes * 1000 / items, 2),
        kv_reads_per_1000=round((sum(calls.values()) - writes) * 1000 / items, 2),
        input_bytes_per_item=round(len(body) / items),
        disk_bytes_per_item=round(sum(file.stat().st_size for file in files) / items),
        wire_bytes_per_item=round(sent / items),
        files=len(files),
    )


def job_cost(items: int) -> JobCost:
    """Measure a job in a new fleet."""
    runtime = Runtime()
    found: list[JobCost] = []

    async def main() -> None:
        with tempfile.TemporaryDirectory() as folder:
            task = runtime.loop.spawn(measure(runtime, Path(folder), items))
            try:
                found.append(await runtime.loop.within(JOB_TIMEOUT_S, task))
            except TimedOut:
                print(f"job of {items} items: not done within {JOB_TIMEOUT_S:g} s")
        runtime.stop()

    runtime.loop.spawn(main())
    runtime.run()
    return found[0]


def metric(caller: Caller, address: str, name: str) -> float:
    """Return one metric of a process, 0 when it is missing."""
    text = caller.call(address, "GET", "/metrics").body.decode()
    found = re.search(rf"^{name} ([0-9.e+]+)$", text, re.MULTILINE)
    return float(found[1]) if found else 0.0


def takeovers(kills: int) -> list[float]:
    """Return the seconds from each kill to the first item of a part's next owner."""
    cluster = Cluster(ClusterPlan(nodes=4, disks=3, engine_options=("--step-s", "0.02")))
    try:
        cluster.start_stand_ins()
        for number in range(1, cluster.plan.nodes + 1):
            cluster.start_node(number)
        cluster.set_up()
        return [takeover(cluster, number) for number in range(kills)]
    finally:
        cluster.clean_up()


def takeover(cluster: Cluster, number: int) -> float:
    """Kill the VM that runs a job and wait for the next owner's first item."""
    lines = []
    for item in range(TAKEOVER_ITEMS):
        body = {"model": MODEL, "messages": [{"role": "user", "content": f"{item}"}]}
        body |= {"max_tokens": 5}
        line = {"custom_id": f"c{item}", "url": "/v1/chat/completions", "body": body}
        lines.append(json.dumps(line))
    headers = {"Idempotency-Key": f"kill-{number}", "X-Parsley-Kind": BATCH_KIND}
    body = "\n".join(lines).encode()
    caller, last = cluster.caller, cluster.nodes[-1]
    address = cluster.nodes[0].entry.http
    seen = caller.call(address, "POST", "/v1/batches", body, headers)
    assert seen.status in (200, 202), seen
    control = cluster.control
    running = "parsley_batch_parts_running"
    runs = [node for node in cluster.nodes if node is not cluster.nodes[0]]
    victim = wait_until(
        lambda: next((n for n in runs if metric(control, n.batch.http, running)), None), "an owner"
    )
    time.sleep(1.0)
    name = "parsley_batch_takeover_items_total"
    others = [node for node in cluster.nodes if node is not victim]
    before = sum(metric(control, node.batch.http, name) for node in others)
    killed_s = time.monotonic()
    victim.kill()
    while sum(metric(control, node.batch.http, name) for node in others) <= before:
        assert time.monotonic() - killed_s < 60, "no takeover within 60 s"
        time.sleep(POLL_S)
    elapsed_s = time.monotonic() - killed_s
    victim.restart()
    caller.call(address, "DELETE", f"/v1/batches/{seen.json()['id']}")
    wait_until(lambda: cluster.serves(last), "all nodes serve")
    return elapsed_s


def main() -> None:
    """Print one JSON line per measurement and write all to ``out/batch.json``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    parser.add_argument("--kills", type=int, default=5)
    chosen = parser.parse_args()
    costs = [asdict(job_cost(items)) for items in chosen.sizes]
    for cost in costs:
        print(json.dumps(cost))
    found: dict[str, object] = {"jobs": costs}
    if chosen.kills:
        times = [round(seconds, 2) for seconds in takeovers(chosen.kills)]
        found["takeover_s"] = times
        print(json.dumps({"takeover_s": times, "median": median(times), "max": max(times)}))
    OUT.mkdir(exist_ok=True)
    (OUT / "batch.json").write_text(json.dumps(found, indent=2))


if __name__ == "__main__":
    main()
