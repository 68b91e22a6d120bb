"""``parsley-front``: all duties of a node in one process, on the operators' platform."""

import logging
import os
import sys
from dataclasses import fields
from functools import partial
from pathlib import Path

from parsleyrouter.platform.port import PLATFORM
from parsleyrouter.platform.settings import SETTINGS_VARIABLE, read_settings
from parsleyrouter.process.front_assembly import assemble_front
from parsleyrouter.process.front_options import FrontOptions
from parsleyrouter.process.logs import start_logs
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.setting_checks import EXIT_BAD_SETTING, BadSetting

__all__ = ["main"]

METRICS_VARIABLE = "PARSLEY_METRICS_PORT"

log = logging.getLogger(__name__)


def main() -> None:
    """Run the program."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        options = read_settings(path, os.environ.get(METRICS_VARIABLE, ""))
    except BadSetting as error:
        print(f"parsley-front: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTING)
    start_logs(program="parsley-front", level=options.log_level, output=sys.stdout.fileno())
    runtime = Runtime()
    runtime.on_reload(partial(_reload, path, options))
    assemble_front(runtime, options, PLATFORM)
    runtime.run()


def _reload(path: Path, options: FrontOptions) -> None:
    """Log which settings have changed; those of a running process stay until its next start."""
    try:
        found = read_settings(path, str(options.metrics_port))
    except BadSetting as error:
        log.error("settings not reloaded, the former ones stay", extra={"reason": str(error)})
        return
    names = [field.name for field in fields(options)]
    changed = [name for name in names if getattr(found, name) != getattr(options, name)]
    log.info("settings reloaded", extra={"changed": changed})


if __name__ == "__main__":
    main()
