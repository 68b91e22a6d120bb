"""A small fleet of real processes on loopback: stand-ins, and nodes with all their roles.

``Cluster.start(context)`` registers the clean-up; a failing scenario prints the ends of the logs.
"""

import hashlib
import shutil
import tempfile
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from features.support.callers import Caller, RecordedCall
from features.support.processes import Process, binary, wait_until
from parsleyrouter.standins.ports import free_address

OPERATOR_KEY = "operator-test-key"
TEAM_KEY = "team-test-key"
TEAM = "nkabom"
MODEL = "stand-in"
APPLICATION = "cards"
ONLINE_KIND = "question"
BATCH_KIND = "introduction"


@dataclass
class ClusterPlan:
    """Size and speed of a cluster; ``proxied`` names stand-ins to put behind fault proxies.

    ``weights`` are the options of a weight store that the engines load from, ``None`` for none.
    """

    nodes: int = 3
    disks: int = 2
    domains: int = 0
    engines: int = 2
    services: int = 1
    proxied: tuple[str, ...] = ()
    engine_options: tuple[str, ...] = ("--step-s", "0.008")
    service_options: tuple[str, ...] = ()
    entry_options: tuple[str, ...] = ("--locate-ttl-s", "1")
    batch_options: tuple[str, ...] = ()
    weights: tuple[str, ...] | None = None
    slots: int = 8
    team: dict[str, Any] = field(default_factory=dict)


@dataclass
class Node:
    """The processes of one VM."""

    name: str
    domain: str
    agent: str
    entry: Process
    scheduler: Process
    batch: Process
    store: Process | None = None

    def processes(self) -> list[Process]:
        """Return the processes, the entry first."""
        found = [self.entry, self.scheduler, self.batch]
        return [*found, self.store] if self.store else found

    def kill(self) -> None:
        """Kill all processes of the VM."""
        for process in self.processes():
            process.kill()

    def pause(self) -> None:
        """Pause all processes of the VM."""
        for process in self.processes():
            process.pause()

    def resume(self) -> None:
        """Resume all processes of the VM."""
        for process in self.processes():
            process.resume()

    def restart(self) -> None:
        """Restart the processes that have ended."""
        for process in self.processes():
            if not process.alive:
                process.restart()


