"""CPU time and memory of a process, from /proc."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KB_PER_MB = 1024


def processor_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process, or 0 if it is unknown."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0
