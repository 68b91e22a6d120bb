"""Front processes of a soak: started, signalled and restarted as a supervisor would."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from features.support.processes import free_address
from parsleyrouter.process.loop import Loop
from soak.journal import Journal

__all__ = ["GRACE_S", "Node"]

ROOT = Path(__file__).resolve().parents[1]
GRACE_S = 8.0
CHECK_S = 0.05
HANDLERS_S = 3.0
"""Time after its start in which a process may still end at a signal like any program."""

CALM_S = 3.0
"""How long nothing may have harmed a node before its promises with time limits count."""


class Node:
    """One front process and what has been done to it."""

    def __init__(
        self, loop: Loop, name: str, domain: str, store: str, folder: Path, journal: Journal
    ) -> None:
        self.loop = loop
        self.name = name
        self.journal = journal
        self.address = free_address()
        self.locate = free_address()
        self.ready = free_address()
        self.clock = folder / f"{name}.clock"
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(self._toml(domain, store, free_address()))
        self.process: subprocess.Popen[bytes] | None = None
        self.wanted = True
        self.harmed_s = 0.0
        """When something last harmed the node or its links; in the future while it goes on."""
        self.stopping = False
        self.expected_end = False
        self.started_s = 0.0
        self.served_s = 0.0
        self.early_hang_up = False
        """The latest hang-up came before the program could take any signal."""

    def _toml(self, domain: str, store: str, nodes: str) -> str:
        ip, _, port = nodes.partition(":")
        return (
            f'node = "{self.name}"\nip = "{ip}"\nzone = "{domain}"\n'
            f"internalPorts = [{port}, {port}]\n"
            f'[listen]\nfront = "{self.address}"\nready = "{self.ready}"\n'
            f'directory = "{self.locate}"\n'
            f'[platform]\naddress = "{store}"\n[bounds]\ngraceS = {GRACE_S}\n'
        )

    def start(self) -> None:
        """Start the process."""
        environment = os.environ | {
            "PARSLEYROUTER_CONFIG": str(self.settings),
            "PARSLEY_SOAK_CLOCK": str(self.clock),
            "PYTHONPATH": f"{ROOT}:{ROOT / 'soak' / 'clock'}",
        }
        command = [sys.executable, "-m", "parsleyrouter.commands.front"]
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.expected_end = self.stopping = False
        self.started_s = self.loop.now()

    @property
    def alive(self) -> bool:
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to this process, if it runs."""
        if self.alive:
            assert self.process is not None
            os.kill(self.process.pid, number)

    def hang_up(self) -> None:
        """Tell the process that its settings file has changed."""
        self.early_hang_up = not self._in_control()
        self.signal(signal.SIGHUP)

    def _in_control(self) -> bool:
        """Tell whether the program has run its first line, before which Python starts up."""
        if not self.alive:
            return False
        assert self.process is not None
        rows = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        masks = [row.split()[1] for row in rows if row.startswith(("SigIgn", "SigCgt"))]
        return any(int(mask, 16) & 1 << (signal.SIGHUP - 1) for mask in masks)

    def stop(self) -> None:
        """Ask for a planned stop."""
        self.expected_end = self.stopping = True
        self.served_s = self.loop.now() - self.started_s
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once."""
        self.expected_end, self.stopping = True, False
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def harm_until(self, until_s: float) -> None:
        """Note that the node is harmed until a time."""
        self.harmed_s = max(self.harmed_s, until_s)

    def calm_since(self, at_s: float) -> bool:
        """Tell whether nothing has harmed the node for a while before a time."""
        return self.harmed_s < at_s - CALM_S

    async def supervise(self, until_s: float) -> None:
        """Start the process again whenever it has ended; report ends that nothing explains."""
        while self.loop.now() < until_s:
            await self.loop.sleep(CHECK_S)
            if self.wanted and not self.alive:
                self._check_end()
                self.start()
                self.harm_until(self.loop.now() + 1.0)

    def _check_end(self) -> None:
        code = self.process.poll() if self.process is not None else None
        if code == -signal.SIGHUP and self.early_hang_up:
            return
        if not self.expected_end:
            self.journal.ends.append(f"{self.name} ended by itself with {code}")
        elif self.stopping and code != 0 and self.served_s > HANDLERS_S:
            self.journal.ends.append(f"{self.name} ended a planned stop with {code}")

    def versions(self) -> list[int]:
        """Return the versions of the routes that each start took, 0 between starts."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if line.startswith("{"):
                row = json.loads(line) if line.endswith("}") else {}
                if row.get("message") == "started":
                    found.append(0)
                elif row.get("message") == "routes in force":
                    found.append(row["version"])
        return found
