"""Refuse datagrams between nodes whose size or numbers no node sends; performs no I/O.

Load: strangers that send datagrams of legal form to a node's own port.
"""

import math
from collections.abc import Iterable, Sized

from parsleyrouter.decoding import MAX_COUNT
from parsleyrouter.request.crash_evidence import MAX_CRASHES, MAX_PARTS, MAX_PROMPTS
from parsleyrouter.thrift_gen.load.ttypes import (
    CellNews,
    CrashNews,
    EndpointUse,
    FleetNews,
    LoadNews,
    ServedNews,
)

__all__ = ["MAX_NAME", "MAX_USES", "check_bounds", "check_names", "check_rows"]

MAX_NAME = 256
"""Characters of a name or an address."""

MAX_USES = 4096
"""Endpoints in the report of one node."""

MAX_LIMITS = 2048
MAX_CELLS = 256
MAX_MEMBERS = 2048
MAX_PREFIXES = 64
MAX_GROUPS = 16
"""Groups of prompt parts in one datagram."""


def check_bounds(message: FleetNews) -> None:
    """Raise ``ValueError`` for a message that no node sends."""
    if message.node is not None:
        _check_node(message.node)
    cells: list[CellNews] = message.cells or []
    check_rows(cells, MAX_CELLS)
    for cell in cells:
        _check_uses(cell.uses)
        check_rows(cell.members or (), MAX_MEMBERS)
        check_names([cell.cell, cell.speaker, *(cell.members or ())])
    crashes: list[CrashNews] = message.crashes or []
    check_rows(crashes, MAX_CRASHES)
    for crash in crashes:
        check_rows(crash.prompts, MAX_PROMPTS)
        check_rows(crash.runs or (), MAX_PROMPTS)
        check_names([crash.endpoint, *(crash.runs or ())])
        _check_prompts(crash.prompts)
        _check_number(crash.age_ms, math.inf)
    if message.served is not None:
        _check_served(message.served)
    check_rows(message.quarantined or (), MAX_GROUPS)
    _check_prompts(message.quarantined or ())


def check_rows(rows: Sized, most: int) -> None:
    """Raise ``ValueError`` for more rows than allowed."""
    if len(rows) > most:
        raise ValueError(f"{len(rows)} rows; allowed: {most}")


def check_names(names: Iterable[str | None]) -> None:
    """Raise ``ValueError`` for a name that is too long."""
    if any(name is not None and len(name) > MAX_NAME for name in names):
        raise ValueError(f"a name over {MAX_NAME} characters")


def _check_node(node: LoadNews) -> None:
    check_names([node.node, node.callers_address, node.nodes_address, node.domain])
    _check_uses(node.uses)
    _check_number(node.waiting_items or 0, math.inf)
    changed = node.changed or {}
    check_rows(changed, MAX_PREFIXES)
    check_names(changed)
    limits = node.limits or []
    check_rows(limits, MAX_LIMITS)
    check_names(limit.endpoint for limit in limits)
    for limit in limits:
        _check_number(limit.said_ms, math.inf)
        _check_number(limit.sent, math.inf)
        if limit.per_s is not None:
            _check_number(limit.per_s)


def _check_uses(uses: list[EndpointUse]) -> None:
    check_rows(uses, MAX_USES)
    for use in uses:
        # One expression: each report of a busy node has hundreds of these rows.
        if (
            len(use.endpoint) > MAX_NAME
            or not 0 <= use.online <= MAX_COUNT
            or not 0 <= use.batch <= MAX_COUNT
        ):
            raise ValueError(f"{use.online} and {use.batch} requests at {use.endpoint[:MAX_NAME]}")


def _check_served(served: ServedNews) -> None:
    check_rows(served.prompts, MAX_PROMPTS)
    check_rows(served.parts_before, MAX_PROMPTS)
    check_names(served.parts_before)
    _check_prompts([prompt.parts for prompt in served.prompts])
    for prompt in served.prompts:
        _check_number(prompt.age_ms, math.inf)


def _check_prompts(prompts: Iterable[list[str]]) -> None:
    for prompt in prompts:
        check_rows(prompt, MAX_PARTS)
        check_names(prompt)


def _check_number(value: float, most: float = MAX_COUNT) -> None:
    """Raise ``ValueError`` for a number that is negative, too large or none."""
    if not 0 <= value <= most:
        raise ValueError(f"the number {value}; allowed: 0 to {most}")
