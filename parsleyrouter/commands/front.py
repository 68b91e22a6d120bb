"""``parsley-front``: all duties of a node in one process, on the operators' platform."""

import signal
import sys

__all__ = ["main"]


def main() -> None:
    """Run the program, or check its settings when called with arguments."""
    # The settings are read later, so a hang-up that comes before has nothing to add. The imports
    # take most of the start, and until a handler is set a hang-up would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if len(sys.argv) > 1:
        from parsleyrouter.commands.front_check import app

        app()
        return
    from parsleyrouter.commands.front_program import run

    run()


if __name__ == "__main__":
    main()
