"""Start a front process and take changes of its settings file."""

import logging
import os
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

LOOK_S = 2.0
"""Pause between looks whether the settings file has changed without a signal."""

log = logging.getLogger(__name__)


def load_options() -> tuple[Path, FrontOptions]:
    """Return the settings file and what it holds; end the program if it cannot be used."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        return path, read_settings(path, os.environ.get(METRICS_VARIABLE, ""))
    except InvalidSetting as error:
        print(f"parsley-front: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTING)


def run() -> None:
    """Run until a planned stop."""
    path, options = load_options()
    start_logs(program="parsley-front", level=options.log_level, output=sys.stdout.fileno())
    runtime = Runtime()
    watch = SettingsWatch(path, options)
    runtime.on_reload(watch.reload)
    watch.look(runtime.loop)
    for name in unknown_fields(path):
        log.info("setting not used", extra={"setting": name})
    assemble_front(runtime, options, PLATFORM)
    runtime.run()


class SettingsWatch:
    """Log which settings have changed; those of a running process stay until its next start."""

    def __init__(self, path: Path, options: FrontOptions) -> None:
        self.path = path
        self.options = options
        self.stamp = _stamp(path)

    def look(self, loop: Loop) -> None:
        """Take changes of the file that no signal tells of."""
        stamp = _stamp(self.path)
        if stamp != self.stamp:
            self.reload()
        loop.call_later(LOOK_S, partial(self.look, loop))

    def reload(self) -> None:
        """Read the file again."""
        self.stamp = _stamp(self.path)
        try:
            found = read_settings(self.path, str(self.options.metrics_port))
        except InvalidSetting as error:
            log.error("settings not reloaded, the former ones stay", extra={"reason": str(error)})
            return
        names = [field.name for field in fields(found)]
        changed = [name for name in names if getattr(found, name) != getattr(self.options, name)]
        log.info("settings reloaded", extra={"changed": changed})


def _stamp(path: Path) -> tuple[int, int] | None:
    """Return what changes when a file does, ``None`` while it is missing."""
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size
