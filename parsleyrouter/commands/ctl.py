"""``parsleyctl``: command-line tool for operators.

Exit codes: 0 done; 1 failed, or ``diff`` found differences; 2 wrong usage; 3 refused as invalid;
4 another operator's change came first; 5 not found; 6 no entry could be reached, nothing was
changed; 7 unknown whether the change was applied, check the history; 8 not in force in time.
``check-config`` ends with 0 clean, 1 warnings, 2 errors, 5 or 6 without a version in the store.
"""

import sys

import msgspec
from cyclopts import App, CycloptsError

from parsleyrouter.commands.ctl_check_config import check_config
from parsleyrouter.commands.ctl_client import CtlError, ExitCode
from parsleyrouter.commands.ctl_explain import explain
from parsleyrouter.commands.ctl_settings import settings_app
from parsleyrouter.commands.ctl_views import add_views
from parsleyrouter.process.options import InvalidSetting
from parsleyrouter.version.paths import InvalidPath

__all__ = ["main"]

app = App(name="parsleyctl", help=__doc__)
app.command(settings_app)
app.command(explain)
app.command(check_config, name="check-config")
add_views(app)


def main(arguments: list[str] | None = None) -> None:
    """Run one command and exit with its code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    as_json = "--json" in arguments
    try:
        app(arguments, exit_on_error=False, print_error=False)
    except CtlError as error:
        _fail(str(error), error.code, error.details if as_json else None)
    except (InvalidPath, InvalidSetting, CycloptsError) as error:
        _fail(str(error), ExitCode.USAGE)


def _fail(message: str, code: int, details: object = None) -> None:
    print(f"parsleyctl: {message}", file=sys.stderr)
    if details:
        print(msgspec.json.encode({"error": details}).decode())
    sys.exit(code)
