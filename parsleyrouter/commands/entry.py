"""``parsley-entry``: the callers' and operators' HTTP, and the agent of the VM."""

from parsleyrouter.commands.program import run_program
from parsleyrouter.process.assembly import assemble_entry
from parsleyrouter.process.role_options import EntryOptions

__all__ = ["main"]


def main() -> None:
    """Run the program."""
    run_program(
        "parsley-entry",
        "Answer callers and operators; keep membership and settings for this VM.",
        EntryOptions,
        assemble_entry,
    )
