"""``parsley-batch``: runs the parts of batch jobs."""

from parsleyrouter.commands.program import run_program
from parsleyrouter.process.assembly import assemble_batch
from parsleyrouter.process.role_options import BatchOptions

__all__ = ["main"]


def main() -> None:
    """Run the program until a graceful shutdown has ended."""
    run_program("parsley-batch", "Run parts of batch jobs.", BatchOptions, assemble_batch)
