"""Show that each check can fail: break the code it guards in a copy and expect the check to fail.

Each entry of tools/mutants.toml names a file, a text that stands there once, its replacement, and
the feature file and scenario that must turn red.
"""

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
LIST = ROOT / "tools" / "mutants.toml"
TIMEOUT_S = 300
WORKERS = 4
COPIED = ("parsleyrouter", "features", "pyproject.toml")


@dataclass(frozen=True)
class Mutant:
    """One deliberate fault and the check that must notice it."""

    name: str
    file: str
    old: str
    new: str
    feature: str
    scenario: str


def load() -> list[Mutant]:
    """Return the committed list."""
    return [Mutant(**entry) for entry in tomllib.loads(LIST.read_text())["mutant"]]


def run(mutant: Mutant) -> tuple[Mutant, str]:
    """Return ``caught``, ``missed`` or why the mutant could not be tried."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in COPIED:
            _copy(ROOT / name, copy / name)
        target = copy / mutant.file
        text = target.read_text()
        if text.count(mutant.old) != 1:
            return mutant, "not applied: the text to replace must stand in the file once"
        if not _passes(mutant, copy):
            return mutant, "not applied: the check fails without the mutant"
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
    """Try every mutant; fail unless all are caught."""
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(run, load()))
    for mutant, result in results:
        print(f"{result}: {mutant.name} ({mutant.feature}: {mutant.scenario})")
    caught = sum(result == "caught" for _, result in results)
    print(f"{caught} passed, {len(results) - caught} failed")
    return 0 if caught == len(results) else 1


if __name__ == "__main__":
    sys.exit(main())
