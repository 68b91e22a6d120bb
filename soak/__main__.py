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
    customers: int = 0,
    brief_clients: int = 0,
    without: tuple[str, ...] = (),
    only: tuple[str, ...] = (),
    folder: str = "",
) -> None:
    """Run one seed; the logs of a failed soak stay in out/soak/SEED, or in another folder there."""
    start_logs(program="soak", level="ERROR")
    plan = Plan(
        seed,
        nodes=nodes,
        engines=engines,
        clients=clients or 3 * nodes // 2,
        faults_s=faults_s,
        gap_s=gap_s,
        engine_processes=engine_processes,
        customers=customers,
        brief_clients=brief_clients,
        without=without,
        only=only,
    )
    result = run_soak(plan, OUTPUT / (folder or str(seed)))
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
    customers: int = 0,
    brief_clients: int = 0,
    kept: bool = True,
    without: tuple[str, ...] = (),
    only: tuple[str, ...] = (),
) -> None:
    """Run the seeds that ever failed, then consecutive seeds, by default from the Unix time on."""
    start = int(time.time()) if first is None else first
    seeds = range(start, start + count)
    rows = tomllib.loads(FAILED_SEEDS.read_text()).get("seed", []) if kept else []
    own = {"without": without, "only": only}
    alike = {row["number"] for row in rows if "size" not in row}
    plays = [*rows, *({"number": seed} | own for seed in seeds if seed not in alike)]
    size = {
        "nodes": nodes,
        "engines": engines,
        "clients": clients or 3 * nodes // 2,
        "faults-s": faults_s,
        "gap-s": gap_s,
        "engine-processes": engine_processes,
        "customers": customers,
        "brief-clients": brief_clients,
    }

    def run(row: dict[str, Any]) -> int:
        seed = row["number"]
        command = [sys.executable, "-m", "soak", "one", str(seed)]
        if "size" in row:
            command += ["--folder", f"{seed}-kept"]
        for name, value in (size | row.get("size", {})).items():
            command += [f"--{name}", str(value)]
        for option in ("without", "only"):
            command += [word for name in row.get(option, []) for word in (f"--{option}", name)]
        done = subprocess.run(
            command, capture_output=True, text=True, check=False, timeout=SOAK_TIMEOUT_S + faults_s
        )
        print(done.stdout.strip() or f"seed {seed}: {done.stderr[-600:]}", flush=True)
        return done.returncode

    with ThreadPoolExecutor(jobs) as pool:
        codes = list(pool.map(run, plays))
    failed = [row["number"] for row, code in zip(plays, codes, strict=True) if code]
    print(f"{len(plays) - len(failed)} passed, {len(failed)} failed: seeds {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app()
