"""Time of ``parsleyctl check-config`` for a large configuration: python benches/config_check.py.

Runs the command as a process of its own, as a pipeline does, on 300 customers and 500 routes that
are compared with another version. Ends with 1 if the median is not under the target.
"""

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
CUSTOMERS, ROUTES, SERVICES = 300, 500, 26
RUNS = 7
TARGET_S = 1.0


def config(version: int) -> dict[str, Any]:
    """Return a configuration in which a tenth of the entries depends on the version."""
    routes = [
        {
            "name": f"route-{number}",
            "host": f"host-{number % 10}.example",
            "prefix": f"/part-{number}/",
            "kind": ("safe", "unsafe", "stream", "batch")[number % 4],
            "service": f"service-{number % SERVICES}",
            "timeoutMs": 5000 + version * (number % 10 == 0),
            "targetLatencyMs": 300,
        }
        for number in range(ROUTES)
    ]
    customers = [
        {
            "name": f"customer-{number}",
            "apiKeys": [f"key-{number}-{one}" for one in range(2 + version * (number % 10 == 0))],
            "ratePerS": 5,
            "burst": 10,
        }
        for number in range(CUSTOMERS)
    ]
    services = [
        {"name": f"service-{number}", "engine": {"slots": 8, "kvCapacity": 50_000}}
        for number in range(SERVICES)
    ]
    return {"version": version, "routes": routes, "services": services, "tenants": customers}


def main() -> int:
    """Print the times and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        new, old = Path(folder) / "new.json", Path(folder) / "old.json"
        new.write_text(json.dumps(config(2)))
        old.write_text(json.dumps(config(1)))
        command = [sys.executable, "-c", "from parsleyrouter.commands.ctl import main; main()"]
        command += ["check-config", str(new), "--against", str(old), "--json"]
        times_s, before = list[float](), os.times()
        for _ in range(RUNS):
            begun_s = time.perf_counter()
            done = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
            times_s.append(time.perf_counter() - begun_s)
            assert done.returncode in (0, 1), done.stderr
        after = os.times()
        changed = len(json.loads(done.stdout)["differences"])
    median_s = statistics.median(times_s)
    print(f"{CUSTOMERS} customers, {ROUTES} routes, {changed} differences, {RUNS} runs:")
    worked_s = after.children_user + after.children_system
    worked_s -= before.children_user + before.children_system
    print(f"processor time of a run {worked_s / RUNS:.3f} s")
    print(f"median {median_s:.3f} s, longest {max(times_s):.3f} s, target under {TARGET_S:g} s")
    return int(median_s >= TARGET_S)


if __name__ == "__main__":
    sys.exit(main())
