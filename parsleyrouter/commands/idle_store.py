"""``parsley-idle-store``: placeholder on store VMs of a platform whose store holds all jobs.

It writes nothing to disk, so the VM can be lost or removed at any time without losing data.
"""

import json
import signal
import sys

__all__ = ["main"]

_HANDLED_SIGNALS = {signal.SIGHUP, signal.SIGINT, signal.SIGTERM}


def main() -> None:
    """Wait for SIGTERM or SIGINT."""
    signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED_SIGNALS)
    _log("started")
    while (number := signal.sigwait(_HANDLED_SIGNALS)) == signal.SIGHUP:
        _log("settings reloaded, none is used")
    _log("stopped", signal=signal.Signals(number).name)


def _log(message: str, **fields: str) -> None:
    line = {"program": "parsley-idle-store", "level": "INFO", "message": message} | fields
    print(json.dumps(line), file=sys.stdout, flush=True)


if __name__ == "__main__":
    main()
