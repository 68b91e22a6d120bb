"""Registry of the checks of a soak."""

from collections.abc import Callable

from soak.journal import Journal, Run
from soak.world import World

__all__ = ["CHECKS", "Check", "check", "runs_by_attempt"]

Check = Callable[[World], list[str]]
CHECKS: dict[str, Check] = {}


def check(name: str) -> Callable[[Check], Check]:
    """Register a check under the guarantee that it verifies."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def runs_by_attempt(journal: Journal) -> dict[str, list[Run]]:
    """Return the runs of each request or item."""
    runs: dict[str, list[Run]] = {}
    for run in journal.runs:
        runs.setdefault(run.attempt, []).append(run)
    return runs
