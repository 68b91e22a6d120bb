"""Start a front process and report changes of its settings file."""

import logging
import os
import signal
import sys
from dataclasses import fields
from functools import partial
from pathlib import Path

from parsleyrouter.platform.adapter import PLATFORM
from parsleyrouter.platform.settings import SETTINGS_VARIABLE, read_settings, unknown_fields
from parsleyrouter.process.front_assembly import assemble_front
from parsleyrouter.process.front_options import FrontOptions
from parsleyrouter.process.logs import start_logs
from parsleyrouter.process.loop import Loop
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.setting_checks import EXIT_INVALID_SETTING, InvalidSetting

__all__ = ["METRICS_VARIABLE", "load_options", "run"]

METRICS_VARIABLE = "PARSLEY_METRICS_PORT"

FILE_CHECK_INTERVAL_S = 2.0
"""Interval of checks for changes of the settings file that no SIGHUP announced."""

log = logging.getLogger(__name__)


def load_options() -> tuple[Path, FrontOptions]:
    """Return the path and content of the settings file; exit if it is invalid."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        return path, read_settings(path, os.environ.get(METRICS_VARIABLE, ""))
    except InvalidSetting as error:
        print(f"parsley-front: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTING)


def run() -> None:
    """Run until a graceful shutdown has ended."""
    path, options = load_options()
    start_logs(program="parsley-front", level=options.log_level, output=sys.stdout.fileno())
    # The platform ends the process after the grace time; a repeated SIGTERM must not do so earlier.
    runtime = Runtime(forcing_signals=(signal.SIGINT,))
    watch = SettingsWatch(path, options)
    runtime.on_reload(watch.reload)
    watch.check_file(runtime.loop)
    for name in unknown_fields(path):
        log.info("setting not used", extra={"setting": name})
    assemble_front(runtime, options, PLATFORM)
    runtime.run()


class SettingsWatch:
    """Logs which settings have changed; a running process applies them at its next start."""

    def __init__(self, path: Path, options: FrontOptions) -> None:
        self.path = path
        self.options = options
        self.file_state = _file_state(path)

    def check_file(self, loop: Loop) -> None:
        """Reload if the file has changed since the last check, then schedule the next check."""
        file_state = _file_state(self.path)
        if file_state != self.file_state:
            self.reload()
        loop.call_later(FILE_CHECK_INTERVAL_S, partial(self.check_file, loop))

    def reload(self) -> None:
        """Read the file again and log the names of changed settings."""
        self.file_state = _file_state(self.path)
        try:
            found = read_settings(self.path, str(self.options.metrics_port))
        except InvalidSetting as error:
            log.error("settings not reloaded, the former ones stay", extra={"reason": str(error)})
            return
        names = [field.name for field in fields(found)]
        changed = [name for name in names if getattr(found, name) != getattr(self.options, name)]
        log.info("settings reloaded", extra={"changed": changed})


def _file_state(path: Path) -> tuple[int, int] | None:
    """Return modification time and size of a file, ``None`` while it is missing."""
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size
