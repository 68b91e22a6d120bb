"""Front processes of a soak: started, signalled and restarted."""

import json
import math
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from parsleyrouter.process.loop import Loop
from parsleyrouter.process.setting_checks import EXIT_INVALID_SETTING
from parsleyrouter.standins.ports import free_address
from soak.journal import Journal

__all__ = ["GRACE_S", "REVOKE_S", "Node"]

ROOT = Path(__file__).resolve().parents[1]
SOURCES = Path(os.environ.get("PARSLEY_SOAK_SOURCES", ROOT))
"""The checkout whose processes are played; another one shows where a failure began."""

GRACE_S = 8.0
CHECK_S = 0.05
SIGNAL_SETUP_S = 3.0
"""Time after its start in which a signal may still end a process by default action."""

START_S = 3.0
"""Time from the start of a process in which it may read its settings, on a busy machine."""

UNDISTURBED_S = 3.0
"""Undisturbed time of a node before guarantees with time limits are checked on it."""

REVOKE_S = 5.0
"""Time after its removal from which on no node may accept a key."""


def _two_ports() -> tuple[str, int]:
    """Return an address and the first of two ports that follow each other, both free."""
    ip, _, last = free_address().partition(":")
    while True:
        _, _, port = free_address().partition(":")
        if int(port) == int(last) + 1:
            return ip, int(last)
        last = port


