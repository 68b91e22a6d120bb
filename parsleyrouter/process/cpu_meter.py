"""Measure the CPU usage of a process as a share of one core; performs no I/O."""

__all__ = ["CpuMeter"]

SMOOTHING_S = 2.0


class CpuMeter:
    """Smooth CPU usage over about two seconds; one event loop uses at most one core."""

    def __init__(self, now: float, cpu_s: float) -> None:
        self.now = now
        self.cpu_s = cpu_s
        self.share = 0.0

    def read(self, now: float, cpu_s: float) -> float:
        """Update with the time and the CPU time used so far; return the smoothed usage, 0 to 1."""
        elapsed_s = now - self.now
        if elapsed_s <= 0:
            return self.share
        latest = min(1.0, max(0.0, (cpu_s - self.cpu_s) / elapsed_s))
        weight = min(1.0, elapsed_s / SMOOTHING_S)
        self.share += weight * (latest - self.share)
        self.now, self.cpu_s = now, cpu_s
        return self.share
