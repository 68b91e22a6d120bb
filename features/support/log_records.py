"""Collect the log records of one logger during a test."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any


class RecordHandler(logging.Handler):
    """Collect log records."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[Any] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Append a record."""
        self.records.append(record)


@contextmanager
def collected_logs(name: str) -> Iterator[list[Any]]:
    """Collect the records that a logger emits at level info or above."""
    handler, logger = RecordHandler(), logging.getLogger(name)
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield handler.records
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
