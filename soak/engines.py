"""Engines that run as processes: started, registered, frozen and killed by a soak."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from parsleyrouter.standins.ports import free_address
from soak.engine_program import (
    CRASH_EXIT,
    CRASHES_SUFFIX,
    REPEATS_SUFFIX,
    RUNS_SUFFIX,
    EngineMode,
)
from soak.journal import Absence, CarriedTwice, EndpointCrash, Run, RunEnd

if TYPE_CHECKING:
    from soak.world import World

__all__ = ["EngineProcess", "recorded_crashes", "recorded_repeats", "recorded_runs", "unix_ms"]

ROOT = Path(__file__).resolve().parents[1]
START_S = 15.0
"""Time in which an engine must listen, which may be frozen meanwhile."""

POLL_S = 0.05
CRASH_DOWN_S = 3.0
"""Time from a crash to the next start of the process."""


def unix_ms() -> int:
    """Return the time of day, which names the start of an endpoint."""
    return int(time.time() * 1000)


class EngineProcess:
    """One engine process and its registration."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.address = free_address()
        self.born = 0
        self.starting = False
        self.process: subprocess.Popen[bytes] | None = None
        self.mode = EngineMode()
        self.absence = Absence(self.name, 0.0)
        self.ended_s: dict[int, float] = {}
        """When each start ended."""

    def set_mode(self, **changes: Any) -> None:
        """Change how the engine treats further requests."""
        self.mode = msgspec.structs.replace(self.mode, **changes)
        path = self.world.folder / f"{self.name}.mode"
        written = path.with_suffix(".new")
        written.write_bytes(msgspec.json.encode(self.mode))
        written.replace(path)

    async def start(self) -> None:
        """Start the process, wait until it listens and register it."""
        self.born, self.starting = unix_ms(), True
        self.set_mode()
        arguments = [self.name, "engines", self.address, str(self.born), str(self.world.folder)]
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
            if self.process.poll() == CRASH_EXIT:
                break  # It has listened already: nodes still send to its address.
            if self.process.poll() is not None or self.world.loop.now() > until_s:
                raise RuntimeError(f"{self.name} does not listen at {self.address}")
            await self.world.loop.sleep(POLL_S)
        self.starting = False
        self.announce()
        self.absence.until_s = self.world.loop.now()

    async def supervise(self, until_s: float) -> None:
        """Start the process again after each crash; record ends that nothing explains."""
        while self.world.loop.now() < until_s:
            await self.world.loop.sleep(POLL_S)
            if self.starting or self.process is None or self.process.poll() is None:
                continue
            self.starting = True
            self._note_end()
            if self.process.returncode != CRASH_EXIT:
                ends = self.world.journal.ends
                ends.append(f"{self.name} ended by itself with {self.process.returncode}")
            await self.world.loop.sleep(CRASH_DOWN_S)
            await self.start()

    def _note_end(self) -> None:
        now = self.world.loop.now()
        self.ended_s[self.born] = now
        self.absence = Absence(self.name, now)
        self.world.journal.absences.append(self.absence)

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
            self._note_end()


def recorded_runs(engines: Iterable[EngineProcess], folder: Path) -> list[Run]:
    """Return the runs of engine processes; those that run at the end of a process end with it."""
    found: dict[tuple[str, str, float], Run] = {}
    for line in _lines(folder, RUNS_SUFFIX):
        run = msgspec.json.decode(line, type=Run)
        found[run.attempt, run.endpoint, run.began_s] = run
    ended_s = {(one.name, born): at_s for one in engines for born, at_s in one.ended_s.items()}
    for run in found.values():
        at_s = ended_s.get((run.endpoint, run.born))
        if run.end is None and at_s is not None:
            run.end, run.ended_s = RunEnd.CRASHED, at_s
    return list(found.values())


def recorded_crashes(folder: Path) -> list[EndpointCrash]:
    """Return the crashes of engine processes."""
    return [
        msgspec.json.decode(line, type=EndpointCrash) for line in _lines(folder, CRASHES_SUFFIX)
    ]


def recorded_repeats(folder: Path) -> list[CarriedTwice]:
    """Return the requests that came on connections that had carried their ids before."""
    return [msgspec.json.decode(line, type=CarriedTwice) for line in _lines(folder, REPEATS_SUFFIX)]


def _lines(folder: Path, suffix: str) -> list[bytes]:
    return [line for path in sorted(folder.glob(f"*{suffix}")) for line in path.open("rb")]
