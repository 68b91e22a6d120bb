"""Measure settings and membership on eight real entry processes, including paused ones.

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
from parsleyrouter.standins.ports import free_address  # noqa: E402

KEY = "bench-operator"
PROCESSES = 8
CHANGES = 40
IDLE_S = 20.0
PAUSES = 4
PAUSE_S = 10.0
WAIT_TIMEOUT_S = 60.0


class Entry:
    """One ``parsley-entry`` process."""

    def __init__(self, name: str, domain: str, key_value: str, seeds: str, folder: Path) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        command = [str(Path(sys.executable).parent / "parsley-entry")]
        command += ["--node", name, "--domain", domain, "--key-value", key_value]
        command += ["--operator-key-sha256", hashlib.sha256(KEY.encode()).hexdigest()]
        command += ["--agent", free_address()]
        command += ["--seeds", seeds] if seeds else []
        with self.log.open("w") as output:
            self.process = subprocess.Popen(command, stderr=output, stdout=output)
        self.addresses = self.wait_ready()

    def wait_ready(self) -> dict[str, str]:
        """Return the addresses from the ready line in the log."""
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < end_s:
            for line in self.log.read_text().splitlines():
                if '"ready"' in line:
                    found: dict[str, str] = json.loads(line)["addresses"]
                    return found
            time.sleep(0.05)
        sys.exit(f"{self.name} did not start:\n{self.log.read_text()}")

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Call the operators' API and return the decoded JSON."""
        connection = http.client.HTTPConnection(self.addresses["http"], timeout=10)
        headers = {"authorization": f"Bearer {KEY}", "content-type": "application/json"}
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers)
        reply = connection.getresponse()
        content = json.loads(reply.read())
        connection.close()
        return content

    def names(self) -> set[str]:
        """Return the nodes that this entry considers up."""
        return {node["node"] for node in self.call("GET", "/v1/status")["nodes"]}


def until(condition: Any) -> float:
    """Return the seconds until a condition holds; exit after the limit."""
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_s > WAIT_TIMEOUT_S:
            sys.exit("the condition did not hold in time")
        time.sleep(0.01)
    return time.monotonic() - started_s


def measure_changes(entries: list[Entry]) -> None:
    """Measure the time from accepting a change to applying it on all processes."""
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


def measure_idle(entries: list[Entry]) -> None:
    """Measure processor time and memory of idle processes."""
    before = [processor_s(entry.process.pid) for entry in entries]
    time.sleep(IDLE_S)
    share = sum(processor_s(entry.process.pid) for entry in entries) - sum(before)
    memory = max(memory_mb(entry.process.pid) for entry in entries)
    print(
        f"idle: {100 * share / IDLE_S / len(entries):.2f} % of a core a process,"
        f" at most {memory:.0f} MB resident",
        flush=True,
    )


def is_removed(name: str, entries: list[Entry]) -> bool:
    """Tell whether no entry considers a node up."""
    return all(name not in entry.names() for entry in entries)


def measure_pauses(entries: list[Entry]) -> None:
    """Pause processes one after another and measure the views of the others."""
    all_names = {entry.name for entry in entries}
    gone, back, false_downs = [], [], 0
    for number in range(PAUSES):
        paused = entries[1 + number]
        rest = [entry for entry in entries if entry is not paused]
        paused.process.send_signal(signal.SIGSTOP)
        started_s = time.monotonic()
        gone.append(until(lambda name=paused.name, rest=rest: is_removed(name, rest)))
        while time.monotonic() - started_s < PAUSE_S:
            false_downs += sum(len(all_names - entry.names() - {paused.name}) for entry in rest)
            time.sleep(0.2)
        paused.process.send_signal(signal.SIGCONT)
        back.append(until(lambda: all(entry.names() == all_names for entry in entries)))
    print(
        f"{PAUSES} pauses of {PAUSE_S:g} s: paused node out of all views within"
        f" {max(gone):.1f} s, back in all views within {max(back):.1f} s after resuming,"
        f" {false_downs} observations of another node considered down",
        flush=True,
    )


def measure_kills(entries: list[Entry]) -> None:
    """Kill half of the processes one after another and measure the views of the others."""
    took = []
    for _ in range(len(entries) // 2):
        lost = entries.pop()
        lost.process.kill()
        lost.process.wait()
        took.append(until(lambda name=lost.name: is_removed(name, entries)))
    each = ", ".join(f"{one:.1f}" for one in took)
    print(f"{len(took)} kills: lost node out of all views after {each} s", flush=True)


def main() -> None:
    """Start the processes, run all measurements and kill the processes."""
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
        converged_s = until(lambda: all(len(entry.names()) == count for entry in entries))
        print(f"{count} processes converged {converged_s:.1f} s after the last start", flush=True)
        measure_changes(entries)
        measure_idle(entries)
        seconds = service.service.by_second
        print(f"key-value calls, busiest second: {max(seconds.values())}", flush=True)
        measure_pauses(entries)
        measure_kills(entries)
    finally:
        for entry in entries:
            entry.process.kill()
            entry.process.wait()


if __name__ == "__main__":
    main()
