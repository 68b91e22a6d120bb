"""A request crashes the runners that run it, and the machines are restarted in turn."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from fleet import Fleet, Record, configuration, main
from runner import Runner
from wire import call, encode

HOST = "cards.example"
DEADLY = "/card/deadly"
RUNNERS = 4
ROUNDS = 4
RETRY_AFTER_S = 1.5
BACK_AFTER_S = 2.0
CONTACT_S = 3.0
GRACE_S = 8.0
GAP_S = 1.0
UNDISTURBED_S = 13.0
MAX_RETRIES = 3


async def card(runner: Runner, request, writer) -> str:
    """Answer, or crash when the request is the deadly one."""
    if request.target == DEADLY:
        runner.crash(BACK_AFTER_S)
        return "crashed the runner"
    writer.write(encode("HTTP/1.1 200 OK", runner.proof(request), b"card"))
    await writer.drain()
    return "whole"


async def case(record: Record, trouble: bool) -> int:
    """Return 1 if the request reaches runners in more than three late retries."""
    route = {
        "name": "r-card",
        "host": HOST,
        "prefix": "/card/",
        "kind": "safe",
        "timeoutMs": 1500,
        "targetLatencyMs": 150,
        "priority": 2,
        "service": "cards",
        "maxAttempts": 1,
    }
    fleet = Fleet(2, record)
    numbers = itertools.count(1)
    runners: list[Runner] = []
    changed_s: dict[str, float] = {}
    """When each machine was last stopped or started."""
    sender: dict[str, tuple[str, bool]] = {}
    """The machine that each attempt was sent to, and whether it was in touch."""

    async def send(node, path: str) -> int | None:
        request = f"a{next(numbers):06x}"
        in_touch = time.monotonic() - changed_s.get(node.name, 0.0) > CONTACT_S
        sender[request] = (node.name, in_touch)
        headers = {"Host": HOST, "X-Attempt-Id": request, "X-Deadline-Ms": "1500"}
        answer = await call(node.address, "POST", path, headers, b"the same body", 3.0)
        status = answer.status if answer is not None else None
        record.note("answer", node=node.name, request=request, path=path, status=status)
        return status

    async def restart(node) -> None:
        record.note("SIGTERM", node=node.name)
        changed_s[node.name] = time.monotonic()
        node.signal(signal.SIGTERM)
        if not await node.wait_ended(GRACE_S):
            node.signal(signal.SIGKILL)
            await node.wait_ended(2.0)
        node.start()
        await node.wait_ready()
        changed_s[node.name] = time.monotonic()
        record.note("started again", node=node.name)

    served = 0
    try:
        await fleet.start(configuration(1, [route]))
        for number in range(RUNNERS):
            runners.append(Runner(f"i-{number}", "cards", fleet.store, card, record.note))
            await runners[-1].start()
        await asyncio.sleep(CONTACT_S + 0.5)
        for number in range(ROUNDS):
            for step in range(2):
                await send(fleet.nodes[step], DEADLY)
                await asyncio.sleep(RETRY_AFTER_S)
            served += await send(fleet.nodes[0], f"/card/sound{number}") == 200
            if number == ROUNDS - 1:
                break
            if trouble:
                for node in fleet.nodes:
                    await restart(node)
                    await asyncio.sleep(GAP_S)
            else:
                await asyncio.sleep(UNDISTURBED_S)
            await asyncio.sleep(CONTACT_S + 0.2)
    finally:
        fleet.stop()
    runs = sorted(
        (run for one in runners for run in one.runs if run.target == DEADLY),
        key=lambda run: run.arrived_s,
    )
    late = [
        run
        for run in runs[3:]
        if run.arrived_s > runs[2].arrived_s + CONTACT_S and sender[run.request][1]
    ]
    for run in late:
        at_s = f"{run.arrived_s - record.began_s:.3f}"
        node = sender[run.request][0]
        record.note("late retry", at_s=at_s, request=run.request, runner=run.runner, sent_by=node)
    record.note("requests", crashes=len(runs), late_retries=len(late), sound_served=served)
    if served < ROUNDS - 1 or len(runs) < 3:
        return 2
    return 1 if len(late) > MAX_RETRIES else 0


if __name__ == "__main__":
    main(case, FOLDER / "record.txt")
