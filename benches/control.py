"""Measure membership and settings propagation over the number of nodes.

Usage: python benches/control.py [NODES ...]; each fleet runs in its own process, with a key-value
stand-in in this one. Prints a line per fleet and a linear fit over the number of nodes.
"""

import json
import subprocess
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.key_value_server import KeyValueServer

HERE = Path(__file__).resolve().parent
DEFAULT_NODES = (8, 30, 60, 120)
TARGET_NODES = 360
FLEET_TIMEOUT_S = 900
MAX_CONCURRENT_FLEETS = 4


class ServiceThread(threading.Thread):
    """Thread that runs the key-value stand-in and counts its calls."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.runtime = Runtime()
        self.service = KeyValueServer(self.runtime).register(self.runtime)
        self.ready = threading.Event()

    def run(self) -> None:
        """Serve until the runtime is stopped."""
        self.service.address.on_done(lambda _: self.ready.set())
        self.runtime.run()

    def calls(self) -> int:
        """Return the number of calls so far."""
        return sum(self.service.counts.values())


def percentile(values: list[float], share: float) -> float:
    """Return the value at a share of the sorted values, the highest for 1."""
    ordered = sorted(values) or [float("nan")]
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    rate = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return rate, mean_y - rate * mean_x


def run_fleet(nodes: int) -> dict[str, Any]:
    """Run one fleet against a new key-value stand-in."""
    service = ServiceThread()
    service.start()
    service.ready.wait(10)
    address = service.service.address.result()
    command = [sys.executable, str(HERE / "control_light.py"), str(nodes), address]
    process = subprocess.run(
        command, capture_output=True, text=True, timeout=FLEET_TIMEOUT_S, check=False
    )
    if process.returncode or not process.stdout.strip():
        sys.exit(f"the fleet of {nodes} nodes failed:\n{process.stderr[-2000:]}")
    result: dict[str, Any] = json.loads(process.stdout.splitlines()[-1])
    seconds = service.service.by_second
    span = max(seconds) - min(seconds) + 1 if seconds else 1
    result["calls_per_s"] = sum(seconds.values()) / span
    result["calls_busiest_s"] = max(seconds.values(), default=0)
    service.runtime.loop.call_from_thread(service.runtime.stop)
    return result


def print_fleet(result: dict[str, Any]) -> None:
    """Print the figures of one fleet."""
    applied, detect, lossy = (
        result["in_force_s"],
        result["detect_s"],
        result["detect_lossy_s"],
    )
    print(
        f"{result['nodes']:5d} nodes: converged in {result['meet_s']:.1f} s;"
        f" in force p50 {percentile(applied, 0.5):.2f} p99 {percentile(applied, 0.99):.2f}"
        f" max {max(applied):.2f} s ({len(applied)} changes);"
        f" {result['bytes_per_node']:.0f} B/s,"
        f" {100 * result['core_share_per_node']:.2f} % of a core,"
        f" {result['memory_per_node_kb']:.0f} KB a node;"
        f" key-value {result['calls_per_s']:.1f} calls/s, busiest {result['calls_busiest_s']};"
        f" lost node removed max {max(detect):.1f} s, with loss {max(lossy):.1f} s;"
        f" 5 % loss: {result['suspicions']} suspicions,"
        f" {result['false_downs']} live nodes considered down",
        flush=True,
    )


def print_fit(results: list[dict[str, Any]], name: str, unit: str, scale: float = 1.0) -> None:
    """Print the linear fit of a figure over the nodes and its value at the target."""
    points = [(result["nodes"], scale * result[name]) for result in results]
    rate, base = slope(points)
    expected = base + rate * TARGET_NODES
    print(f"{name}: {base:.3g} + {rate:.3g} a node; line at {TARGET_NODES}: {expected:.3g} {unit}")


def main() -> None:
    """Run a fleet of each size given as an argument."""
    sizes = [int(word) for word in sys.argv[1:]] or list(DEFAULT_NODES)
    with ThreadPoolExecutor(MAX_CONCURRENT_FLEETS) as pool:
        results = list(pool.map(run_fleet, sizes))
    for result in results:
        print_fleet(result)
    if len(results) > 1:
        print_fit(results, "bytes_per_node", "B/s")
        print_fit(results, "core_share_per_node", "% of a core", scale=100)
        print_fit(results, "memory_per_node_kb", "KB")
        print_fit(results, "calls_per_s", "calls/s")


if __name__ == "__main__":
    main()
