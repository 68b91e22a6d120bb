"""Start the project's front processes as the deploy file says, beside the stand-ins."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from http1 import Reply, call
from runner import Runner
from store import Store

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "callers.example"
GRACE_S = 8
START_S = 15.0

BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Write what was sent, answered and run to ``record.txt`` of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.start_s = time.monotonic()

    def at(self, at_s: float) -> float:
        return at_s - self.start_s

    def write(self, text: str, at_s: float | None = None) -> None:
        at = self.at(time.monotonic() if at_s is None else at_s)
        self.file.write(f"{at:8.3f} {text}\n")
        self.file.flush()


def free_port(host: str) -> int:
    with socket.socket() as one:
        one.bind((host, 0))
        return int(one.getsockname()[1])


class Front:
    """One front process."""

    def __init__(self, name: str, host: str, store: str, folder: Path, memory_mb: int) -> None:
        self.name = name
        ports = [free_port(host) for _ in range(5)]
        self.callers, self.ready, self.directory = (f"{host}:{port}" for port in ports[:3])
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.toml"
        self.process: subprocess.Popen[bytes] | None = None
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["front"]
        self.command = role["run"].split()
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.environment = kept | {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PARSLEYROUTER_CONFIG": str(self.settings),
            "PARSLEY_METRICS_PORT": str(ports[4]),
        }
        self.settings.write_text(
            f'node = "{name}"\nrole = "front"\nmachineClass = "front"\n'
            f'serves = ["front", "directory"]\nip = "{host}"\nzone = "z1"\nregion = "r1"\n'
            f"internalPorts = [{ports[3]}, {ports[3]}]\nfirstStart = true\nlossCounts = false\n"
            f'[zones]\nz1 = "r1"\n'
            f'[listen]\nfront = "{self.callers}"\nready = "{self.ready}"\n'
            f'directory = "{self.directory}"\n'
            f"[limits]\ncpuShare = 0.537\ncores = 2\nmemoryMb = {memory_mb}\nmaxFds = 4100\n"
            f"[bounds]\ncontactMs = 3000\ndrainMs = 2000\ngraceS = {GRACE_S}\nlossSlackMs = 200\n"
            f"configApplyMs = 2000\nrecoverS = 12\nfinishS = 18\nstatusS = 120\nsettleMs = 1000\n"
            f'[platform]\naddress = "{store}"\nform = "kv"\nwritesPerS = 400\nreadsPerS = 2000\n'
            f"historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n"
        )

    def start(self) -> None:
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=self.environment, stdout=output, stderr=output
            )

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        if self.alive:
            assert self.process is not None
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        return (
            await call(self.ready, "GET", "/readiness", [("Host", "x")], timeout_s=1.0)
        ).status == 200

    async def until_ready(self) -> None:
        until_s = time.monotonic() + START_S
        while not await self.is_ready():
            if time.monotonic() > until_s or not self.alive:
                raise CannotRun(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)


class Fleet:
    """The store, runners and front processes of one case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.host = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.1"
        self.store = Store()
        self.fronts: list[Front] = []
        self.runners: dict[str, Runner] = {}
        self.version = 0
        self.numbers = iter(range(1, 1_000_000))

    def configure(self, routes: list[dict[str, Any]]) -> None:
        """Write a new version of the configuration as the operator."""
        self.version += 3
        common = {"host": HOST, "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0}
        names = sorted({route["service"] for route in routes})
        services = [
            {"name": one, "healthPath": "/health", "maxConnections": 300, "engine": {"slots": 8}}
            for one in names
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        table = [common | route for route in routes]
        body = {"version": self.version, "routes": table, "services": services, "limits": limits}
        self.store.put("op/config", body)
        self.record.write(f"operator: version {self.version}, routes {[r['name'] for r in routes]}")

    async def add_runner(self, service: str, name: str = "") -> Runner:
        name = name or f"i-{next(self.numbers):06x}"
        runner = self.runners[name] = Runner(self.store, name, service)
        await runner.start(self.host)
        return runner

    async def start(self, fronts: int, memory_mb: int = 300) -> None:
        """Start front processes and wait until they serve."""
        address = self.store.server.address
        for number in range(fronts):
            front = Front(f"front-{number + 1}", self.host, address, self.folder, memory_mb)
            self.fronts.append(front)
            front.start()
        for front in self.fronts:
            await front.until_ready()
        await asyncio.sleep(1.0)

    async def send(
        self,
        front: Front,
        target: str,
        attempt: str = "",
        deadline_ms: int = 5000,
        quiet: bool = False,
        tokens: str = "250,80",
    ) -> Reply:
        """Send one request for tokens on a new connection."""
        attempt = attempt or f"{random.getrandbits(64):016x}"
        lines = [
            ("Host", HOST),
            ("X-Attempt-Id", attempt),
            ("X-Model", "m"),
            ("X-Token-Usage", tokens),
            ("X-Prompt-Prefix", f"5c1e07a2:100,{attempt[:8]}:150"),
            ("X-Deadline-Ms", str(deadline_ms)),
        ]
        reply = await call(front.callers, "POST", target, lines, b"{}", deadline_ms / 1000 + 0.5)
        if not quiet:
            self.record.write(
                f"request {attempt} {target} to {front.name}: sent {self.record.at(reply.sent_s):.3f}, "
                f"status {reply.status}, {len(reply.body)} bytes, "
                f"{'complete' if reply.complete else 'NOT COMPLETE ' + reply.error}"
            )
        return reply

    async def resolve(self, front: Front) -> tuple[list[str], float]:
        """Ask a node where to connect; return the addresses and their lifetime in seconds."""
        query = f"/resolve?name={HOST}&region=r1&zone=z1"
        reply = await call(front.directory, "GET", query, [("Host", "directory")], timeout_s=1.0)
        if reply.status != 200:
            raise CannotRun(f"{front.name} answers /resolve with {reply.status}")
        body = json.loads(reply.body)
        self.record.write(f"/resolve at {front.name}: {reply.body.decode()}")
        return body["addresses"], float(body["ttlS"])

    async def submit(
        self, front: Front, job: str, prefix: str, items: list[dict[str, Any]]
    ) -> Reply:
        """Submit a batch job."""
        body = json.dumps({"items": items}).encode()
        lines = [("Host", HOST), ("X-Attempt-Id", job), ("Content-Type", "application/json")]
        reply = await call(front.callers, "POST", f"{prefix}{job[:6]}", lines, body)
        self.record.write(f"job {job} of {len(items)} items to {front.name}: status {reply.status}")
        return reply

    async def read(self, front: Front, job: str, after: int = 0, wait_ms: int = 1000) -> Reply:
        lines = [("Host", HOST), ("X-Wait-Ms", str(wait_ms))]
        reply = await call(front.callers, "GET", f"/lots/{job}?after={after}", lines)
        body = json.loads(reply.body) if reply.status == 200 and reply.complete else {}
        listed = [(one["id"], one["state"]) for one in body.get("results", [])]
        self.record.write(
            f"read of {job} after {after} at {front.name}: status {reply.status}, results {listed}"
        )
        return reply

    def record_runs(self) -> None:
        for runner in self.runners.values():
            for run in runner.runs:
                self.record.write(
                    f"run of {run.attempt} {run.target} at {runner.name}: {run.end}, "
                    f"{max(run.ended_s, run.at_s) - run.at_s:.3f} s",
                    run.at_s,
                )

    def end(self) -> None:
        """End every process that this case started, and remove its temporary folder."""
        for front in self.fronts:
            if front.alive:
                assert front.process is not None
                front.process.kill()
                front.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def item(number: int, prefix: str, **headers: str) -> dict[str, Any]:
    """Return one item of a batch job."""
    name = f"{random.getrandbits(64):016x}"
    return {
        "id": name,
        "path": f"{prefix}{number}/{name[:4]}",
        "headers": {
            "X-Model": "m",
            "X-Token-Usage": "250,80",
            "X-Prompt-Prefix": f"9c2e41:100,{name[:6]}:150",
        }
        | headers,
        "body": b64encode(name.encode()).decode(),
        "tokens": 330,
    }


def play(case: Callable[[Fleet], Awaitable[list[str]]], folder: str) -> None:
    """Play a case; exit with 1 if it returns what broke the rule, 0 if nothing, 2 if it cannot run."""

    async def run() -> int:
        fleet = Fleet(Path(folder))
        fleet.record.write(f"trouble: {'yes' if TROUBLE else 'no'}")
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, sys.exit, NOT_RUN)
        try:
            await fleet.store.start(fleet.host)
            async with asyncio.timeout(112.0):
                broken = await case(fleet)
            fleet.record_runs()
            for line in broken:
                fleet.record.write(f"BROKEN: {line}")
            text = f"the rule was broken: {broken[0]}" if broken else "the rule held"
            fleet.record.write(text)
            print(text)
            return BROKEN if broken else HELD
        except (CannotRun, TimeoutError, OSError) as error:
            fleet.record.write(f"could not run: {type(error).__name__} {error}")
            print(f"could not run: {error}")
            return NOT_RUN
        finally:
            fleet.end()

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)
