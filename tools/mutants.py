"""Mutation tests: change the code in a copy and expect the scenario that covers it to fail.

Each entry of tools/mutants.toml names a file, a text that occurs once in it, its replacement, and
the feature file and scenario that must fail. ``--smoke`` runs those marked ``smoke`` only.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MUTANTS = ROOT / "tools" / "mutants.toml"
TIMEOUT_S = 300
WORKERS = 4
COPIED = ("parsleyrouter", "features", "soak", "pyproject.toml")


@dataclass(frozen=True)
class Mutant:
    """One change of the code and the scenario that must fail with it."""

    name: str
    file: str
    old: str
    new: str
    feature: str
    scenario: str
    smoke: bool = False
    """Whether it belongs to the short run of CI."""


def load() -> list[Mutant]:
    """Return the mutants of tools/mutants.toml."""
    return [Mutant(**entry) for entry in tomllib.loads(MUTANTS.read_text())["mutant"]]


def run(mutant: Mutant) -> tuple[Mutant, str]:
    """Return the mutant and ``caught``, ``missed`` or why it could not be applied."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in COPIED:
            _copy(ROOT / name, copy / name)
        target = copy / mutant.file
        text = target.read_text()
        if text.count(mutant.old) != 1:
            return mutant, "not applied: the text to replace must occur in the file once"
        if not _passes(mutant, copy):
            return mutant, "not applied: the scenario fails without the mutant"
        target.write_text(text.replace(mutant.old, mutant.new))
        return mutant, "missed" if _passes(mutant, copy) else "caught"


def _copy(source: Path, target: Path) -> None:
    if source.is_dir():
        shutil.copytree(source, target, ignore=shutil.ignore_patterns("__pycache__"))
    else:
        shutil.copy(source, target)


def _passes(mutant: Mutant, copy: Path) -> bool:
    command = [sys.executable, "-m", "behave", "--no-color", "-f", "progress"]
    command += [mutant.feature, "-n", mutant.scenario]
    environment = os.environ | {"PYTHONHASHSEED": "0", "PYTHONPATH": str(copy)}
    try:
        done = subprocess.run(
            command, cwd=copy, env=environment, capture_output=True, timeout=TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return False
    return done.returncode == 0


def main() -> int:
    """Run the mutants; fail unless all are caught."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--smoke", action="store_true", help="run the mutants marked smoke only")
    smoke = parser.parse_args().smoke
    chosen = [mutant for mutant in load() if mutant.smoke or not smoke]
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(run, chosen))
    for mutant, result in results:
        print(f"{result}: {mutant.name} ({mutant.feature}: {mutant.scenario})")
    caught = sum(result == "caught" for _, result in results)
    print(f"{caught} passed, {len(results) - caught} failed")
    return 0 if results and caught == len(results) else 1


if __name__ == "__main__":
    sys.exit(main())
