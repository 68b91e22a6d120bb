"""Measure settings and membership on eight real entry processes, freezes included.

Usage: python benches/control_processes.py [PROCESSES]; the key-value stand-in runs in this
process. Times include one status call of a few milliseconds.
"""

import hashlib
import http.client
import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from control import ServiceThread, percentile  # noqa: E402

from features.support.process_cost import memory_mb, processor_s  # noqa: E402

KEY = "bench-operator"
PROCESSES = 8
CHANGES = 40
QUIET_S = 20.0
FREEZES = 4
FREEZE_S = 10.0
LIMIT_S = 60.0


class Entry:
    """One ``parsley-entry`` process."""

    def __init__(self, name: str, domain: str, key_value: str, seeds: str, folder: Path) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        command = [str(Path(sys.executable).parent / "parsley-entry")]
        command += ["--node", name, "--domain", domain, "--key-value", key_value]
        command += ["--operator-key-sha256", hashlib.sha256(KEY.encode()).hexdigest()]
        command += ["--seeds", seeds] if seeds else []
        with self.log.open("w") as output:
            self.process = subprocess.Popen(command, stderr=output, stdout=output)
        self.addresses = self.wait_ready()

    def wait_ready(self) -> dict[str, str]:
        """Return the addresses that the process logs."""
        end_s = time.monotonic() + LIMIT_S
        while time.monotonic() < end_s:
            for line in self.log.read_text().splitlines():
                if '"ready"' in line:
                    found: dict[str, str] = json.loads(line)["addresses"]
                    return found
            time.sleep(0.05)
        sys.exit(f"{self.name} did not start:\n{self.log.read_text()}")

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Make an operator's call."""
        connection = http.client.HTTPConnection(self.addresses["http"], timeout=10)
        headers = {"authorization": f"Bearer {KEY}", "content-type": "application/json"}
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers)
        reply = connection.getresponse()
        content = json.loads(reply.read())
        connection.close()
        return content

    def names(self) -> set[str]:
        """Return the nodes that this one believes up."""
        return {node["node"] for node in self.call("GET", "/v1/status")["nodes"]}


def until(condition: Any) -> float:
    """Wait until a condition holds and return how long it took."""
    began_s = time.monotonic()
    while not condition():
        if time.monotonic() - began_s > LIMIT_S:
            sys.exit("the condition never held")
        time.sleep(0.01)
    return time.monotonic() - began_s


def measure_changes(entries: list[Entry]) -> None:
    """Measure from the acceptance of a change to its being in force everywhere."""
    took = []
    for number in range(CHANGES):
        entry = entries[number % len(entries)]
        other = entries[(number + 3) % len(entries)]
        path = f"/v1/settings/teams/team-{number % 5}/limits/online_open"
        revision = entry.call("PUT", path, number + 1)["revision"]

        def in_force(other: Entry = other, revision: int = revision) -> bool:
            status = other.call("GET", f"/v1/status?revision={revision}")
            return all(node["in_force"] for node in status["nodes"])

        took.append(until(in_force))
    print(
        f"change to in force on {len(entries)} processes: p50 {percentile(took, 0.5):.3f}"
        f" p99 {percentile(took, 0.99):.3f} max {max(took):.3f} s ({len(took)} changes)",
        flush=True,
    )


def measure_rest(entries: list[Entry]) -> None:
    """Measure what a process costs at rest."""
    before = [processor_s(entry.process.pid) for entry in entries]
    time.sleep(QUIET_S)
    share = sum(processor_s(entry.process.pid) for entry in entries) - sum(before)
    memory = max(memory_mb(entry.process.pid) for entry in entries)
    print(
        f"at rest: {100 * share / QUIET_S / len(entries):.2f} % of a core a process,"
        f" at most {memory:.0f} MB resident",
        flush=True,
    )


def unseen(name: str, entries: list[Entry]) -> bool:
    """Tell whether no entry believes a node up."""
    return all(name not in entry.names() for entry in entries)


def measure_freezes(entries: list[Entry]) -> None:
    """Freeze one process after the other and watch the views of the rest."""
    everyone = {entry.name for entry in entries}
    gone, back, blamed = [], [], 0
    for number in range(FREEZES):
        frozen = entries[1 + number]
        rest = [entry for entry in entries if entry is not frozen]
        frozen.process.send_signal(signal.SIGSTOP)
        began_s = time.monotonic()
        gone.append(until(lambda name=frozen.name, rest=rest: unseen(name, rest)))
        while time.monotonic() - began_s < FREEZE_S:
            blamed += sum(len(everyone - entry.names() - {frozen.name}) for entry in rest)
            time.sleep(0.2)
        frozen.process.send_signal(signal.SIGCONT)
        back.append(until(lambda: all(entry.names() == everyone for entry in entries)))
    print(
        f"{FREEZES} freezes of {FREEZE_S:g} s: frozen one out of all views within"
        f" {max(gone):.1f} s, back in all views within {max(back):.1f} s of going on,"
        f" {blamed} sightings of another node held to be down",
        flush=True,
    )


def measure_kills(entries: list[Entry]) -> None:
    """Kill half of the processes one after the other and watch the views of the rest."""
    took = []
    for _ in range(len(entries) // 2):
        lost = entries.pop()
        lost.process.kill()
        lost.process.wait()
        took.append(until(lambda name=lost.name: unseen(name, entries)))
    each = ", ".join(f"{one:.1f}" for one in took)
    print(f"{len(took)} kills: lost one out of all views after {each} s", flush=True)


def main() -> None:
    """Run the processes and end them."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else PROCESSES
    folder = Path(__file__).resolve().parent.parent / "out" / "control"
    folder.mkdir(parents=True, exist_ok=True)
    service = ServiceThread()
    service.start()
    service.ready.wait(10)
    entries: list[Entry] = []
    try:
        for number in range(count):
            seeds = entries[0].addresses["agent"] if entries else ""
            address = service.service.address.result()
            entries.append(Entry(f"vm-{number}", f"domain-{number % 4}", address, seeds, folder))
        met_s = until(lambda: all(len(entry.names()) == count for entry in entries))
        print(f"{count} processes met {met_s:.1f} s after the last had started", flush=True)
        measure_changes(entries)
        measure_rest(entries)
        seconds = service.service.by_second
        print(f"key-value calls, busiest second: {max(seconds.values())}", flush=True)
        measure_freezes(entries)
        measure_kills(entries)
    finally:
        for entry in entries:
            entry.process.kill()
            entry.process.wait()


if __name__ == "__main__":
    main()
