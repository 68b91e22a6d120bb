"""Results and items of an accepted job cannot be read after its route has been removed."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from fleet import TROUBLE, CannotRun, Fleet, item, play  # noqa: E402

CHAT = {"name": "chat", "prefix": "/chat/", "kind": "stream", "maxAttempts": 1, "service": "lm"}
BULK = {
    "name": "bulk",
    "prefix": "/bulk/",
    "kind": "batch",
    "maxAttempts": 3,
    "service": "lm",
    "runTargetMs": 18000,
    "retentionS": 60,
}
JOB = "7c41e09b52d6a3f8"
ITEMS = 4
AFTER_S = 5.0
"""Later than configApplyMs and settleMs after the change was acknowledged."""


async def case(fleet: Fleet) -> list[str]:
    fleet.configure([CHAT, BULK])
    for _ in range(2):
        runner = await fleet.add_runner("lm")
        runner.plan = lambda request: (10, 0.02)
    await fleet.start(3)
    await fleet.submit(fleet.fronts[0], JOB, "/bulk/", [item(n, "/bulk/") for n in range(ITEMS)])
    until_s = time.monotonic() + 15
    while True:
        found = await fleet.read(fleet.fronts[1], JOB)
        if found.status == 200 and found.body.count(b'"completed"') == ITEMS:
            break
        if time.monotonic() > until_s:
            raise CannotRun("the job was not done in time")
        await asyncio.sleep(0.3)
    fleet.configure([CHAT] if TROUBLE else [CHAT, BULK | {"timeoutMs": 6000}])
    await asyncio.sleep(AFTER_S)
    broken = []
    for front in fleet.fronts:
        found = await fleet.read(front, JOB)
        if found.status in (404, 410):
            broken.append(
                f"{front.name} answers {found.status} for {JOB}, accepted and read before"
            )
    return broken


if __name__ == "__main__":
    play(case, str(Path(__file__).parent))
