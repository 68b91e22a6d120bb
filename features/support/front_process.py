"""A front process of its own, beside a store and endpoints on the loop of the test."""

import os
import subprocess
import sys
from pathlib import Path

from features.support.front_fleet import FrontFleet
from parsleyrouter.ids import Address
from parsleyrouter.standins.ports import free_address

__all__ = ["FrontProcess", "Usage"]

ROOT = Path(__file__).resolve().parents[2]
LOG_TAIL_BYTES = 2000
STOP_LIMIT_S = 15.0


class Usage:
    """Memory and sockets of a process, from /proc."""

    def __init__(self, pid: int) -> None:
        self.folder = Path(f"/proc/{pid}")
        self.max_sockets = 0

    def peak_memory_bytes(self) -> int:
        """Return the largest resident memory that the process ever had."""
        for line in (self.folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise AssertionError("the process has ended")

    def count_sockets(self) -> None:
        """Count the open sockets and keep the largest number."""
        links = []
        for entry in (self.folder / "fd").iterdir():
            try:
                links.append(os.readlink(entry))
            except FileNotFoundError:
                # Closed since the folder was listed.
                continue
        self.max_sockets = max(self.max_sockets, sum(one.startswith("socket:") for one in links))


class FrontProcess:
    """Write settings, start ``parsley-front`` and wait until it serves."""

    def __init__(self, fleet: FrontFleet, folder: Path, *, memory_mb: int, descriptors: int):
        self.fleet = fleet
        self.callers, self.ready, self.locate = free_address(), free_address(), free_address()
        self.metrics = free_address()
        self.nodes, self.limits = _neighbouring_addresses()
        self.log = folder / "front.log"
        self.settings = folder / "front.toml"
        ip, _, port = self.nodes.partition(":")
        last_port = self.limits.rpartition(":")[2]
        self.settings.write_text(
            f'node = "front-0"\nip = "{ip}"\nzone = "z1"\ninternalPorts = [{port}, {last_port}]\n'
            f'[listen]\nfront = "{self.callers}"\nready = "{self.ready}"\n'
            f'directory = "{self.locate}"\n[platform]\naddress = "{fleet.store.address}"\n'
            f"[limits]\nmemoryMb = {memory_mb}\nmaxFds = {descriptors}\n"
        )

    def start(self) -> "FrontProcess":
        """Start without waiting."""
        environment = os.environ | {
            "PARSLEYROUTER_CONFIG": str(self.settings),
            "PARSLEY_METRICS_PORT": self.metrics.rpartition(":")[2],
        }
        command = [sys.executable, "-m", "parsleyrouter.commands.front"]
        with self.log.open("ab") as output:
            self.popen = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.usage = Usage(self.popen.pid)
        return self

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.popen.poll() is None

    @property
    def metrics_address(self) -> Address:
        """Where the process serves its metrics."""
        return self.metrics

    def log_tail(self) -> str:
        """Return the end of the log."""
        return self.log.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")

    def kill(self) -> None:
        """End the process at once."""
        self.popen.kill()
        self.popen.wait(STOP_LIMIT_S)


def _neighbouring_addresses() -> tuple[Address, Address]:
    """Return two free addresses whose ports follow each other."""
    first, second = free_address(), free_address()
    while int(first.rpartition(":")[2]) + 1 != int(second.rpartition(":")[2]):
        first, second = second, free_address()
    return first, second
