"""Run the scenarios that verify the promises and print their counts for each promise.

Scenarios carry tags ``@promise-1`` to ``@promise-9`` and ``@fault-<name>``; docs/GUARANTEES.md
gives the text of each promise.
"""

import json
import os
import re
import subprocess
import sys
import tempfile
from collections import defaultdict
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 4
PROMISE_COUNT = 9
PROMISE_TAG = re.compile(r"^promise-(\d)$")


@dataclass
class Tally:
    """Scenario runs, failures and injected faults of one promise."""

    runs: int = 0
    violations: int = 0
    faults: set[str] = field(default_factory=set)


def run_feature(path: Path) -> list[dict[str, Any]]:
    """Run the tagged scenarios of one feature file and return behave's report."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "-f", "json", "-o", str(report), "--no-skipped"]
        command += ["--tags", "@promise-*", str(path)]
        environment = os.environ | {"PYTHONHASHSEED": "0", "PYTHONPATH": str(ROOT)}
        subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, check=False)
        return json.loads(report.read_text()) if report.exists() else []


def scenarios(reports: list[list[dict[str, Any]]]) -> Iterator[dict[str, Any]]:
    """Yield the executed scenarios, with the tags of their features added."""
    for report in reports:
        for feature in report:
            for element in feature.get("elements", ()):
                if element["type"] != "background" and element.get("status") != "skipped":
                    yield element | {"tags": feature.get("tags", []) + element.get("tags", [])}


def count(reports: list[list[dict[str, Any]]]) -> dict[int, Tally]:
    """Return the tally of each promise that has scenarios."""
    tallies: dict[int, Tally] = defaultdict(Tally)
    for scenario in scenarios(reports):
        faults = {
            tag.removeprefix("fault-") for tag in scenario["tags"] if tag.startswith("fault-")
        }
        for tag in scenario["tags"]:
            match = PROMISE_TAG.match(tag)
            if match:
                tally = tallies[int(match.group(1))]
                tally.runs += 1
                tally.violations += scenario["status"] != "passed"
                tally.faults |= faults
    return tallies


def main() -> int:
    """Print the tallies; fail on a violation or on a promise without scenarios."""
    paths = sorted((ROOT / "features").glob("*.feature"))
    tagged = [path for path in paths if "@promise-" in path.read_text()]
    with ThreadPoolExecutor(WORKERS) as pool:
        tallies = count(list(pool.map(run_feature, tagged)))
    failed = 0
    for promise in range(1, PROMISE_COUNT + 1):
        tally = tallies.get(promise, Tally())
        faults = ", ".join(sorted(tally.faults)) or "none"
        print(f"promise {promise}: {tally.runs} scenarios, {tally.violations} violations")
        print(f"  faults: {faults}")
        failed += not tally.runs or bool(tally.violations)
    print(f"{PROMISE_COUNT - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
