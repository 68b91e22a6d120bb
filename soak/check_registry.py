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
    """Return the runs of each sending of a request, and of each item."""
    runs: dict[str, list[Run]] = {}
    for run in journal.runs:
        runs.setdefault(run.key, []).append(run)
    return runs
