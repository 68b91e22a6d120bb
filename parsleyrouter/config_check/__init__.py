"""Check a configuration before it is sent."""

from parsleyrouter.config_check import capacity_checks, entry_checks, limit_checks
from parsleyrouter.config_check.differences import Change, Difference, find_differences
from parsleyrouter.config_check.document import ConfigDocument, WrittenProblem
from parsleyrouter.config_check.findings import Finding, Severity
from parsleyrouter.config_check.registry import CHECKS, run_checks

__all__ = [
    "CHECKS",
    "Change",
    "ConfigDocument",
    "Difference",
    "Finding",
    "Severity",
    "WrittenProblem",
    "capacity_checks",
    "entry_checks",
    "find_differences",
    "limit_checks",
    "run_checks",
]
