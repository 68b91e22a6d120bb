"""Run each feature file in its own process and print the failures and the counts.

Files that begin with the tag ``@alone`` run one at a time after all others.
Failures listed in KNOWN-RED.txt are printed and do not fail the run; keep the list accurate.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 4
FEATURE_TIMEOUT_S = 900
ALONE_TAG = "@alone"


@dataclass(frozen=True)
class Verdict:
    """Outcome of one scenario."""

    name: str
    status: str
    output: str


def known_red() -> set[str]:
    """Return the scenarios listed in KNOWN-RED.txt, one ``test: file:scenario`` line each."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def run_feature(path: Path) -> list[Verdict]:
    """Run one feature file and return the verdict of each scenario."""
    name = str(path.relative_to(ROOT))
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "-f", "json", "-o", str(report)]
        command += ["-f", "plain", name]
        environment = os.environ | {"PYTHONHASHSEED": "0", "PYTHONPATH": str(ROOT)}
        try:
            process = subprocess.run(
                command,
                cwd=ROOT,
                env=environment,
                capture_output=True,
                text=True,
                timeout=FEATURE_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired as error:
            return [Verdict(name, "failed", f"timed out: {error}")]
        output = process.stdout + process.stderr
        verdicts = read_report(name, report, output)
        if process.returncode and all(verdict.status == "passed" for verdict in verdicts):
            verdicts.append(Verdict(name, "failed", output))
        return verdicts


def read_report(name: str, report: Path, output: str) -> list[Verdict]:
    """Return the verdicts in a JSON report of behave."""
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return [Verdict(name, "failed", output)]
    verdicts = []
    for feature in features:
        for scenario in feature.get("elements", ()):
            if scenario["type"] != "background":
                status = "passed" if scenario["status"] == "passed" else "failed"
                verdicts.append(Verdict(f"{name}:{scenario['name'].strip()}", status, output))
    return verdicts or [Verdict(name, "failed", f"no scenario ran\n{output}")]


def main() -> int:
    """Run the given feature files, all by default."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("features", nargs="*", type=Path)
    chosen = parser.parse_args().features
    paths = [path.resolve() for path in chosen] or sorted((ROOT / "features").glob("*.feature"))
    alone = [path for path in paths if path.read_text().startswith(ALONE_TAG)]
    beside_others = [path for path in paths if path not in alone]
    with ThreadPoolExecutor(WORKERS) as pool:
        found = [*pool.map(run_feature, beside_others), *map(run_feature, alone)]
    verdicts = [verdict for verdicts_of_file in found for verdict in verdicts_of_file]
    red = known_red()
    failed = [verdict for verdict in verdicts if verdict.status != "passed"]
    unexpected = [verdict for verdict in failed if verdict.name not in red]
    for verdict in failed:
        label = "known red" if verdict.name in red else "FAILED"
        print(f"{label}: {verdict.name}")
    for output in dict.fromkeys(verdict.output for verdict in unexpected):
        print(output)
    passed = len(verdicts) - len(failed)
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
