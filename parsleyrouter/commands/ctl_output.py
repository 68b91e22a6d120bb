"""Output of parsleyctl: tables for people, JSON for programs."""

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

__all__ = ["cell_text", "console", "show_json", "show_lines", "show_table", "utc_text"]

MAX_CELL_CHARACTERS = 60

console = Console(soft_wrap=True, highlight=False)


def show_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def show_table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print a table without borders."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    console.print(table, markup=False)


def show_lines(lines: Iterable[str]) -> None:
    """Print lines without interpreting markup."""
    for line in lines:
        console.print(line, markup=False)


def cell_text(value: Any) -> str:
    """Return a value as JSON, truncated to the width of a table cell."""
    if value is None:
        return "-"
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= MAX_CELL_CHARACTERS else text[: MAX_CELL_CHARACTERS - 1] + "…"


def utc_text(seconds: float) -> str:
    """Return a time in seconds since 1970 as UTC date and time."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
