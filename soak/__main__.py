"""``python -m soak``: run soaks by seed, each in its own process."""

import subprocess
import sys
import time
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
from cyclopts import App

from parsleyrouter.process.logs import start_logs
from soak.play import Plan, run_soak

OUTPUT = Path("out/soak").absolute()
FAILED_SEEDS = Path(__file__).parent / "seeds.toml"
SOAK_TIMEOUT_S = 180.0

app = App(name="soak", help="Run random faults against real front processes.")


@app.command
def one(
    seed: int,
    *,
    nodes: int = 4,
    engines: int = 4,
    clients: int | None = None,
    faults_s: float = 10.0,
    gap_s: float = 0.8,
    engine_processes: int = 0,
    without: tuple[str, ...] = (),
) -> None:
    """Run one seed; the logs of a failed soak stay in out/soak/SEED."""
    start_logs(program="soak", level="ERROR")
    plan = Plan(
        seed,
        nodes=nodes,
        engines=engines,
        clients=clients or 3 * nodes // 2,
        faults_s=faults_s,
        gap_s=gap_s,
        engine_processes=engine_processes,
        without=without,
    )
    result = run_soak(plan, OUTPUT / str(seed))
    print(msgspec.json.encode(result).decode())
    sys.exit(1 if result.problems else 0)


@app.command
def many(
    count: int = 50,
    *,
    first: int | None = None,
    jobs: int = 3,
    nodes: int = 4,
    engines: int = 4,
    clients: int | None = None,
    faults_s: float = 10.0,
    gap_s: float = 0.8,
    engine_processes: int = 0,
    kept: bool = True,
    without: tuple[str, ...] = (),
) -> None:
    """Run the seeds that ever failed, then consecutive seeds, by default from the Unix time on."""
    start = int(time.time()) if first is None else first
    seeds = list(range(start, start + count))
    rows: dict[int, dict[str, Any]] = {}
    if kept:
        listed = tomllib.loads(FAILED_SEEDS.read_text()).get("seed", [])
        rows = {row["number"]: row for row in listed}
        seeds = list(dict.fromkeys([*rows, *seeds]))
    size = {
        "nodes": nodes,
        "engines": engines,
        "clients": clients or 3 * nodes // 2,
        "faults-s": faults_s,
        "gap-s": gap_s,
        "engine-processes": engine_processes,
    }

    def run(seed: int) -> int:
        row = rows.get(seed, {"without": without})
        command = [sys.executable, "-m", "soak", "one", str(seed)]
        for name, value in (size | row.get("size", {})).items():
            command += [f"--{name}", str(value)]
        command += [word for name in row.get("without", []) for word in ("--without", name)]
        done = subprocess.run(
            command, capture_output=True, text=True, check=False, timeout=SOAK_TIMEOUT_S + faults_s
        )
        print(done.stdout.strip() or f"seed {seed}: {done.stderr[-600:]}", flush=True)
        return done.returncode

    with ThreadPoolExecutor(jobs) as pool:
        codes = list(pool.map(run, seeds))
    failed = [seed for seed, code in zip(seeds, codes, strict=True) if code]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed: seeds {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app()
