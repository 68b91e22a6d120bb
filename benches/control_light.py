"""Many agents in one process: real membership and settings tasks over real sockets."""

import json
import random
import resource
import sys
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path

from parsleyrouter.connection.etcd import EtcdKeyValue
from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.agent import Agent
from parsleyrouter.process.agent_options import AgentOptions
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.settings_editor import Accepted, Author, SettingsEditor
from parsleyrouter.standins.ports import free_address
from parsleyrouter.version.paths import parse_path

CONVERGENCE_TIMEOUT_S = 90.0
IDLE_S = 20.0
CHANGES = 30
CHANGE_PAUSE_S = 0.3
DATAGRAM_LOSS_SHARE = 0.05
LOSS_DURATION_S = 40.0
KILLS = 4
SEEDS = 3
DOMAINS = 6


@dataclass
class LightResult:
    """Result of one run; bytes are per second, both directions together."""

    nodes: int
    meet_s: float = 0.0
    bytes_per_node: float = 0.0
    core_share_per_node: float = 0.0
    memory_per_node_kb: float = 0.0
    in_force_s: list[float] = field(default_factory=list)
    suspicions: int = 0
    false_downs: int = 0
    detect_s: list[float] = field(default_factory=list)
    detect_lossy_s: list[float] = field(default_factory=list)


def cpu_s() -> float:
    """Return the processor time used so far, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def memory_kb() -> float:
    """Return the resident memory in KB."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1])
    return 0.0


class LightFleet:
    """Agents of all nodes, and the measurements on them."""

    def __init__(self, runtime: Runtime, nodes: int, key_value: Address) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.key_value = key_value
        self.rng = random.Random(7)
        self.loss = 0.0
        self.started = 0
        self.agents: list[Agent] = []
        self.result = LightResult(nodes)

    def start_one(self) -> Agent:
        """Start one node whose seeds are the first nodes."""
        number = self.started
        self.started += 1
        seeds = ",".join(agent.address for agent in self.agents[:SEEDS])
        agent = Agent(
            self.runtime,
            AgentOptions(agent=free_address(), seeds=seeds),
            EtcdKeyValue(self.runtime, self.key_value),
            node=NodeId(f"node-{number:04d}"),
            domain=DomainName(f"domain-{number % DOMAINS}"),
        )
        agent.prober.dropped = lambda: self.rng.random() < self.loss
        agent.start()
        self.agents.append(agent)
        return agent

    async def until(self, condition: object, limit_s: float) -> float:
        """Return the seconds until a condition holds, -1 after the limit."""
        started_s = self.loop.now()
        while not condition():  # type: ignore[operator]
            if self.loop.now() - started_s > limit_s:
                return -1.0
            await self.loop.sleep(0.02)
        return self.loop.now() - started_s

    def all_agree(self) -> bool:
        """Tell whether every node considers exactly the running ones up."""
        count = len(self.agents)
        return all(len(agent.prober.up()) == count - 1 for agent in self.agents)

    def gossip_sent(self) -> bool:
        """Tell whether all gossip of the start has been sent."""
        return not any(agent.prober.membership.gossip.queued for agent in self.agents)

    async def run(self) -> LightResult:
        """Run all measurements in sequence."""
        result = self.result
        before_kb = memory_kb()
        for _ in range(result.nodes):
            self.start_one()
            await self.loop.sleep(0.02)
        result.meet_s = await self.until(self.all_agree, CONVERGENCE_TIMEOUT_S)
        result.memory_per_node_kb = (memory_kb() - before_kb) / result.nodes
        await self.until(self.gossip_sent, CONVERGENCE_TIMEOUT_S)
        await self.measure_idle()
        await self.measure_changes()
        result.detect_s = await self.measure_kills()
        await self.measure_loss()
        result.detect_lossy_s = await self.measure_kills()
        return result

    async def measure_idle(self) -> None:
        """Measure traffic and processor time of an idle fleet."""
        bytes_before, cpu_before, started_s = self.bytes(), cpu_s(), self.loop.now()
        await self.loop.sleep(IDLE_S)
        passed_s = self.loop.now() - started_s
        count = self.result.nodes
        self.result.bytes_per_node = (self.bytes() - bytes_before) / passed_s / count
        self.result.core_share_per_node = (cpu_s() - cpu_before) / passed_s / count

    def bytes(self) -> int:
        """Return the bytes sent and received by all nodes."""
        return sum(agent.sent_bytes() + agent.received_bytes() for agent in self.agents)

    async def measure_changes(self) -> None:
        """Measure the time from accepting a change to applying it on the last node."""
        author = Author("bench", "127.0.0.1", time.time())
        for number in range(CHANGES):
            agent = self.rng.choice(self.agents)
            settings_editor = SettingsEditor(
                self.runtime, agent.feed.key_value, agent.apply_accepted
            )
            path = parse_path(f"/teams/team-{number % 10}/limits/online_open")
            accepted = await settings_editor.change(path, number + 1, author)
            if not isinstance(accepted, Accepted):
                print(f"change not accepted: {accepted}", file=sys.stderr)
                continue
            revision = accepted.revision
            elapsed_s = await self.until(
                lambda revision=revision: all(
                    agent.settings().revision >= revision for agent in self.agents
                ),
                CONVERGENCE_TIMEOUT_S,
            )
            self.result.in_force_s.append(elapsed_s)
            await self.loop.sleep(CHANGE_PAUSE_S)

    async def measure_loss(self) -> None:
        """Count suspicions, and live nodes considered down, during datagram loss."""
        self.loss = DATAGRAM_LOSS_SHARE
        suspicions_before = sum(agent.prober.membership.suspicions for agent in self.agents)
        missing: set[tuple[NodeId, NodeId]] = set()
        names = {agent.me.node for agent in self.agents}
        end_s = self.loop.now() + LOSS_DURATION_S
        while self.loop.now() < end_s:
            for agent in self.agents:
                up = {info.node for info in agent.prober.up()} | {agent.me.node}
                missing |= {(agent.me.node, name) for name in names - up}
            await self.loop.sleep(0.2)
        suspicions = sum(agent.prober.membership.suspicions for agent in self.agents)
        self.result.suspicions = suspicions - suspicions_before
        self.result.false_downs = len(missing)

    async def measure_kills(self) -> list[float]:
        """Measure the time from the loss of a node to its removal from all views."""
        found = []
        for _ in range(KILLS):
            victim = self.rng.choice(self.agents[SEEDS:] or self.agents[1:])
            self.agents.remove(victim)
            victim.prober.close()
            victim.feed.set_active(False)
            name = victim.me.node
            elapsed_s = await self.until(
                lambda name=name: not any(agent.prober.knows(name) for agent in self.agents),
                CONVERGENCE_TIMEOUT_S,
            )
            found.append(elapsed_s)
            self.start_one()
            await self.until(self.all_agree, CONVERGENCE_TIMEOUT_S)
        return found


def main() -> None:
    """Run one fleet; the arguments are the number of nodes and the key-value address."""
    runtime = Runtime()
    fleet = LightFleet(runtime, int(sys.argv[1]), Address(sys.argv[2]))

    async def run() -> None:
        await runtime.loop.sleep(0)
        result = await fleet.run()
        print(json.dumps(asdict(result)), flush=True)
        runtime.stop()

    runtime.loop.spawn(run())
    runtime.run()


if __name__ == "__main__":
    main()