class Node:
    """One front process and the disturbances applied to it."""

    def __init__(
        self, loop: Loop, name: str, domain: str, store: str, folder: Path, journal: Journal
    ) -> None:
        self.loop = loop
        self.name = name
        self.journal = journal
        self.address = free_address()
        self.directory = free_address()
        self.ready = free_address()
        self.clock = folder / f"{name}.clock"
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.toml"
        self.write_settings(self._toml(domain, store))
        self.process: subprocess.Popen[bytes] | None = None
        self.auto_restart = True
        self.disturbed_until_s = 0.0
        """End of the latest disturbance of the node or its links; in the future during one."""
        self.cut_off: list[tuple[float, float]] = []
        """When the node was cut off from other nodes or the store, or did not run."""
        self.disturbances: list[tuple[float, float]] = []
        """Begin and end of each disturbance of the node, its links or what it depends on."""
        self.interruptions_s: list[float] = []
        """When the process was started, frozen or resumed."""
        self.stops_s: list[float] = []
        """When graceful shutdowns began that the program handled."""
        self.stopping = False
        self.expected_end = False
        self.started_s = 0.0
        self.served_s = 0.0
        self.invalid_s = (math.inf, -math.inf)
        """Begin and end of the latest time with settings that a starting process rejects."""
        self.early_sighup = False
        """The latest SIGHUP was sent before the program handled signals."""

    def write_settings(self, text: str) -> None:
        """Replace the settings file at once, so that a starting process reads a complete one."""
        written = self.settings.with_suffix(".new")
        written.write_text(text)
        written.replace(self.settings)

    @contextmanager
    def invalid_settings(self, text: str) -> Iterator[None]:
        """Write settings that a starting process rejects, and note for how long they stand."""
        begin_s = self.loop.now()
        self.write_settings(text)
        self.invalid_s = (begin_s, math.inf)
        yield
        self.invalid_s = (begin_s, self.loop.now())

    def _toml(self, domain: str, store: str) -> str:
        ip, port = _two_ports()
        return (
            f'node = "{self.name}"\nip = "{ip}"\nzone = "{domain}"\n'
            f"internalPorts = [{port}, {port + 1}]\n"
            f'[listen]\nfront = "{self.address}"\nready = "{self.ready}"\n'
            f'directory = "{self.directory}"\n'
            f'[platform]\naddress = "{store}"\n[bounds]\ngraceS = {GRACE_S}\n'
            f"strictRevoke = true\nrevokeMs = {REVOKE_S * 1000:g}\n"
        )

    def start(self) -> None:
        """Start the process."""
        environment = os.environ | {
            "PARSLEYROUTER_CONFIG": str(self.settings),
            "PARSLEY_SOAK_CLOCK": str(self.clock),
            "PYTHONPATH": f"{SOURCES}:{ROOT / 'soak' / 'clock'}",
        }
        command = [sys.executable, "-m", "parsleyrouter.commands.front"]
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=SOURCES, env=environment, stdout=output, stderr=output
            )
        self.expected_end = self.stopping = False
        self.started_s = self.loop.now()
        self.interruptions_s.append(self.started_s)

    @property
    def alive(self) -> bool:
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to this process, if it runs."""
        if self.alive:
            assert self.process is not None
            os.kill(self.process.pid, number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.interruptions_s.append(self.loop.now())

    def send_sighup(self) -> None:
        """Send SIGHUP and note whether the process handles it."""
        self.early_sighup = not self._handles_sighup()
        self.signal(signal.SIGHUP)

    def _handles_sighup(self) -> bool:
        """Tell whether the process ignores or catches SIGHUP, as from its first line on."""
        if not self.alive:
            return False
        assert self.process is not None
        rows = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        masks = [row.split()[1] for row in rows if row.startswith(("SigIgn", "SigCgt"))]
        return any(int(mask, 16) & 1 << (signal.SIGHUP - 1) for mask in masks)

    def stop(self) -> None:
        """Request a graceful shutdown."""
        self.expected_end = self.stopping = True
        self.served_s = self.loop.now() - self.started_s
        if self.served_s > SIGNAL_SETUP_S:
            self.stops_s.append(self.loop.now())
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.expected_end, self.stopping = True, False
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def mark_disturbed(self, until_s: float, *, in_touch: bool = False) -> None:
        """Note that the node is disturbed until a time, and whether other nodes reach it."""
        self.disturbed_until_s = max(self.disturbed_until_s, until_s)
        self.disturbances.append((self.loop.now(), until_s))
        if not in_touch:
            self.cut_off.append((self.loop.now(), until_s))

    def in_touch_between(self, from_s: float, until_s: float) -> bool:
        """Tell whether other nodes and the store could reach the node all this time."""
        return all(end_s < from_s or begin_s > until_s for begin_s, end_s in self.cut_off)

    def undisturbed_between(self, from_s: float, until_s: float) -> bool:
        """Tell whether the node was undisturbed all this time and ``UNDISTURBED_S`` before."""
        from_s -= UNDISTURBED_S
        return all(end_s < from_s or begin_s > until_s for begin_s, end_s in self.disturbances)

    def undisturbed_since(self, at_s: float) -> bool:
        """Tell whether the node was undisturbed for ``UNDISTURBED_S`` before a time."""
        return self.disturbed_until_s < at_s - UNDISTURBED_S

    async def supervise(self, until_s: float) -> None:
        """Restart the process whenever it has ended; record unexplained ends."""
        while self.loop.now() < until_s:
            await self.loop.sleep(CHECK_S)
            if self.auto_restart and not self.alive:
                self._check_end()
                self.start()
                self.mark_disturbed(self.loop.now() + 1.0)

    def _check_end(self) -> None:
        code = self.process.poll() if self.process is not None else None
        if code == -signal.SIGHUP and self.early_sighup:
            return
        begin_s, end_s = self.invalid_s
        if code == EXIT_INVALID_SETTING and begin_s - START_S <= self.started_s <= end_s:
            return
        if not self.expected_end:
            self.journal.ends.append(f"{self.name} ended by itself with {code}")
        elif self.stopping and code != 0 and self.served_s > SIGNAL_SETUP_S:
            self.journal.ends.append(f"{self.name} ended a graceful shutdown with {code}")

    def rows(self) -> list[dict[str, Any]]:
        """Return the lines of the log that are complete."""
        lines = self.log.read_text(errors="replace").splitlines()
        return [json.loads(one) for one in lines if one.startswith("{") and one.endswith("}")]

    def versions(self) -> list[int]:
        """Return the versions of applied routes from the log, with a 0 at each start."""
        found = []
        for row in self.rows():
            if row.get("message") == "started":
                found.append(0)
            elif row.get("message") == "routes in force":
                found.append(row["version"])
        return found
