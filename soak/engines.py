"""Engines that run as processes: started, registered, frozen and killed by a soak."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from parsleyrouter.standins.ports import free_address
from soak.engine_program import RUNS_SUFFIX, EngineMode
from soak.journal import Run

if TYPE_CHECKING:
    from soak.world import World

__all__ = ["EngineProcess", "recorded_runs"]

ROOT = Path(__file__).resolve().parents[1]
START_S = 15.0
"""Time in which an engine must listen, which may be frozen meanwhile."""

POLL_S = 0.05


class EngineProcess:
    """One engine process and its registration."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.address = free_address()
        self.born = 0
        self.starting = False
        self.process: subprocess.Popen[bytes] | None = None

    def set_mode(self, mode: EngineMode) -> None:
        """Set how the engine treats further requests."""
        path = self.world.folder / f"{self.name}.mode"
        written = path.with_suffix(".new")
        written.write_bytes(msgspec.json.encode(mode))
        written.replace(path)

    async def start(self, born: int) -> None:
        """Start the process, wait until it listens and register it."""
        self.born, self.starting = born, True
        self.set_mode(EngineMode())
        arguments = [self.name, "engines", self.address, str(born), str(self.world.folder)]
        with (self.world.folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "soak.engine_program", *arguments],
                cwd=ROOT,
                env=os.environ | {"PYTHONPATH": str(ROOT)},
                stdout=output,
                stderr=output,
            )
        until_s = self.world.loop.now() + START_S
        while not await self.world.is_listening(self.address):
            if self.process.poll() is not None or self.world.loop.now() > until_s:
                raise RuntimeError(f"{self.name} does not listen at {self.address}")
            await self.world.loop.sleep(POLL_S)
        self.starting = False
        self.announce()

    def announce(self) -> None:
        """Write the registration."""
        entry = {"service": "engines", "address": self.address, "zone": "north", "slots": 4}
        state = {"state": "ready", "sequence": next(self.world.numbers), "born": self.born}
        self.world.store.put_json(f"servers/{self.name}", entry | state)

    def signal(self, number: int) -> None:
        """Send a signal to this process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end; the kernel resets its connections."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


def recorded_runs(folder: Path) -> list[Run]:
    """Return the runs of all engine processes."""
    lines = [line for path in folder.glob(f"*{RUNS_SUFFIX}") for line in path.open("rb")]
    return [msgspec.json.decode(line, type=Run) for line in lines]
