"""Tell how busy a process is by the share of a core that it uses. Pure."""

__all__ = ["CpuMeter"]

SMOOTHING_S = 2.0


class CpuMeter:
    """Average the share over about two seconds; one loop cannot use more than one core."""

    def __init__(self, now: float, cpu_s: float) -> None:
        self.now = now
        self.cpu_s = cpu_s
        self.share = 0.0

    def read(self, now: float, cpu_s: float) -> float:
        """Take the time and the processor time used so far; return the share, 0 to 1."""
        passed_s = now - self.now
        if passed_s <= 0:
            return self.share
        latest = min(1.0, max(0.0, (cpu_s - self.cpu_s) / passed_s))
        weight = min(1.0, passed_s / SMOOTHING_S)
        self.share += weight * (latest - self.share)
        self.now, self.cpu_s = now, cpu_s
        return self.share
