"""Check a configuration before it is sent."""

from parsleyrouter.config_check import entry_checks, limit_checks
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
    "entry_checks",
    "find_differences",
    "limit_checks",
    "run_checks",
]
