"""Processes of the tests: start, stop, pause, kill, and read their logs."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

START_LIMIT_S = 30.0
STOP_LIMIT_S = 60.0
POLL_S = 0.02
LOG_TAIL_LINES = 30


def binary(name: str) -> str:
    """Return the path of an installed binary."""
    return str(Path(sys.executable).parent / name)


def wait_until(condition: Callable[[], Any], what: str, limit_s: float = START_LIMIT_S) -> Any:
    """Wait for a true result of the condition and return it."""
    deadline = time.monotonic() + limit_s
    while True:
        found = condition()
        if found:
            return found
        assert time.monotonic() < deadline, f"not within {limit_s:g} s: {what}"
        time.sleep(POLL_S)


class Process:
    """One process, which can be restarted with the same arguments."""

    def __init__(self, name: str, command: list[str], folder: Path) -> None:
        self.name = name
        self.command = command
        self.log = folder / f"{name}.log"
        self.popen: subprocess.Popen[bytes] | None = None
        self.addresses: dict[str, str] = {}
        self.log_offset = 0

    @property
    def http(self) -> str:
        """Return the HTTP address."""
        return self.addresses["http"]

    @property
    def alive(self) -> bool:
        """Tell whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def start(self) -> "Process":
        """Start without waiting."""
        assert not self.alive, f"{self.name} runs already"
        self.log_offset = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as output:
            self.popen = subprocess.Popen(self.command, stdout=output, stderr=output)
        return self

    def wait_ready(self) -> "Process":
        """Wait for the log line with the addresses."""
        wait_until(self._read_ready, f"{self.name} serves\n{self.log_tail()}")
        return self

    def kill(self) -> None:
        """Kill without notice, as the loss of a VM does."""
        if self.alive:
            self._signal(signal.SIGKILL)
            self.wait()

    def terminate(self) -> None:
        """Request a graceful shutdown without waiting for the end."""
        self._signal(signal.SIGTERM)

    def stop(self) -> int:
        """Shut down gracefully and return the exit code."""
        self.terminate()
        return self.wait()

    def pause(self) -> None:
        """Pause the process."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the paused process."""
        self._signal(signal.SIGCONT)

    def wait(self, limit_s: float = STOP_LIMIT_S) -> int:
        """Wait for the end and return the exit code."""
        assert self.popen is not None
        return self.popen.wait(limit_s)

    def restart(self) -> "Process":
        """Start again after the end and wait until ready."""
        return self.start().wait_ready()

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the JSON lines logged since the last start."""
        if not self.log.exists():
            return []
        lines = self.log.read_bytes()[self.log_offset :].decode(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]

    def log_tail(self) -> str:
        """Return the last lines of the log."""
        if not self.log.exists():
            return ""
        lines = self.log.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:]
        return f"--- {self.name}\n" + "\n".join(lines)

    def _read_ready(self) -> bool:
        assert self.alive, f"{self.name} ended\n{self.log_tail()}"
        for line in self.log_lines():
            if line.get("message") == "ready" and "addresses" in line:
                self.addresses = dict(line["addresses"])
                return True
        return False

    def _signal(self, number: int) -> None:
        if self.alive:
            assert self.popen is not None
            os.kill(self.popen.pid, number)
