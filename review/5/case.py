"""A long stream that arrives late in a planned stop is begun, and cut when the process exits."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from fleet import GRACE_S, TROUBLE, CannotRun, Fleet, play  # noqa: E402
from runner import stream_body  # noqa: E402

SHORT, LONG = (10, 0.03), (80, 0.05)
"""Number of events of a short and a long answer, and the pause before each in seconds."""

KEPT_LIFETIMES, TTL_MAX_S = 3, 5.0
BEFORE_EXPIRY_S = 0.3


async def case(fleet: Fleet) -> list[str]:
    route = {"name": "chat", "prefix": "/chat/", "kind": "stream", "maxAttempts": 1}
    fleet.configure([route | {"service": "lm", "gapAimMs": 400}])
    for _ in range(2):
        runner = await fleet.add_runner("lm")
        runner.plan = lambda request: LONG if "/long" in request.target else SHORT
    await fleet.start(2)
    front = fleet.fronts[0]
    for number in range(12):
        await fleet.send(front, f"/chat/short{number}")
    addresses, ttl_s = await fleet.resolve(fleet.fronts[1])
    if front.callers not in addresses:
        raise CannotRun(f"{front.name} is not listed")
    resolved_s = time.monotonic()
    if TROUBLE:
        front.signal(signal.SIGTERM)
        fleet.record.write(f"SIGTERM to {front.name}, SIGKILL after {GRACE_S} s")
    for number in range(4):
        await fleet.send(front, f"/chat/short-after{number}")
        await asyncio.sleep(0.5)
    late_s = resolved_s + KEPT_LIFETIMES * min(ttl_s, TTL_MAX_S) - BEFORE_EXPIRY_S
    await asyncio.sleep(max(0.0, late_s - time.monotonic()))
    names = [f"{random.getrandbits(64):016x}" for _ in range(2)]
    sending = [fleet.send(front, "/chat/long", name, tokens="250,640") for name in names]
    replies = await asyncio.gather(*sending)
    await asyncio.sleep(max(0.0, resolved_s + GRACE_S - time.monotonic()))
    if TROUBLE and front.alive:
        front.signal(signal.SIGKILL)
        fleet.record.write(f"SIGKILL to {front.name}")
    runs = {run.attempt: run for one in fleet.runners.values() for run in one.runs}
    broken = []
    for name, reply in zip(names, replies, strict=True):
        whole = reply.complete and reply.body == stream_body(name, LONG[0])
        if name in runs and reply.status == 200 and not whole:
            broken.append(
                f"{name}, sent {reply.sent_s - resolved_s:.2f} s after the SIGTERM and passed on to "
                f"{runs[name].runner}, ended incomplete after {reply.ended_s - reply.sent_s:.2f} s"
            )
    return broken


if __name__ == "__main__":
    play(case, str(Path(__file__).parent))
