"""Measure the cost of idle node processes over the number of nodes and endpoints.

Usage: python benches/rest.py [--seconds S]. Real processes on the loopback; processor time and
resident memory are per process, from /proc. Also prints the sizes of the messages that one
request sends.
"""

import argparse
import json
import sys
import time
from collections import defaultdict
from pathlib import Path
from statistics import mean
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from features.support.cluster import Cluster, ClusterPlan  # noqa: E402
from features.support.process_cost import memory_mb, processor_s  # noqa: E402
from parsleyrouter.connection.peer import pack  # noqa: E402
from parsleyrouter.thrift_gen.grants.ttypes import (  # noqa: E402
    AskGrant,
    GrantAnswer,
    ReleaseGrant,
)
from parsleyrouter.thrift_gen.peer.ttypes import Envelope  # noqa: E402

NODES = (2, 4)
EXTRA_ENDPOINTS = 600
SETTLE_S = 5.0
FRAME_BYTES = 4
OUT = Path("out")


class CleanupContext:
    """Replacement of the behave context that collects the clean-ups of a cluster."""

    def __init__(self) -> None:
        self.cleanups: list[Any] = []
        self.scenario = type("Scenario", (), {"status": type("Status", (), {"name": "passed"})})

    def add_cleanup(self, cleanup: Any) -> None:
        """Register one clean-up."""
        self.cleanups.append(cleanup)


def idle_costs(cluster: Cluster, seconds: float) -> dict[str, dict[str, float]]:
    """Return the mean processor time and memory of each role."""
    time.sleep(SETTLE_S)
    pids = {
        role: [one.popen.pid for node in cluster.nodes if (one := getattr(node, role))]
        for role in ("entry", "scheduler", "batch", "store")
    }
    before = {pid: processor_s(pid) for found in pids.values() for pid in found}
    time.sleep(seconds)
    costs: dict[str, dict[str, float]] = defaultdict(dict)
    for role, found in pids.items():
        used = [(processor_s(pid) - before[pid]) / seconds for pid in found]
        costs[role]["core_percent"] = round(100 * mean(used), 3)
        costs[role]["memory_mb"] = round(mean(map(memory_mb, found)), 1)
    return costs


def add_endpoints(cluster: Cluster, count: int) -> None:
    """Add engines that get no requests, to match the settings of a large fleet."""
    endpoints = cluster.endpoints()
    for number in range(count):
        endpoints[f"far-{number}"] = {
            "address": "127.0.0.1:9",
            "models": [f"far-model-{number % 26}"],
            "slots": 8,
        }
    cluster.put_settings("fleet/endpoints", endpoints)


def message_bytes() -> dict[str, int]:
    """Return the wire sizes of the messages of one slot request."""
    ask = AskGrant(
        attempt="8df1db603995a5d0.1",
        node="node-117",
        reply_to="10.11.12.13:7400",
        endpoint="engine-417",
        team="nkabom",
        kind="question",
        batch=False,
        weight=1.0,
        deadline_in_s=30.0,
        prompt_tokens=400,
        output_tokens=400,
        job="",
        slack_s=0.0,
    )
    answer = GrantAnswer(grant="8f3a1b2c-1234567", attempt=ask.attempt, refusal="", valid_s=2.0)
    release = ReleaseGrant(grant=answer.grant, attempt=ask.attempt, endpoint=ask.endpoint, ok=True)
    messages = {"ask": ask, "answer": answer, "release": release}
    return {
        name: FRAME_BYTES + len(pack(Envelope(1, f"grant.{name}", pack(message))))
        for name, message in messages.items()
    }


def main() -> None:
    """Measure and write out/rest.json."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    seconds = parser.parse_args().seconds
    found: dict[str, Any] = {"message_bytes": message_bytes(), "fleets": []}
    for nodes in NODES:
        context = CleanupContext()
        try:
            cluster = Cluster.start(context, ClusterPlan(nodes=nodes, disks=nodes))
            few = idle_costs(cluster, seconds)
            add_endpoints(cluster, EXTRA_ENDPOINTS)
            many = idle_costs(cluster, seconds)
        finally:
            for cleanup in context.cleanups:
                cleanup()
        found["fleets"].append({"nodes": nodes, "endpoints_3": few, "endpoints_603": many})
        print(json.dumps(found["fleets"][-1], indent=1))
    OUT.mkdir(exist_ok=True)
    (OUT / "rest.json").write_text(json.dumps(found, indent=1))
    print(json.dumps(found["message_bytes"]))


if __name__ == "__main__":
    main()
