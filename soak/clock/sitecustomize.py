"""Shift the time of day of a process by the seconds in a file, not its monotonic clock."""

import contextlib
import os
import time
from pathlib import Path

REREAD_S = 0.05
"""Pause between looks at the file, short against the seconds by which clocks are shifted."""

_path = Path(os.environ.get("PARSLEY_SOAK_CLOCK", ""))
_true_time, _true_time_ns = time.time, time.time_ns
_state = {"read_s": 0.0, "offset_s": 0.0}


def _offset_s() -> float:
    now = time.monotonic()
    if now - _state["read_s"] > REREAD_S:
        _state["read_s"] = now
        # The file is missing before the first fault, and may be being written.
        with contextlib.suppress(OSError, ValueError):
            _state["offset_s"] = float(_path.read_text() or 0)
    return _state["offset_s"]


if os.environ.get("PARSLEY_SOAK_CLOCK"):
    time.time = lambda: _true_time() + _offset_s()
    time.time_ns = lambda: _true_time_ns() + int(_offset_s() * 1e9)
