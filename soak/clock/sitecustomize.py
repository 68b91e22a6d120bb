"""Shift the wall clock of a process, not its monotonic clock, by the seconds in a file."""

import contextlib
import os
import time
from pathlib import Path

READ_INTERVAL_S = 0.05
"""Interval of reads of the file, short compared with shifts of seconds."""

_path = Path(os.environ.get("PARSLEY_SOAK_CLOCK", ""))
_real_time, _real_time_ns = time.time, time.time_ns
_state = {"read_s": 0.0, "offset_s": 0.0}


def _offset_s() -> float:
    now = time.monotonic()
    if now - _state["read_s"] > READ_INTERVAL_S:
        _state["read_s"] = now
        # The file is missing before the first fault and may be partly written.
        with contextlib.suppress(OSError, ValueError):
            _state["offset_s"] = float(_path.read_text() or 0)
    return _state["offset_s"]


if os.environ.get("PARSLEY_SOAK_CLOCK"):
    time.time = lambda: _real_time() + _offset_s()
    time.time_ns = lambda: _real_time_ns() + int(_offset_s() * 1e9)