class Cluster:
    """Stand-ins, nodes, and callers that use them."""

    def __init__(self, plan: ClusterPlan | None = None) -> None:
        self.plan = plan or ClusterPlan()
        self.folder = Path(tempfile.mkdtemp(prefix="parsley-cluster-"))
        self.processes: list[Process] = []
        self.proxies: dict[str, Process] = {}
        self.nodes: list[Node] = []
        self.engines: list[Process] = []
        self.services: list[Process] = []
        self.operator = Caller(OPERATOR_KEY)
        self.caller = Caller(TEAM_KEY)
        self.control = Caller()

    @classmethod
    def start(cls, context: Any, plan: ClusterPlan | None = None) -> "Cluster":
        """Start and configure a cluster, and register its clean-up with behave."""
        cluster = cls(plan)
        context.add_cleanup(lambda: cluster.clean_up(context.scenario.status.name != "passed"))
        cluster.start_stand_ins()
        for number in range(1, cluster.plan.nodes + 1):
            cluster.start_node(number)
        cluster.set_up()
        return cluster

    def start_stand_ins(self) -> None:
        """Start the stand-ins of the platform and the endpoints."""
        plan = self.plan
        self.key_value = self.start_stand_in("key-value", "key-value")
        self.vm_list = self.start_stand_in("vm-list", "vm-list")
        engine = ("--models", MODEL, "--slots", str(plan.slots), *plan.engine_options)
        if plan.weights is not None:
            self.weights = self.start_stand_in("weights", "weights", *plan.weights)
            engine += ("--weight-store", self.weights.http)
        self.engines = [
            self.start_stand_in(f"engine-{number}", "engine", *engine)
            for number in range(1, plan.engines + 1)
        ]
        service = ("--name", APPLICATION, "--slots", str(plan.slots), *plan.service_options)
        self.services = [
            self.start_stand_in(f"service-{number}", "service", *service)
            for number in range(1, plan.services + 1)
        ]

    def start_stand_in(self, name: str, kind: str, *options: str) -> Process:
        """Start a stand-in, behind a fault proxy if the plan asks for one."""
        command = [binary("parsley-standin"), kind, "--http", free_address(), *options]
        process = self.run(name, command)
        if name in self.plan.proxied:
            proxy = [binary("parsley-standin"), "proxy", process.http, "--listen", free_address()]
            self.proxies[name] = self.run(f"{name}-proxy", proxy)
        return process

    def address(self, name: str) -> str:
        """Return the address at which the system reaches a stand-in, or its proxy."""
        if name in self.proxies:
            return self.proxies[name].addresses["listen"]
        return next(process.http for process in self.processes if process.name == name)

    def start_node(self, number: int) -> Node:
        """Start the processes of another VM and add it to the VM list."""
        plan, name = self.plan, f"node-{number}"
        domain = f"domain-{(number - 1) % (plan.domains or plan.nodes) + 1}"
        common = ["--node", name, "--domain", domain, "--key-value", self.address("key-value")]
        agent = free_address()
        digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        entry = ["--agent", agent, "--vm-list", self.vm_list.http, "--min-copies"]
        entry += [str(min(2, plan.disks)), "--operator-key-sha256", digest, *plan.entry_options]
        copies = ["--min-copies", str(min(2, plan.disks))]
        node = Node(
            name,
            domain,
            agent,
            self.role(name, "entry", common + entry),
            self.role(name, "scheduler", [*common, "--agent", agent, "--peer", free_address()]),
            self.role(
                name,
                "batch",
                [*common, "--agent", agent, "--peer", free_address(), *copies, *plan.batch_options],
            ),
        )
        if number <= plan.disks:
            data = ["--agent", agent, "--peer", free_address(), "--data", str(self.folder / name)]
            node.store = self.role(name, "store", common + data)
        self.nodes.append(node)
        self.list_vms()
        for process in node.processes():
            process.wait_ready()
        return node

    def role(self, node: str, role: str, options: list[str]) -> Process:
        """Start one process of a node without waiting."""
        command = [binary(f"parsley-{role}"), "--http", free_address(), *options]
        process = Process(f"{node}-{role}", command, self.folder)
        self.processes.append(process)
        return process.start()

    def run(self, name: str, command: list[str]) -> Process:
        """Start any other process and wait until it serves."""
        process = Process(name, command, self.folder)
        self.processes.append(process)
        return process.start().wait_ready()

    def list_vms(self, leaving: Iterable[str] = ()) -> None:
        """Update the VM list."""
        states = dict.fromkeys(leaving, "leaving")
        vms = [
            {
                "node": node.name,
                "agent": node.agent,
                "domain": node.domain,
                "state": states.get(node.name, "live"),
            }
            for node in self.nodes
        ]
        self.control.call(self.vm_list.http, "PUT", "/v1/vms", {"vms": vms})

    def set_up(self) -> None:
        """Write the settings and wait until every entry is ready and lists all entries."""
        self.put_settings("fleet", {"endpoints": self.endpoints()})
        self.put_settings(f"teams/{TEAM}", self.team())
        for node in self.nodes:
            wait_until(lambda: self.serves(node), f"{node.name} serves all")  # noqa: B023

    def serves(self, node: Node) -> bool:
        """Return whether a node is ready and lists all entries."""
        if self.control.call(node.entry.http, "GET", "/health/ready").status != 200:
            return False
        seen = self.caller.call(node.entry.http, "GET", f"/v1/locate?team={TEAM}")
        listed = self.caller.call(node.entry.http, "GET", "/v1/models")
        return listed.status == 200 and len(seen.json()["entries"]) == len(self.nodes)

    def endpoints(self) -> dict[str, Any]:
        """Return the settings of the endpoints."""
        found: dict[str, Any] = {}
        for process in self.engines:
            address = self.address(process.name)
            found[process.name] = {"address": address, "models": [MODEL], "slots": self.plan.slots}
        for process in self.services:
            found[process.name] = {
                "address": self.address(process.name),
                "type": "service",
                "application": APPLICATION,
                "slots": self.plan.slots,
            }
        return found

    def team(self) -> dict[str, Any]:
        """Return the settings of the team."""
        digest = hashlib.sha256(TEAM_KEY.encode()).hexdigest()
        kinds = {
            ONLINE_KIND: {"kind_class": "online", "deadline_s": 30},
            BATCH_KIND: {"kind_class": "batch", "deadline_s": 3600},
        }
        defaults = {
            "keys": {"app": {"sha256": digest}},
            "models": {MODEL: {}},
            "applications": {APPLICATION: {}},
            "kinds": kinds,
        }
        return defaults | self.plan.team

    def put_settings(self, path: str, value: Any) -> RecordedCall:
        """Change settings as the operator; retry until the change is accepted."""

        def put() -> RecordedCall | None:
            response = self.operator.call(
                self.nodes[0].entry.http, "PUT", f"/v1/settings/{path}", value
            )
            return response if response.status == 200 else None

        return wait_until(put, f"settings {path} accepted")

    def faults(self, process: Process, **faults: Any) -> None:
        """Inject faults into a stand-in or a proxy."""
        response = self.control.call(process.http, "POST", "/control/faults", faults)
        assert response.status == 200, response

    def clean_up(self, failed: bool = False) -> None:
        """Kill every process, and print the ends of the logs after a failure."""
        for process in self.processes:
            process.resume()
            process.kill()
        if failed:
            print("\n".join(process.log_tail() for process in self.processes))
        shutil.rmtree(self.folder, ignore_errors=True)
