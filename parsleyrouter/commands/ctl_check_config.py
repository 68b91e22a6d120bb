"""The ``parsleyctl check-config`` command: check a configuration before it is sent."""

import sys
from pathlib import Path
from typing import Any

from parsleyrouter.commands.ctl_client import CtlError, ExitCode
from parsleyrouter.commands.ctl_output import show_json, show_lines
from parsleyrouter.config_check import (
    ConfigDocument,
    Difference,
    Finding,
    Severity,
    find_differences,
    run_checks,
)
from parsleyrouter.platform.config_document import read_document

__all__ = ["check_config"]

EXIT_WARNINGS = 1
EXIT_ERRORS = 2


def check_config(file: Path, /, *, against: Path | None = None, json: bool = False) -> None:
    """Check an operator's configuration without a network; exit with 1 for warnings, 2 for errors.

    Parameters
    ----------
    against:
        The version in force; what differs from it is shown too.
    json:
        Print JSON.
    """
    document = _read(file)
    findings = run_checks(document)
    differences: list[Difference] = []
    if against is not None:
        in_force = _read(against)
        if in_force.table is None:
            raise CtlError(f"{against} cannot be used: {in_force.failure}", ExitCode.USAGE)
        if document.table is not None:
            differences = find_differences(document.table, in_force.table)
    if json:
        show_json(_as_json(findings, differences))
    else:
        show_lines(_as_lines(findings, differences))
    severities = {one.severity for one in findings}
    if Severity.ERROR in severities:
        sys.exit(EXIT_ERRORS)
    if severities:
        sys.exit(EXIT_WARNINGS)


def _read(path: Path) -> ConfigDocument:
    try:
        return read_document(path.read_bytes())
    except OSError as error:
        raise CtlError(f"cannot read {path}: {error.strerror}", ExitCode.USAGE) from error


def _as_json(findings: list[Finding], differences: list[Difference]) -> dict[str, Any]:
    return {
        "findings": [
            {
                "severity": one.severity.value,
                "check": one.check,
                "place": one.place,
                "problem": one.problem,
                "remedy": one.remedy,
            }
            for one in findings
        ],
        "differences": [
            {
                "change": one.change.value,
                "place": one.place,
                "details": one.details,
                "effect": one.effect,
            }
            for one in differences
        ],
    }


def _as_lines(findings: list[Finding], differences: list[Difference]) -> list[str]:
    lines = [f"{one.severity.value}: {one.place}: {one.problem}: {one.remedy}" for one in findings]
    for change in differences:
        details = f" ({change.details})" if change.details else ""
        lines.append(f"{change.change.value}: {change.place}{details}: {change.effect}")
    return lines or ["no errors and no warnings"]
