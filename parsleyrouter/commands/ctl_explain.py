"""The ``parsleyctl explain`` command: show what happened to a request."""

from collections.abc import Iterator
from pathlib import Path

from parsleyrouter.commands.ctl_client import CtlError, ExitCode
from parsleyrouter.commands.ctl_output import show_lines
from parsleyrouter.process.log_timeline import LogLine, build_timeline, read_lines

__all__ = ["explain"]


def explain(name: str, /, *logs: Path) -> None:
    """Show the timeline of a request, job or item from log files of any processes.

    Lines about it are marked; the others show how the state of its processes changed meanwhile.
    """
    if not logs:
        raise CtlError("name at least one log file", ExitCode.USAGE)
    timeline = build_timeline(_read(logs), name)
    if not timeline.lines:
        raise CtlError(f"no line is about {name!r} in these files", ExitCode.NOT_FOUND)
    show_lines(timeline.render())


def _read(logs: tuple[Path, ...]) -> Iterator[LogLine]:
    for path in logs:
        try:
            with path.open(errors="replace") as lines:
                yield from read_lines(path.stem, lines)
        except OSError as error:
            raise CtlError(f"cannot read {path}: {error}", ExitCode.FAILED) from error
