"""``parsley-front --check``: print the settings in force and where each comes from."""

import os
import sys
from dataclasses import fields
from pathlib import Path

import msgspec
from cyclopts import App

from parsleyrouter.commands.front_program import METRICS_VARIABLE
from parsleyrouter.platform.settings import SETTINGS_VARIABLE, read_settings, unknown_fields
from parsleyrouter.process.front_options import FrontOptions
from parsleyrouter.process.setting_checks import EXIT_BAD_SETTING, BadSetting

__all__ = ["app"]

app = App(name="parsley-front", help="All duties of a node; run without arguments to serve.")


@app.default
def check(*, check: bool = False) -> None:
    """Check the settings file and print what would be in force.

    Parameters
    ----------
    check:
        Print the settings with their sources and end.
    """
    if not check:
        app.help_print()
        return
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    port = os.environ.get(METRICS_VARIABLE, "")
    try:
        options = read_settings(path, port)
    except BadSetting as error:
        print(f"parsley-front: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTING)
    for field in fields(FrontOptions):
        value = getattr(options, field.name)
        source = str(path)
        if field.name == "metrics_port":
            source = METRICS_VARIABLE if port else "default"
        elif field.name in ("key_value_calls_per_s", "log_level"):
            source = "default"
        print(f"{field.name} = {msgspec.json.encode(value).decode()}  # {source}")
    for name in unknown_fields(path):
        print(f"# {name}: not used")
