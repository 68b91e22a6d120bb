"""``parsley-front``: all roles of a node in one process, on the operators' platform."""

import signal
import sys

__all__ = ["main"]


def main() -> None:
    """Run the program, or the settings check when called with arguments."""
    # Until a handler is set, SIGHUP ends the process, and the imports below take most of the
    # startup time. Ignoring it loses no change, as the settings are read afterwards.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if len(sys.argv) > 1:
        from parsleyrouter.commands.front_check import app

        app()
        return
    from parsleyrouter.commands.front_program import run

    run()


if __name__ == "__main__":
    main()
