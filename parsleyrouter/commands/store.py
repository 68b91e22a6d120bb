"""``parsley-store``: stores immutable chunks on the disk of its VM."""

from parsleyrouter.commands.program import run_program
from parsleyrouter.process.assembly import assemble_store
from parsleyrouter.process.store_options import StoreOptions

__all__ = ["main"]


def main() -> None:
    """Run the program until a graceful shutdown has ended."""
    run_program(
        "parsley-store",
        "Store chunks of batch jobs in one data folder.",
        StoreOptions,
        assemble_store,
    )
