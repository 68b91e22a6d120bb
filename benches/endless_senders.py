"""Time of a loop's turn and memory while callers or nodes send without end, by kind of bytes.

``python benches/endless_senders.py CONNECTIONS SECONDS [KIND ...]``: each kind gets a process of
its own, and its senders another one. By default every kind runs.
"""

import subprocess
import sys

from features.support.endless_senders import (
    ANSWER_KINDS,
    CALLER_KINDS,
    DATAGRAM_KINDS,
    PEER_KINDS,
)
from features.support.endless_serving import Serving
from features.support.loop import run_on_loop
from parsleyrouter.process.runtime import Runtime

HEADINGS = "kind | sent MB | closed | longest turn ms | answers | none | slowest ms | growth MB"


def measure(kind: str, connections: int, seconds: float) -> str:
    """Run one kind here and return its row."""

    async def main(runtime: Runtime) -> str:
        one = await Serving(runtime).beside(kind, connections, seconds)
        slowest_s = max(one.answer_s, default=0.0)
        return (
            f"{kind} | {one.sent_mb:.0f} | {one.closed} | {one.turn_s * 1000:.0f} |"
            f" {len(one.answer_s)} | {one.unanswered} | {slowest_s * 1000:.0f} |"
            f" {one.growth_mb:.0f}"
        )

    return run_on_loop(main)


def run_all(connections: str, seconds: str, kinds: list[str]) -> None:
    """Run each kind in a process of its own and print a table."""
    print(HEADINGS, flush=True)
    for kind in kinds or [*CALLER_KINDS, *PEER_KINDS, *ANSWER_KINDS, *DATAGRAM_KINDS]:
        command = [sys.executable, __file__, "--one", connections, seconds, kind]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        lines = done.stdout.strip().splitlines() or [f"{kind} | failed: {done.stderr[-300:]}"]
        print(lines[-1], flush=True)


if __name__ == "__main__":
    if sys.argv[1] == "--one":
        print(measure(sys.argv[4], int(sys.argv[2]), float(sys.argv[3])))
    else:
        run_all(sys.argv[1], sys.argv[2], sys.argv[3:])
