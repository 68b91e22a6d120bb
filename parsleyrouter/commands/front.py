"""``parsley-front``: all duties of a node in one process, on the operators' platform."""

import os
import sys
from pathlib import Path

from parsleyrouter.commands.program import EXIT_BAD_SETTING
from parsleyrouter.platform.port import PLATFORM
from parsleyrouter.platform.settings import SETTINGS_VARIABLE, read_settings
from parsleyrouter.process.front_assembly import assemble_front
from parsleyrouter.process.logs import start_logs
from parsleyrouter.process.options import BadSetting
from parsleyrouter.process.runtime import Runtime

__all__ = ["main"]


def main() -> None:
    """Run the program."""
    try:
        options = read_settings(Path(os.environ.get(SETTINGS_VARIABLE, "")))
    except BadSetting as error:
        print(f"parsley-front: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTING)
    start_logs(program="parsley-front", level=options.log_level)
    runtime = Runtime()
    assemble_front(runtime, options, PLATFORM)
    runtime.run()


if __name__ == "__main__":
    main()
