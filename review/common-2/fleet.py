"""Front processes of a case, started with the run line of the deploy file, and its record."""

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
from pathlib import Path

from store import Store
from wire import call

ROOT = Path(__file__).resolve().parents[2]
START_LIMIT_S = 30.0
MAX_PORT_TRIES = 1000
HOST = "lots.example"
BOUNDS = """
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4.6
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoverS = 12
passMs = 120
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
ttl_max_s = 5
"""


class CaseFailed(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began_s = time.monotonic()

    def note(self, what: str, **fields: object) -> None:
        """Write one line."""
        at_s = time.monotonic() - self.began_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at_s:8.3f} {what} {text}\n")
        self.file.flush()


_used_ports: set[int] = set()


def free_ports(count: int) -> int:
    """Return the first of some neighbouring free ports outside those of outgoing connections."""
    for _ in range(MAX_PORT_TRIES):
        first = random.randrange(12000, 30000, 8)
        ports = range(first, first + count)
        if _used_ports.isdisjoint(ports) and all(map(_is_free, ports)):
            _used_ports.update(ports)
            return first
    raise CaseFailed("no free ports")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


class Node:
    """One front process."""

    def __init__(self, name: str, folder: Path, store_address: str, zone: str) -> None:
        self.name = name
        first = free_ports(6)
        self.address, self.ready = f"127.0.0.1:{first}", f"127.0.0.1:{first + 1}"
        self.directory = f"127.0.0.1:{first + 2}"
        self.metrics_port = first + 5
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.settings.write_text(
            f'node = "{name}"\nrole = "front"\nmachineClass = "front"\n'
            f'serves = ["front", "directory"]\nip = "127.0.0.1"\nzone = "{zone}"\nregion = "r"\n'
            f"internalPorts = [{first + 3}, {first + 4}]\nseeds = []\nfirstStart = true\n"
            f'lossCounts = false\ndiscovery = "platform"\nentry = "directory"\nheartbeatMs = 1200\n'
            f'[listen]\nfront = "{self.address}"\nready = "{self.ready}"\n'
            f'directory = "{self.directory}"\n[limits]\ncpuShare = 0.537\ncores = 2\n'
            f"memoryMb = 300\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n{BOUNDS}"
            f'[platform]\naddress = "{store_address}"\nform = "kv"\nwritesPerS = 400\n'
            f"readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n"
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process as the platform does."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["front"]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        kept |= {
            "PARSLEYROUTER_CONFIG": str(self.settings),
            "PARSLEY_METRICS_PORT": str(self.metrics_port),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                role["run"].split(" "), cwd=ROOT, env=kept, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ready(self) -> None:
        """Wait until the process is ready."""
        until_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < until_s:
            answer = await call(self.ready, "GET", "/readiness", {"Host": "ready"}, timeout_s=1.0)
            if answer is not None and answer.status == 200:
                return
            if self.process is not None and self.process.poll() is not None:
                raise CaseFailed(f"{self.name} ended: {self.log.read_text()[-500:]}")
            await asyncio.sleep(0.1)
        raise CaseFailed(f"{self.name} is not ready")

    async def wait_ended(self, limit_s: float) -> bool:
        """Wait until the process has ended; return whether it did."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            if self.process is None or self.process.poll() is not None:
                return True
            await asyncio.sleep(0.02)
        return False


class Fleet:
    """A store and some front processes in a temporary folder."""

    def __init__(self, count: int, record: Record) -> None:
        self.count = count
        self.record = record
        self.store = Store(record.note)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes: list[Node] = []

    async def start(self, config: dict) -> None:
        """Write the configuration, then start the store and all nodes."""
        await self.store.start()
        self.store.put("op/config", config)
        for number in range(self.count):
            zone = f"z{number % 2 + 1}"
            node = Node(f"front-{number}", self.folder, self.store.address, zone)
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            await node.wait_ready()

    def stop(self) -> None:
        """End all processes that were started, and keep their logs for a look if asked."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if "KEEP_LOGS" in os.environ:
            print(self.folder, file=sys.stderr)
            return
        shutil.rmtree(self.folder)


def configuration(version: int, routes: list[dict], **limits: int) -> dict:
    """Return a configuration for the given routes."""
    services = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 300,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        | limits,
    }


def batch_route(prefix: str = "/lot1/", service: str = "models", **more: object) -> dict:
    """Return a route for batch jobs."""
    return {
        "name": "r-batch",
        "host": HOST,
        "prefix": prefix,
        "kind": "batch",
        "timeoutMs": 15000,
        "targetLatencyMs": 500,
        "runTargetMs": 18000,
        "retentionS": 600,
        "priority": 2,
        "service": service,
        "maxAttempts": 3,
        "sticky": True,
    } | more


def job_body(items: list[str], prefix: str = "/lot1/") -> bytes:
    """Return the body of a batch job."""
    headers = {"X-Model": "m", "X-Token-Usage": "350,200"}
    rows = [
        {
            "id": item,
            "path": f"{prefix}{item}",
            "headers": headers | {"X-Prompt-Prefix": f"aa01:100,{item}:250"},
            "body": b64encode(item.encode()).decode(),
            "tokens": 550,
        }
        for item in items
    ]
    return json.dumps({"items": rows}).encode()


async def submit(node: Node, job: str, body: bytes, prefix: str = "/lot1/", timeout_s: float = 4.0):
    """Submit a batch job."""
    headers = {"Host": HOST, "X-Attempt-Id": job, "Content-Type": "application/json"}
    return await call(node.address, "POST", prefix + job, headers, body, timeout_s)


async def read_results(node: Node, job: str, after: int = 0, wait_ms: int = 0):
    """Read the results of a batch job."""
    headers = {"Host": HOST, "X-Wait-Ms": str(wait_ms)}
    return await call(node.address, "GET", f"/lots/{job}?after={after}", headers)


def main(case, record_path: Path) -> None:
    """Run a case to its end and exit with its verdict."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A case that takes too long gets a SIGTERM, and must end its processes all the same.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = asyncio.run(case(record, trouble))
    except (CaseFailed, KeyboardInterrupt) as error:
        record.note("case could not run", reason=repr(error))
        code = 2
    record.note("exit", code=code)
    sys.exit(code)
