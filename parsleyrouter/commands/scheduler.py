"""``parsley-scheduler``: grants slots of the endpoints whose home node this is."""

from parsleyrouter.commands.program import run_program
from parsleyrouter.process.assembly import assemble_scheduler
from parsleyrouter.process.role_options import FollowerOptions

__all__ = ["main"]


def main() -> None:
    """Run the program until a graceful shutdown has ended."""
    run_program(
        "parsley-scheduler",
        "Grant slots of the endpoints whose home node this is.",
        FollowerOptions,
        assemble_scheduler,
    )
