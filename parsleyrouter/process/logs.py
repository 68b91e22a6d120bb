"""JSON-line logs."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["start_logs"]


def start_logs(*, program: str, level: str = "INFO") -> None:
    """Write every log record to standard error as one JSON object a line."""
    formatter = JsonFormatter(
        "{asctime}{levelname}{name}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"program": program},
    )
    output = logging.StreamHandler(sys.stderr)
    output.setFormatter(formatter)
    logging.basicConfig(level=level.upper(), handlers=[output], force=True)
