"""``parsley-idle-store``: the process of a store VM on a platform whose store keeps all jobs.

It keeps nothing on its disk, so losing the VM loses nothing and it can be taken away at any time.
"""

import json
import signal
import sys

__all__ = ["main"]


def main() -> None:
    """Wait until the platform stops the process."""
    _log("started")
    number = signal.sigwait({signal.SIGTERM, signal.SIGINT})
    _log("stopped", signal=signal.Signals(number).name)


def _log(message: str, **fields: str) -> None:
    line = {"program": "parsley-idle-store", "level": "INFO", "message": message} | fields
    print(json.dumps(line), file=sys.stdout, flush=True)


if __name__ == "__main__":
    main()
