"""``parsley-scheduler``: slot grants for the endpoints that this node is home for."""

from parsleyrouter.commands.program import run_program
from parsleyrouter.process.assembly import assemble_scheduler
from parsleyrouter.process.role_options import FollowerOptions

__all__ = ["main"]


def main() -> None:
    """Run the program."""
    run_program(
        "parsley-scheduler",
        "Hand out slots of the endpoints that this node is home for.",
        FollowerOptions,
        assemble_scheduler,
    )
