"""Shared main function of the programs: parse settings, start logging, run until stopped."""

import sys
from collections.abc import Callable
from typing import Protocol, TypeVar

from cyclopts import App, CycloptsError
from cyclopts.config import Env

from parsleyrouter.process.logs import start_logs
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.setting_checks import EXIT_INVALID_SETTING, InvalidSetting

__all__ = ["EXIT_INVALID_SETTING", "run_program"]


class _Options(Protocol):
    @property
    def log_level(self) -> str: ...

    def check(self) -> None: ...


O = TypeVar("O", bound=_Options)  # noqa: E741


def run_program(
    name: str,
    summary: str,
    options_type: type[O],
    assemble: Callable[[Runtime, O], object],
    arguments: list[str] | None = None,
) -> None:
    """Parse and check the settings, assemble the process and run until a graceful shutdown ends.

    An invalid setting is reported on standard error and exits with code 2.
    """
    app = App(name=name, help=summary, config=Env("PARSLEY_", command=False))

    @app.default
    def start(options: options_type | None = None) -> None:  # type: ignore[valid-type]
        chosen = options or options_type()
        chosen.check()
        start_logs(program=name, level=chosen.log_level)
        runtime = Runtime()
        assemble(runtime, chosen)
        runtime.run()

    try:
        app(arguments, exit_on_error=False, print_error=False)
    except (InvalidSetting, CycloptsError) as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTING)
