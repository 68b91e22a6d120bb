"""The commands ``parsleyctl settings ...``."""

import sys
from pathlib import Path
from typing import Any

from cyclopts import App

from parsleyrouter.commands.ctl_client import CtlClient, CtlError, ExitCode
from parsleyrouter.commands.ctl_files import load_file, parse_value, read_draft, write_draft
from parsleyrouter.commands.ctl_options import CtlOptions
from parsleyrouter.commands.ctl_output import cell_text, show_json, show_lines, show_table
from parsleyrouter.version.diff import differences
from parsleyrouter.version.paths import SettingsPath, parse_path

__all__ = ["settings_app"]

settings_app = App(name="settings", help="Read and change settings by path.")


async def read(client: CtlClient, path: SettingsPath) -> Any:
    """Return the value at a path and the version of its subtree."""
    return await client.call("GET", f"/v1/settings{path}")


async def write(
    client: CtlClient, method: str, path: SettingsPath, value: Any, version: int, dry_run: bool
) -> Any:
    """Change a path if its subtree still has the version that was read."""
    query = {"version": str(version), "dry_run": "true" if dry_run else "false"}
    return await client.call(method, f"/v1/settings{path}", query, value)


async def change(
    client: CtlClient,
    method: str,
    path: SettingsPath,
    value: Any,
    version: int | None,
    dry_run: bool,
) -> Any:
    """Change a path, at its current version unless one is given."""
    if version is None:
        version = (await read(client, path))["version"]
    return await write(client, method, path, value, version, dry_run)


def report(options: CtlOptions, outcome: Any, dry_run: bool) -> None:
    """Print the outcome of a change."""
    if options.json:
        show_json(outcome)
        return
    record = outcome["change"]
    show_lines(
        [
            f"{record['path']}: {cell_text(record['was'])} -> {cell_text(record['now'])}",
            (
                "dry run: nothing was changed"
                if dry_run
                else f"accepted as version {record['version']}, revision {outcome['revision']}"
            ),
        ]
    )


@settings_app.command
def get(path: str, /, *, options: CtlOptions | None = None) -> None:
    """Print the value at PATH."""
    chosen = options or CtlOptions()
    found = chosen.run(lambda client: read(client, parse_path(path)))
    if not found["set"]:
        raise CtlError(f"{found['path']} is not set", ExitCode.NOT_FOUND)
    show_json(found if chosen.json else found["value"])


@settings_app.command(name="set")
def set_value(
    path: str,
    value: str,
    /,
    *,
    version: int | None = None,
    dry_run: bool = False,
    options: CtlOptions | None = None,
) -> None:
    """Set PATH to VALUE, which is JSON or plain text.

    Parameters
    ----------
    version
        Change only this version of the subtree; by default the current one.
    dry_run
        Validate the change without making it.
    """
    chosen = options or CtlOptions()
    new = parse_value(value)
    outcome = chosen.run(
        lambda client: change(client, "PUT", parse_path(path), new, version, dry_run)
    )
    report(chosen, outcome, dry_run)


@settings_app.command
def unset(
    path: str,
    /,
    *,
    version: int | None = None,
    dry_run: bool = False,
    options: CtlOptions | None = None,
) -> None:
    """Remove the value at PATH.

    Parameters
    ----------
    version
        Change only this version of the subtree; by default the current one.
    dry_run
        Validate the change without making it.
    """
    chosen = options or CtlOptions()
    outcome = chosen.run(
        lambda client: change(client, "DELETE", parse_path(path), None, version, dry_run)
    )
    report(chosen, outcome, dry_run)


@settings_app.command
def edit(
    path: str, file: Path, /, *, dry_run: bool = False, options: CtlOptions | None = None
) -> None:
    """Change PATH through a draft in FILE.

    Writes the current value and version to a new FILE; edit it and run the command again.

    Parameters
    ----------
    dry_run
        Validate the change without making it.
    """
    chosen = options or CtlOptions()
    target = parse_path(path)
    if not file.exists():
        found = chosen.run(lambda client: read(client, target))
        write_draft(file, found)
        show_lines([f"wrote {file}: edit its value, then run the same command again"])
        return
    draft = read_draft(file, target)
    outcome = chosen.run(
        lambda client: write(client, "PUT", target, draft["value"], draft["version"], dry_run)
    )
    report(chosen, outcome, dry_run)
    if not dry_run:
        file.unlink()


@settings_app.command
def diff(file: Path, /, *, options: CtlOptions | None = None) -> None:
    """Show where FILE differs from the current settings; exit 1 if it does.

    FILE holds paths and their values, such as {"/teams/a": {...}}, as JSON or TOML.
    """
    chosen = options or CtlOptions()
    wanted = load_file(file)

    async def compare(client: CtlClient) -> list[Any]:
        found = []
        for path, value in wanted.items():
            current = await read(client, path)
            found += list(differences(current["value"], value, str(path)))
        return found

    found = chosen.run(compare)
    if chosen.json:
        show_json(found)
    else:
        show_table(
            ["path", "was", "now"],
            ((one.path, cell_text(one.was), cell_text(one.now)) for one in found),
        )
    if found:
        sys.exit(ExitCode.FAILED)


@settings_app.command
def apply(file: Path, /, *, dry_run: bool = False, options: CtlOptions | None = None) -> None:
    """Set every path in FILE to its value; nothing is changed unless all values are valid.

    Parameters
    ----------
    dry_run
        Validate the changes without making them.
    """
    chosen = options or CtlOptions()
    wanted = load_file(file)
    outcomes = chosen.run(lambda client: apply_all(client, wanted, dry_run))
    if chosen.json:
        show_json(outcomes)
        return
    for outcome in outcomes:
        report(chosen, outcome, dry_run)
    show_lines([f"{len(outcomes)} of {len(wanted)} paths differed"])


async def apply_all(client: CtlClient, wanted: dict[SettingsPath, Any], dry_run: bool) -> list[Any]:
    """Validate all changes, then make those that differ, at the versions validated."""
    checked = []
    refusals: list[CtlError] = []
    for path, value in wanted.items():
        current = await read(client, path)
        if current["value"] == value:
            continue
        try:
            outcome = await write(client, "PUT", path, value, current["version"], True)
            checked.append((path, value, outcome))
        except CtlError as error:
            refusals.append(error)
    if refusals:
        raise merge_errors(refusals)
    if dry_run:
        return [outcome for _, _, outcome in checked]
    return [
        await change(client, "PUT", path, value, outcome["change"]["version"] - 1, False)
        for path, value, outcome in checked
    ]


def merge_errors(errors: list[CtlError]) -> CtlError:
    """Return one error that lists all messages."""
    message = "nothing was changed:\n" + "\n".join(str(error) for error in errors)
    return CtlError(message, errors[0].code, [error.details for error in errors])
