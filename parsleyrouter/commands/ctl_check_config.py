"""The ``parsleyctl check-config`` command: check a configuration before it is sent."""

import sys
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

from parsleyrouter.commands.ctl_client import CtlError, ExitCode, run_call
from parsleyrouter.commands.ctl_output import console, show_json, show_lines, show_table
from parsleyrouter.config_check import (
    ConfigDocument,
    Difference,
    Finding,
    Severity,
    find_differences,
    run_checks,
)
from parsleyrouter.ids import Address, ServiceName
from parsleyrouter.platform.config_document import read_document
from parsleyrouter.platform.stored_config import StoredConfigMissing, read_stored_config
from parsleyrouter.process.options import check_address
from parsleyrouter.version.route_table import RouteTable

__all__ = ["check_config"]

EXIT_WARNINGS = 1
EXIT_ERRORS = 2


def check_config(
    file: Path,
    /,
    *,
    against: Path | None = None,
    against_store: str = "",
    endpoints: list[str] | None = None,
    json: bool = False,
) -> None:
    """Check an operator's configuration; exit with 1 for warnings, 2 for errors.

    Parameters
    ----------
    against:
        The version in force; what differs from it is shown too.
    against_store:
        Address of the platform's store, to compare with the version there. Without it, no network
        is used.
    endpoints:
        How many endpoints a service has, as SERVICE=NUMBER, to check limits against them.
    json:
        Print JSON.
    """
    document = replace(_read(file), endpoints=dict(map(_endpoint_count, endpoints or ())))
    findings = run_checks(document)
    in_force = _read_in_force(against, against_store)
    differences: list[Difference] = []
    if in_force is not None and document.table is not None:
        differences = find_differences(document.table, in_force)
    if json:
        show_json(_as_json(findings, differences))
    elif console.is_terminal and (findings or differences):
        show_table(("", "PLACE", "WHAT", "REMEDY OR EFFECT"), _as_rows(findings, differences))
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


def _endpoint_count(text: str) -> tuple[ServiceName, int]:
    name, _, count = text.rpartition("=")
    if not name or not count.isdecimal():
        raise CtlError(f"--endpoints {text}: write SERVICE=NUMBER", ExitCode.USAGE)
    return ServiceName(name), int(count)


def _read_in_force(path: Path | None, store: str) -> RouteTable | None:
    """Return the version to compare with, ``None`` if none is asked for."""
    if path is not None and store:
        raise CtlError("give --against or --against-store, not both", ExitCode.USAGE)
    if path is None and not store:
        return None
    document = _read_stored(store) if path is None else _read(path)
    if document.table is None:
        raise CtlError(f"{path or store} cannot be used: {document.failure}", ExitCode.USAGE)
    return document.table


def _read_stored(store: str) -> ConfigDocument:
    check_address("against-store", store)
    try:
        return read_document(run_call(lambda runtime: read_stored_config(runtime, Address(store))))
    except StoredConfigMissing as error:
        code = ExitCode.NOT_FOUND if error.answered else ExitCode.UNREACHABLE
        raise CtlError(str(error), code) from error


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


def _as_rows(findings: list[Finding], differences: list[Difference]) -> list[Sequence[str]]:
    rows: list[Sequence[str]] = [
        (one.severity.value, one.place, one.problem, one.remedy) for one in findings
    ]
    return rows + [(one.change.value, one.place, one.details, one.effect) for one in differences]


def _as_lines(findings: list[Finding], differences: list[Difference]) -> list[str]:
    lines = [f"{one.severity.value}: {one.place}: {one.problem}: {one.remedy}" for one in findings]
    for change in differences:
        details = f" ({change.details})" if change.details else ""
        lines.append(f"{change.change.value}: {change.place}{details}: {change.effect}")
    return lines or ["no errors and no warnings"]
