"""Steps for rate-limited logging."""

import json
import logging
import os
import time
from typing import Any

from behave import then, when
from hypothesis import given as any_of
from hypothesis import strategies as st

from parsleyrouter.process.logs import (
    BURST_S,
    LINES_PER_S,
    MAX_QUEUED_LINES,
    BoundedLogHandler,
    LogRateLimit,
)


@when("many more lines are logged than the rate limit allows")
def step_many(context: Any) -> None:
    @any_of(st.lists(st.tuples(st.sampled_from([20, 30, 40]), st.floats(0, 0.01)), max_size=3000))
    def check(lines: list[tuple[int, float]]) -> None:
        rate_limit = LogRateLimit({logging.INFO: 10.0, logging.WARNING: 10.0})
        now, taken = 0.0, {True: 0, False: 0}
        for level, gap_s in lines:
            now += gap_s
            taken[level > logging.INFO] += rate_limit.allow(level, now)
        max_lines = 10.0 * (now + BURST_S) + 1
        assert max(taken.values()) <= max_lines
        failures = sum(level > logging.INFO for level, _ in lines)
        assert taken[True] >= min(failures, int(10.0 * BURST_S))

    context.check = check


@then("the number of lines is bounded and failures are still logged")
def step_bounded(context: Any) -> None:
    context.check()


def _handler(descriptor: int, rate_limit: LogRateLimit) -> BoundedLogHandler:
    handler = BoundedLogHandler(descriptor, rate_limit)
    handler.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
    return handler


def _record(level: int, message: str) -> logging.LogRecord:
    return logging.makeLogRecord({"levelno": level, "msg": message, "created": time.time()})


@when("lines are logged after some were dropped")
def step_dropped(context: Any) -> None:
    read, write = os.pipe()
    handler = _handler(write, LogRateLimit({logging.INFO: 0.5, logging.WARNING: 100.0}))
    for _ in range(5):
        handler.emit(_record(logging.INFO, "success"))
    handler.emit(_record(logging.WARNING, "failure"))
    os.close(write)
    with os.fdopen(read) as lines:
        context.lines = [json.loads(line)["message"] for line in lines]


@then("a line reports how many were dropped")
def step_said(context: Any) -> None:
    assert context.lines == ["success"] * 2 + ["log lines dropped", "failure"]


@when("nobody reads the log while lines are written")
def step_stalled(context: Any) -> None:
    read, write = os.pipe()
    handler = _handler(write, LogRateLimit(dict.fromkeys(LINES_PER_S, 1e9)))
    started_s = time.monotonic()
    for number in range(MAX_QUEUED_LINES * 3):
        handler.emit(_record(logging.INFO, f"line {number} " + "x" * 200))
    context.took_s = time.monotonic() - started_s
    context.kept = len(handler.queued_lines)
    os.close(read)
    os.close(write)


@then("the writer continues and queues a bounded number of lines")
def step_goes_on(context: Any) -> None:
    assert context.kept <= MAX_QUEUED_LINES
    assert context.took_s < 10.0
