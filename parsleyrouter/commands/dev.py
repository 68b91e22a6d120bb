"""``parsley-dev``: the whole system in one process on embedded stand-ins."""

import threading

from cyclopts import App
from rich.console import Console

from parsleyrouter.process.logs import start_logs
from parsleyrouter.standins.demo import run_demo
from parsleyrouter.standins.embedded import EmbeddedFleet, EmbeddedOptions

__all__ = ["main"]

app = App(name="parsley-dev", help="Run the whole system in one process on embedded stand-ins.")


@app.command
def demo(*, nodes: int = 2, engines: int = 2, log_level: str = "warning") -> None:
    """Send online requests before and during a batch job, and show the responses."""
    start_logs(program="parsley-dev", level=log_level)
    fleet = EmbeddedFleet(EmbeddedOptions(nodes=nodes, engines=engines))
    fleet.start()
    try:
        run_demo(fleet, Console())
    finally:
        fleet.stop()


@app.command
def serve(*, nodes: int = 2, engines: int = 2, log_level: str = "info") -> None:
    """Print the addresses and keys to use, then serve until interrupted."""
    start_logs(program="parsley-dev", level=log_level)
    fleet = EmbeddedFleet(EmbeddedOptions(nodes=nodes, engines=engines))
    fleet.start()
    console = Console()
    console.print(f"entries: {', '.join(fleet.entries)}")
    console.print(f"team key: {fleet.options.team_key}")
    console.print(f"operator key: {fleet.options.operator_key}")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        fleet.stop()


def main() -> None:
    """Run one command."""
    app()
