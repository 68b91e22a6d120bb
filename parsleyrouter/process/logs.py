"""Rate-limited JSON-line logging that never blocks the process."""

import logging
import os
import select
import sys
import time
from collections import Counter, deque

from pythonjsonlogger.json import JsonFormatter

__all__ = ["BoundedLogHandler", "LogRateLimit", "start_logs"]

MAX_LINE_BYTES = 4000
"""A pipe that is ready accepts this much without blocking (PIPE_BUF, 4,096 on Linux)."""

MAX_QUEUED_LINES = 2000
"""Lines queued while the reader does not read."""

LINES_PER_S = {logging.INFO: 150.0, logging.WARNING: 150.0}
"""Lines per second by minimum level; failures have a limit of their own, so that successes cannot
crowd them out."""

BURST_S = 4.0
"""Seconds' worth of lines that may come in one burst."""


class LogRateLimit:
    """Decide which lines are written, by a leaky bucket per level; times are monotonic seconds."""

    def __init__(self, lines_per_s: dict[int, float] | None = None) -> None:
        self.rates = lines_per_s or LINES_PER_S
        self.full_at_s = dict.fromkeys(self.rates, 0.0)
        self.dropped: Counter[int] = Counter()

    def allow(self, level: int, now: float) -> bool:
        """Return whether a line may be written; one that may not is counted as dropped."""
        rate_level = max((one for one in self.rates if one <= level), default=min(self.rates))
        full_at_s = max(self.full_at_s[rate_level], now) + 1 / self.rates[rate_level]
        if full_at_s - now > BURST_S:
            self.dropped[rate_level] += 1
            return False
        self.full_at_s[rate_level] = full_at_s
        return True


class BoundedLogHandler(logging.Handler):
    """Write lines to a file descriptor without blocking; report how many were dropped."""

    def __init__(self, descriptor: int, rate_limit: LogRateLimit | None = None) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.rate_limit = rate_limit or LogRateLimit()
        self.queued_lines: deque[bytes] = deque()
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or queue it until the reader continues."""
        try:
            if not self.rate_limit.allow(record.levelno, time.monotonic()):
                return
            if self.rate_limit.dropped:
                self._queue(self._dropped_record(record))
            self._queue(record)
            self._write()
        except Exception:
            self.handleError(record)

    def _queue(self, record: logging.LogRecord) -> None:
        if len(self.queued_lines) >= MAX_QUEUED_LINES:
            self.rate_limit.dropped[record.levelno] += 1
            return
        line = self.format(record).encode()
        self.queued_lines.append(line[:MAX_LINE_BYTES] + b"\n")

    def _dropped_record(self, record: logging.LogRecord) -> logging.LogRecord:
        counts = {logging.getLevelName(level): n for level, n in self.rate_limit.dropped.items()}
        self.rate_limit.dropped.clear()
        values = {"name": __name__, "levelno": logging.WARNING, "levelname": "WARNING"}
        values |= {"msg": "log lines dropped", "created": record.created, "dropped": counts}
        return logging.makeLogRecord(values)

    def _write(self) -> None:
        while self.queued_lines and self.poll.poll(0):
            os.write(self.descriptor, self.queued_lines.popleft())


def start_logs(*, program: str, level: str = "INFO", output: int | None = None) -> None:
    """Log each record as one line of JSON, to standard error or another file descriptor."""
    formatter = JsonFormatter(
        "{asctime}{levelname}{name}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"program": program},
    )
    handler = BoundedLogHandler(sys.stderr.fileno() if output is None else output)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
