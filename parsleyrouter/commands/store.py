"""``parsley-store``: keeps immutable chunks on the disk of its VM."""

from parsleyrouter.commands.program import run_program
from parsleyrouter.process.assembly import assemble_store
from parsleyrouter.process.store_options import StoreOptions

__all__ = ["main"]


def main() -> None:
    """Run the program."""
    run_program(
        "parsley-store",
        "Keep chunks of batch jobs under one data folder.",
        StoreOptions,
        assemble_store,
    )
