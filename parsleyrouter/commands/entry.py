"""``parsley-entry``: HTTP API for callers and operators, and the agent of the VM."""

from parsleyrouter.commands.program import run_program
from parsleyrouter.process.assembly import assemble_entry
from parsleyrouter.process.role_options import EntryOptions

__all__ = ["main"]


def main() -> None:
    """Run the program until a graceful shutdown has ended."""
    run_program(
        "parsley-entry",
        "Serve callers and operators; maintain membership and settings for this VM.",
        EntryOptions,
        assemble_entry,
    )
