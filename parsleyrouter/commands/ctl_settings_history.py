"""The commands ``parsleyctl settings history`` and ``wait``: changes, and where they hold."""

from typing import Any

from parsleyrouter.commands.ctl_client import CtlClient, CtlError, ExitCode
from parsleyrouter.commands.ctl_options import CtlOptions
from parsleyrouter.commands.ctl_output import (
    cell_text,
    show_json,
    show_lines,
    show_table,
    utc_text,
)
from parsleyrouter.commands.ctl_settings import settings_app
from parsleyrouter.version.paths import parse_path

__all__ = ["show_changes"]

STATUS_POLL_S = 0.25


@settings_app.command
def history(path: str, /, *, limit: int = 20, options: CtlOptions | None = None) -> None:
    """Show the latest changes at PATH, newest first.

    Parameters
    ----------
    limit
        How many changes of the subtree to read.
    """
    show_changes(path, limit, options or CtlOptions())


def show_changes(path: str, limit: int, options: CtlOptions) -> None:
    """Print the audit trail of a path."""
    target = parse_path(path)
    found = options.run(
        lambda client: client.call("GET", f"/v1/audit{target}", {"limit": str(limit)})
    )
    if options.json:
        show_json(found)
        return
    show_table(
        ["version", "when", "who", "from", "path", "was", "now"],
        (
            (
                one["version"],
                utc_text(one["when_s"]),
                one["who"],
                one["source"],
                one["path"],
                cell_text(one["was"]),
                cell_text(one["now"]),
            )
            for one in found["changes"]
        ),
    )


@settings_app.command
def wait(revision: int, /, *, timeout_s: float = 30.0, options: CtlOptions | None = None) -> None:
    """Wait until REVISION is in force on every live node.

    Parameters
    ----------
    timeout_s
        Longest wait in seconds.
    """
    chosen = options or CtlOptions()
    status = chosen.run(lambda client: wait_in_force(client, revision, timeout_s))
    if chosen.json:
        show_json(status)
    else:
        show_lines([f"revision {revision} is in force on {len(status['nodes'])} nodes"])


async def wait_in_force(client: CtlClient, revision: int, timeout_s: float) -> Any:
    """Poll until a revision is in force on every node; raise ``CtlError`` at the timeout."""
    loop = client.runtime.loop
    deadline_s = loop.now() + timeout_s
    while True:
        status = await client.call("GET", "/v1/status", {"revision": str(revision)})
        behind = [node["node"] for node in status["nodes"] if not node["in_force"]]
        if not behind:
            return status
        if loop.now() > deadline_s:
            message = f"revision {revision} is not in force on: {', '.join(behind)}"
            raise CtlError(message, ExitCode.TIMED_OUT, behind)
        await loop.sleep(STATUS_POLL_S)
