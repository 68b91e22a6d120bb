"""An item fails at each run while the machines are restarted in turn."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from fleet import Fleet, Record, batch_route, configuration, job_body, main, read_results, submit
from runner import Runner
from wire import encode

NODES = 6
MAX_ATTEMPTS = 3
ANSWER_S = 1.7
GAP_S = 4.6
"""From the first run at a machine to its SIGTERM; a roll has a gap of a second or more."""

CONTACT_S = 3.0
GRACE_S = 8.0
LIMIT_S = 60.0
POLL_S = 0.02


async def failing(runner: Runner, request, writer) -> str:
    """Answer with 500 after some work."""
    await asyncio.sleep(ANSWER_S)
    writer.write(encode("HTTP/1.1 500 Internal Server Error", runner.proof(request), b"failed"))
    await writer.drain()
    return "500"


class Roll:
    """Stops and starts each machine once, first the one that has started the item last."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.fleet, self.record = fleet, record
        self.changed_s: dict[str, float] = {}
        """When each machine was last stopped or started."""
        self.stopped: set[str] = set()
        self.tasks: list[asyncio.Task] = []

    def owner(self):
        """Return the machine whose process runs the job, by its record in the store."""
        row = self.fleet.store.rows.get("parsley/live/job/job1/owner")
        name = row.value.decode() if row is not None else ""
        return next((one for one in self.fleet.nodes if one.name == name), None)

    def stop(self, node) -> None:
        """Stop a machine and start it again."""
        self.stopped.add(node.name)
        self.tasks.append(asyncio.create_task(self._restart(node)))

    async def _restart(self, node) -> None:
        self.record.note("SIGTERM", node=node.name)
        self.changed_s[node.name] = time.monotonic()
        node.signal(signal.SIGTERM)
        if not await node.wait_ended(GRACE_S):
            node.signal(signal.SIGKILL)
            await node.wait_ended(2.0)
        node.start()
        self.changed_s[node.name] = time.monotonic()
        self.record.note("started again", node=node.name)


async def case(record: Record, trouble: bool) -> int:
    """Return 1 if the item reaches the runner again after three times maxAttempts answers of 500."""
    fleet = Fleet(NODES, record)
    broken = False
    try:
        await fleet.start(configuration(1, [batch_route(maxAttempts=MAX_ATTEMPTS)]))
        runner = Runner("i-0", "models", fleet.store, failing, record.note)
        await runner.start()
        await asyncio.sleep(CONTACT_S + 0.5)
        answer = await submit(fleet.nodes[0], "job1", job_body(["item1"]))
        if answer is None or answer.status != 202:
            return 2
        record.note("job accepted")
        roll = Roll(fleet, record)
        until_s = time.monotonic() + LIMIT_S
        counted, turn, turn_s = 0, "", 0.0
        listed, read_s = False, 0.0
        while time.monotonic() < until_s and not broken and not listed:
            await asyncio.sleep(POLL_S)
            if time.monotonic() > read_s + 1.0:
                read_s = time.monotonic()
                found = await read_results(fleet.nodes[-1], "job1")
                listed = found is not None and found.status == 200 and bool(found.json()["results"])
                if listed:
                    record.note("result", body=found.body.decode())
            owner = roll.owner()
            if owner is None or len(runner.runs) == counted:
                if trouble and turn and time.monotonic() - turn_s > GAP_S:
                    if turn not in roll.stopped and len(roll.stopped) < NODES:
                        roll.stop(next(one for one in fleet.nodes if one.name == turn))
                continue
            run = runner.runs[counted]
            answers = sum(one.outcome == "500" for one in runner.runs[:counted])
            counted += 1
            in_touch = run.arrived_s - roll.changed_s.get(owner.name, 0.0) > CONTACT_S
            record.note("item reached the runner", run=counted, answers=answers, owner=owner.name)
            if owner.name != turn:
                turn, turn_s = owner.name, run.arrived_s
            if answers >= 3 * MAX_ATTEMPTS and in_touch:
                broken = True
                record.note("BROKEN", run=counted, answers_of_500=answers, node=owner.name)
        for one in roll.tasks:
            one.cancel()
    finally:
        fleet.stop()
    answers = sum(one.outcome == "500" for one in runner.runs)
    record.note("item", runs=counted, answers_of_500=answers, restarts=len(roll.stopped))
    return 1 if broken else 0


if __name__ == "__main__":
    main(case, FOLDER / "record.txt")
