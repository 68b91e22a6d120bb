"""Measure the latency an entry adds to streamed responses, against direct calls to the engine.

Usage: python benches/path.py [--seconds S] [--idle N] [--profile]. One node of real processes and
two stand-in engines run on the loopback. Arrivals are open loop; the paired phase sends every
other request directly to an engine. Processor time is that of the entry process, from /proc.
"""

import argparse
import json
import pstats
import random
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from hdrh.histogram import HdrHistogram  # noqa: E402

from features.support.cluster import MODEL, TEAM_KEY, Cluster, ClusterPlan  # noqa: E402
from features.support.process_cost import processor_s  # noqa: E402
from features.support.processes import wait_until  # noqa: E402
from parsleyrouter.connection.http import TransportFailure  # noqa: E402
from parsleyrouter.ids import Address  # noqa: E402
from parsleyrouter.process.runtime import Runtime  # noqa: E402

TOKENS = 30
FULL_REQUESTS_PER_S = 100
SLOTS = 64
STEP_S = 0.008
SEED = 7
PATH = "/v1/chat/completions"
US_PER_S = 1_000_000
MAX_FIRST_BYTE_US = 60 * US_PER_S
OUT = Path("out")


@dataclass
class PathResult:
    """Results of one path; the histogram is in microseconds."""

    first_byte: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_FIRST_BYTE_US, 3))
    answers: int = 0
    failures: int = 0
    chunks: int = 0


async def send_chat(runtime: Runtime, address: str, seen: PathResult, number: int) -> None:
    """Send one streamed chat and record its first byte and its completion."""
    content = f"question {number} " + "word " * 50
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    headers = {"authorization": f"Bearer {TEAM_KEY}", "content-type": "application/json"}
    start_s = runtime.loop.now()
    exchange = await runtime.http.open(
        Address(address), "POST", PATH, headers=headers, body=json.dumps(body).encode()
    )
    last, first = b"", True
    while not isinstance(exchange, TransportFailure):
        piece = await exchange.read()
        if not isinstance(piece, bytes):
            break
        if first:
            seen.first_byte.record_value(int((runtime.loop.now() - start_s) * US_PER_S))
            first = False
        seen.chunks += piece.count(b"data: ")
        last = piece
    complete = last.endswith(b"data: [DONE]\n\n")
    seen.answers += complete
    seen.failures += not complete


async def send_requests(
    runtime: Runtime, paths: list[tuple[list[str], PathResult]], rate: float, seconds: float
) -> None:
    """Send requests at random times, alternating the paths, and wait for all responses."""
    rng = random.Random(SEED)
    loop, tasks, number = runtime.loop, [], 0
    due_s = loop.now()
    end_s = due_s + seconds
    while due_s < end_s:
        await loop.sleep(max(0.0, due_s - loop.now()))
        addresses, seen = paths[number % len(paths)]
        address = addresses[(number // len(paths)) % len(addresses)]
        tasks.append(loop.spawn(send_chat(runtime, address, seen, number)))
        number += 1
        due_s += rng.expovariate(rate)
    await loop.gather(tasks)


def run_phase(paths: list[tuple[list[str], PathResult]], rate: float, seconds: float) -> None:
    """Run arrivals on a new event loop."""
    runtime = Runtime()

    async def main() -> None:
        await send_requests(runtime, paths, rate, seconds)
        runtime.stop()

    runtime.loop.spawn(main())
    runtime.run()


def measure(cluster: Cluster, seconds: float) -> dict[str, Any]:
    """Return the figures of the paired phase and of the full load."""
    entry = cluster.nodes[0].entry
    assert entry.popen is not None
    direct = [process.http for process in cluster.engines]
    run_phase([([entry.http], PathResult()), (direct, PathResult())], FULL_REQUESTS_PER_S, 2.0)
    entry_result, direct_result = PathResult(), PathResult()
    run_phase([([entry.http], entry_result), (direct, direct_result)], FULL_REQUESTS_PER_S, seconds)
    full = PathResult()
    before_s = processor_s(entry.popen.pid)
    run_phase([([entry.http], full)], FULL_REQUESTS_PER_S, seconds)
    used_s = processor_s(entry.popen.pid) - before_s
    return {
        "paired": {
            "requests_per_s": FULL_REQUESTS_PER_S / 2,
            "added_p50_ms": _added_ms(entry_result, direct_result, 50),
            "added_p99_ms": _added_ms(entry_result, direct_result, 99),
            "entry": _first_byte(entry_result),
            "direct": _first_byte(direct_result),
        },
        "full": {
            "seconds": seconds,
            "entry_cores": round(used_s / seconds, 3),
            "requests_per_s": round(full.answers / seconds, 1),
            "chunks_per_s": round(full.chunks / seconds, 1),
            "requests_per_s_per_core": round(full.answers / used_s, 1),
            "chunks_per_s_per_core": round(full.chunks / used_s, 1),
        }
        | _first_byte(full),
    }


def _added_ms(entry_result: PathResult, direct_result: PathResult, share: float) -> float:
    added = entry_result.first_byte.get_value_at_percentile(
        share
    ) - direct_result.first_byte.get_value_at_percentile(share)
    return round(added / 1000, 2)


def _first_byte(seen: PathResult) -> dict[str, Any]:
    return {
        "first_byte_p50_ms": seen.first_byte.get_value_at_percentile(50) / 1000,
        "first_byte_p99_ms": seen.first_byte.get_value_at_percentile(99) / 1000,
        "answers": seen.answers,
        "failures": seen.failures,
    }


def profile(cluster: Cluster, seconds: float) -> None:
    """Run the entry under the profiler at full load and print the most expensive functions."""
    node, path = cluster.nodes[0], OUT / "path.prof"
    node.entry.kill()
    node.entry.command = [sys.executable, "-m", "cProfile", "-o", str(path), *node.entry.command]
    node.entry.start().wait_ready()
    wait_until(lambda: cluster.serves(node), "the profiled entry serves")
    run_phase([([node.entry.http], PathResult())], FULL_REQUESTS_PER_S / 2, seconds)
    node.entry.stop()
    pstats.Stats(str(path)).sort_stats("tottime").print_stats(22)


def main() -> int:
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--idle", type=int, default=0, help="idle connections held open")
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    OUT.mkdir(exist_ok=True)
    engine = ("--step-s", str(STEP_S), "--step-per-running-s", "0")
    engine += ("--prompt-tokens-per-s", "1000000")
    plan = ClusterPlan(nodes=1, disks=1, engines=2, services=0, slots=SLOTS, engine_options=engine)
    cluster = Cluster(plan)
    try:
        cluster.start_stand_ins()
        cluster.start_node(1)
        cluster.set_up()
        host, _, port = cluster.nodes[0].entry.http.rpartition(":")
        idle = [socket.create_connection((host, int(port))) for _ in range(options.idle)]
        figures = {"idle_connections": len(idle)} | measure(cluster, options.seconds)
        (OUT / "path.json").write_text(json.dumps(figures, indent=2))
        print(json.dumps(figures, indent=2))
        if options.profile:
            profile(cluster, options.seconds)
    finally:
        cluster.clean_up()
    return 0


if __name__ == "__main__":
    sys.exit(main())
