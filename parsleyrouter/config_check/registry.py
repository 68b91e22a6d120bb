"""Registry of the checks of a configuration, filled by the decorator ``check``."""

from collections.abc import Callable, Iterator

from parsleyrouter.config_check.document import ConfigDocument
from parsleyrouter.config_check.findings import Finding, Severity
from parsleyrouter.version.route_table import RouteTable

__all__ = ["CHECKS", "Problem", "check", "run_checks"]

Problem = tuple[str, str, str]
"""The place, what is wrong there, and what to write instead."""

Check = Callable[[RouteTable, ConfigDocument], Iterator[Problem]]

CHECKS: dict[str, tuple[Severity, Check]] = {}


def check(severity: Severity) -> Callable[[Check], Check]:
    """Register a check; its name is that of the function."""

    def register(function: Check) -> Check:
        CHECKS[function.__name__] = (severity, function)
        return function

    return register


def run_checks(document: ConfigDocument) -> list[Finding]:
    """Return the findings of all checks, errors first."""
    findings = [
        Finding(
            Severity.WARNING if one.ignored else Severity.ERROR,
            "as_written",
            one.place,
            one.problem,
            one.remedy,
        )
        for one in document.written
    ]
    if document.table is None:
        remedy = "correct it: nodes refuse the whole configuration"
        findings.append(Finding(Severity.ERROR, "readable", "file", document.failure, remedy))
    else:
        for name, (severity, function) in CHECKS.items():
            for problem in function(document.table, document):
                findings.append(Finding(severity, name, *problem))
    return sorted(findings, key=lambda one: one.severity is not Severity.ERROR)
