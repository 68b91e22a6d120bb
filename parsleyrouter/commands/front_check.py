"""``parsley-front --check``: print the effective settings and the source of each."""

import os
from dataclasses import fields

import msgspec
from cyclopts import App

from parsleyrouter.commands.front_program import METRICS_VARIABLE, load_options
from parsleyrouter.platform.settings import unknown_fields
from parsleyrouter.process.front_options import FrontOptions

__all__ = ["app"]

app = App(name="parsley-front", help="All roles of a node; run without arguments to serve.")


@app.default
def check(*, check: bool = False) -> None:
    """Validate the settings file and print the settings that would be effective.

    Parameters
    ----------
    check:
        Print the settings with their sources and exit.
    """
    if not check:
        app.help_print()
        return
    path, options = load_options()
    for field in fields(FrontOptions):
        value = getattr(options, field.name)
        source = str(path)
        if field.name == "metrics_port":
            source = METRICS_VARIABLE if os.environ.get(METRICS_VARIABLE) else "default"
        elif field.name in ("key_value_calls_per_s", "log_level"):
            source = "default"
        print(f"{field.name} = {msgspec.json.encode(value).decode()}  # {source}")
    for name in unknown_fields(path):
        print(f"# {name}: not used")
