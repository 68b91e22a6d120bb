"""``parsley-idle-store``: the process of a store VM on a platform whose store keeps all jobs.

It keeps nothing on its disk, so losing the VM loses nothing and it can be taken away at any time.
"""

import json
import signal
import sys

__all__ = ["main"]

_AWAITED = {signal.SIGHUP, signal.SIGINT, signal.SIGTERM}


def main() -> None:
    """Wait until the platform stops the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, _AWAITED)
    _log("started")
    while (number := signal.sigwait(_AWAITED)) == signal.SIGHUP:
        _log("settings reloaded, none is used")
    _log("stopped", signal=signal.Signals(number).name)


def _log(message: str, **fields: str) -> None:
    line = {"program": "parsley-idle-store", "level": "INFO", "message": message} | fields
    print(json.dumps(line), file=sys.stdout, flush=True)


if __name__ == "__main__":
    main()
