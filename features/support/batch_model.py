"""State machine of batch jobs: interleaves owners, crashes, pauses and lost replies."""

import json
import random
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from features.support.batch_fleet import TEAM
from features.support.batch_sim import BatchSim
from parsleyrouter.ids import JobId
from parsleyrouter.process.call_port import Call
from parsleyrouter.process.job_port import JobState, JobStatus

HEAL_S = 200.0
HEAL_ROUNDS = 6
NODES = ("n0", "n1", "n2")


class BatchModel(RuleBasedStateMachine):
    """Drive processes on simulated time and check the invariants after every step."""

    def __init__(self) -> None:
        super().__init__()
        random.seed(1)
        self.sim = BatchSim()
        self.sim.on_dispatch = self.note_dispatch
        self.sent: dict[str, tuple[int, bool]] = {}
        self.accepted: dict[JobId, tuple[int, bool]] = {}
        self.cancelled: dict[JobId, set[str]] = {}
        self.seen: dict[JobId, dict[int, bytes]] = {}
        self.late_dispatches: list[str] = []

    def note_dispatch(self, call: Call, node: str) -> None:
        """Record a dispatch after an accepted cancel by a process that could be notified."""
        if call.job in self.cancelled and node not in self.cancelled[call.job]:
            self.late_dispatches.append(call.request)

    def up(self) -> list[str]:
        """Return the nodes that accept requests."""
        return [name for name, node in self.sim.nodes.items() if node.gate.closed is None]

    @precondition(lambda self: self.up())
    @rule(
        pick=st.integers(0, 2),
        key=st.sampled_from("abc"),
        items=st.integers(1, 10),
        unrepeatable=st.booleans(),
    )
    def submit(self, pick: int, key: str, items: int, unrepeatable: bool) -> None:
        """Submit a job, or resend it."""
        size, unrepeatable = self.sent.setdefault(key, (items, unrepeatable))
        names = self.up()
        answer = self.sim.submit(names[pick % len(names)], key, size, unrepeatable=unrepeatable)
        self.note_answer(answer, size, unrepeatable)

    @precondition(lambda self: self.up())
    @rule(pick=st.integers(0, 2), key=st.sampled_from("abc"), run_s=st.sampled_from([0.003, 0.01]))
    def submit_and_pause(self, pick: int, key: str, run_s: float) -> None:
        """Submit a job at a process that is paused meanwhile, so that its writes come late."""
        size, unrepeatable = self.sent.setdefault(key, (6, True))
        names = self.up()
        node = self.sim.nodes[names[pick % len(names)]]
        task = self.sim.spawn_submit(node.name, key, size, unrepeatable=unrepeatable)
        task.on_done(lambda done: self.note_answer(done.value, size, unrepeatable))
        self.sim.loop.run_for(run_s)
        node.gate.close()

    def note_answer(self, answer: Any, size: int, unrepeatable: bool) -> None:
        """Record an accepted job."""
        if isinstance(answer, JobStatus):
            self.accepted[answer.job] = (size, unrepeatable)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.35, 1.0, 3.0, 12.0]))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.sim.loop.run_for(seconds)

    @precondition(lambda self: self.up())
    @rule(pick=st.integers(0, 2))
    def crash(self, pick: int) -> None:
        """Crash a process."""
        names = self.up()
        self.sim.crash(names[pick % len(names)])

    @rule(name=st.sampled_from(NODES))
    def restart(self, name: str) -> None:
        """Start a process that is down."""
        if name not in self.sim.nodes:
            self.sim.start(name)

    @precondition(lambda self: self.up())
    @rule(pick=st.integers(0, 2), hidden=st.booleans())
    def pause(self, pick: int, hidden: bool) -> None:
        """Pause a process; the others may consider it dead."""
        names = self.up()
        name = names[pick % len(names)]
        self.sim.nodes[name].gate.close()
        if hidden:
            self.hide(name)

    @rule(name=st.sampled_from(NODES))
    def resume(self, name: str) -> None:
        """Resume a paused process."""
        node = self.sim.nodes.get(name)
        if node is not None and node.gate.closed is not None:
            node.supervisor.verify_runs()
            node.gate.open()

    @rule(name=st.sampled_from(NODES))
    def hide(self, name: str) -> None:
        """Remove a process from the view of the others, whether it is dead or not."""
        self.sim.hidden.add(name)
        self.sim.show()

    @rule(name=st.sampled_from(NODES))
    def reveal(self, name: str) -> None:
        """Return a process to the view of the others."""
        self.sim.hidden.discard(name)
        self.sim.show()

    @precondition(lambda self: self.up())
    @rule(pick=st.integers(0, 2), before=st.integers(0, 2), after=st.integers(0, 6))
    def lose_replies(self, pick: int, before: int, after: int) -> None:
        """Lose the next writes of a process or their replies."""
        names = self.up()
        faults = self.sim.nodes[names[pick % len(names)]].faults
        faults.lose_before, faults.lose_after = before, after

    @rule(names=st.sets(st.sampled_from(NODES)), down=st.booleans())
    def outage(self, names: set[str], down: bool) -> None:
        """Begin or end an outage of the key-value service for some processes."""
        for name in names & set(self.sim.nodes):
            self.sim.nodes[name].faults.outage = down

    @precondition(lambda self: self.accepted and self.up())
    @rule(pick=st.integers(0, 2), which=st.integers(0, 2))
    def cancel(self, pick: int, which: int) -> None:
        """Cancel a job; once accepted, only processes that missed the notice may start items."""
        names = self.up()
        job = sorted(self.accepted)[which % len(self.accepted)]
        not_told = {name for name in NODES if name not in names} | set(self.sim.hidden)
        job_service = self.sim.nodes[names[pick % len(names)]].job_service
        answer = self.sim.run(job_service.cancel(TEAM, job))
        if isinstance(answer, JobStatus) and answer.state is JobState.CANCELLED:
            self.cancelled.setdefault(job, not_told)

    @invariant()
    def unrepeatable_items_run_once(self) -> None:
        """Check that no item that must not be repeated was dispatched twice."""
        for call, _, _ in self.sim.dispatches:
            if not call.settings.idempotent:
                assert self.sim.dispatched[call.request] == 1, call.request

    @invariant()
    def committed_results_stay(self) -> None:
        """Check that committed results are unchanged, byte for byte."""
        for job in self.accepted:
            now = self.sim.committed(job)
            for index, line in self.seen.get(job, {}).items():
                assert now.get(index) == line, (job, index, line, now.get(index))
            self.seen[job] = now

    @invariant()
    def cancelled_stays_cancelled(self) -> None:
        """Check that no item of a cancelled job is dispatched."""
        assert not self.late_dispatches, self.late_dispatches

    def teardown(self) -> None:
        """End all faults; every accepted item must then get exactly one result."""
        self.sim.hidden.clear()
        for name in NODES:
            node = self.sim.nodes.get(name)
            if node is None:
                self.sim.start(name)
                continue
            node.faults.outage = False
            node.faults.lose_before = node.faults.lose_after = 0
            self.resume(name)
        self.sim.show()
        for _ in range(HEAL_ROUNDS):
            self.sim.loop.run_for(HEAL_S)
            self.committed_results_stay()
            if all(self.ended(job) for job in self.accepted):
                break
        self.unrepeatable_items_run_once()
        self.cancelled_stays_cancelled()
        for job, (items, _) in self.accepted.items():
            self.check_ended(job, items)

    def ended(self, job: JobId) -> bool:
        """Return whether a job has its manifest."""
        record = self.sim.job(job)
        return record is not None and bool(record.manifest)

    def check_ended(self, job: JobId, items: int) -> None:
        """Check one job's results against what was dispatched."""
        record = self.sim.job(job)
        assert record is not None
        assert record.manifest, record
        results: dict[int, Any] = {n: json.loads(v) for n, v in self.sim.committed(job).items()}
        assert sorted(results) == list(range(items)), results
        assert record.tally.items == items, record.tally
        for index, line in results.items():
            runs = self.sim.dispatched[f"{job}-{index}"]
            assert line["custom_id"] == f"c{index}"
            assert line["outcome"] != "ok" or runs >= 1, line
            assert (
                line["outcome"] != "cancelled"
                or job in self.cancelled
                or record.phase.value == "cancelled"
            )
            if line["outcome"] == "cancelled" and self.accepted[job][1]:
                assert runs == 0, line
