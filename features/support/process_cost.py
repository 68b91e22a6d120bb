"""What a process has cost so far, from /proc."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KB_PER_MB = 1024


def processor_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0
