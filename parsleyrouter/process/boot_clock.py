"""The clock that counts the time for which the machine was suspended."""

import time

__all__ = ["boot_now_s"]


def boot_now_s() -> float:
    """Return the seconds since the machine started, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
