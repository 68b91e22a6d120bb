"""Answers without end at eight endpoints at once, beside sound requests and a slow reader.

    python -m benches.endless_replies --seconds 60

One line per kind of bytes: sound answers with their median and longest time, the longest share of a
turn that one connection took, the growth of resident memory and what was kept for the slow reader.
"""

import argparse
import statistics

from features.support.endless_play import EndlessPlay
from features.support.endless_sender import KINDS, EndlessSender
from features.support.loop import run_on_loop
from parsleyrouter.process.runtime import Runtime

ENDPOINTS = 8


def play(play_s: float, *kinds: str) -> str:
    """Play some kinds of bytes for a time in seconds and return a line of figures."""
    sender = EndlessSender(ENDPOINTS, *kinds)
    lines = []

    async def main(runtime: Runtime) -> None:
        one = EndlessPlay(runtime, sender)
        await one.run(play_s)
        median_ms, longest_ms = statistics.median(one.sound_s) * 1000, max(one.sound_s) * 1000
        lines.append(
            f"{len(one.sound_s)} sound answers, {median_ms:.0f} ms, longest {longest_ms:.0f} ms; "
            f"longest share {runtime.connector.shares.longest_s * 1000:.1f} ms; "
            f"memory +{one.memory_bytes / 1e6:.1f} MB, slow reader {one.slow_bytes / 1e3:.0f} kB; "
            f"{len(one.failures)} failed"
        )

    try:
        run_on_loop(main, play_s + 30.0)
    finally:
        sender.close()
    return lines[0]


def main() -> None:
    """Play each kind, and all kinds together."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0, help="time for all kinds together")
    parser.add_argument("--each-seconds", type=float, default=5.0, help="time for each kind alone")
    options = parser.parse_args()
    for kind in KINDS:
        print(f"{kind}: {play(options.each_seconds, kind)}", flush=True)
    kinds = [kind for kind in KINDS if kind != "interim responses with headers"]
    print(f"all kinds: {play(options.seconds, *kinds)}", flush=True)


if __name__ == "__main__":
    main()
