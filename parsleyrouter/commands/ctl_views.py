"""The parsleyctl commands that show teams, endpoints, jobs, the audit trail and status."""

from typing import Any

from cyclopts import App

from parsleyrouter.commands.ctl_client import CtlClient
from parsleyrouter.commands.ctl_options import CtlOptions
from parsleyrouter.commands.ctl_output import show_json, show_lines, show_table, utc_text
from parsleyrouter.commands.ctl_settings_history import show_changes

__all__ = ["add_views"]


def add_views(app: App) -> None:
    """Add the commands to the app."""
    for command in (teams, endpoints, jobs, audit, status):
        app.command(command)


def teams(*, options: CtlOptions | None = None) -> None:
    """List the teams in the active settings."""
    chosen = options or CtlOptions()
    found = chosen.run(lambda client: client.call("GET", "/v1/status"))["teams"]
    if chosen.json:
        show_json(found)
        return
    rows = ((name, one["models"], one["kinds"], one["keys"]) for name, one in sorted(found.items()))
    show_table(["team", "models", "kinds", "keys"], rows)


def endpoints(*, options: CtlOptions | None = None) -> None:
    """List the endpoints in the settings."""
    chosen = options or CtlOptions()
    found = chosen.run(lambda client: client.call("GET", "/v1/settings/fleet/endpoints"))
    listed = found["value"] or {}
    if chosen.json:
        show_json(listed)
        return
    show_table(
        ["endpoint", "address", "type", "state", "domain", "serves", "slots", "checks fencing"],
        (_endpoint_row(name, one) for name, one in sorted(listed.items())),
    )


def _endpoint_row(name: str, one: dict[str, Any]) -> list[Any]:
    serves = one.get("application") or ", ".join(one.get("models", ())) or "-"
    return [
        name,
        one["address"],
        one.get("type", "engine"),
        one.get("state", "active"),
        one.get("domain") or "-",
        serves,
        one.get("slots", 8),
        "yes" if one.get("checks_fencing") else "no",
    ]


def jobs(team: str = "", /, *, limit: int = 100, options: CtlOptions | None = None) -> None:
    """List the batch jobs of TEAM, by default those of all teams.

    Parameters
    ----------
    limit
        Most jobs to list of each team.
    """
    chosen = options or CtlOptions()
    found = chosen.run(lambda client: fetch_jobs(client, team, limit))
    if chosen.json:
        show_json(found)
        return
    show_table(
        ["team", "job", "state", "items", "done", "failed", "deadline", "late"],
        ([one["team"], *_job_row(job)] for one in found for job in one["jobs"]),
    )


async def fetch_jobs(client: CtlClient, team: str, limit: int) -> list[Any]:
    """Return the jobs of one team, or of all in turn when the name is empty."""
    teams = [team] if team else sorted((await client.call("GET", "/v1/status"))["teams"])
    return [
        await client.call("GET", "/v1/jobs", {"team": name, "limit": str(limit)}) for name in teams
    ]


def _job_row(job: dict[str, Any]) -> list[Any]:
    late = "yes" if job["late"] else "no"
    counts = [job["items"], job["done"], job["failed"]]
    return [job["job"], job["state"], *counts, utc_text(job["deadline_s"]), late]


def audit(path: str = "/fleet", /, *, limit: int = 50, options: CtlOptions | None = None) -> None:
    """Show who changed what at PATH, when and from where.

    Parameters
    ----------
    limit
        How many changes of the subtree to read.
    """
    show_changes(path, limit, options or CtlOptions())


def status(*, options: CtlOptions | None = None) -> None:
    """Show the nodes and whether their settings are current."""
    chosen = options or CtlOptions()

    async def fetch(client: CtlClient) -> Any:
        return await client.call("GET", "/v1/status")

    found = chosen.run(fetch)
    if chosen.json:
        show_json(found)
        return
    proof = "proved current" if found["proved_current"] else "not proved current"
    show_lines([f"settings at revision {found['revision']}, {proof} on {found['node']}"])
    show_table(
        ["node", "domain", "state", "load", "in force", "proved current", "services"],
        (_node_row(one) for one in found["nodes"]),
    )


def _node_row(one: dict[str, Any]) -> list[Any]:
    return [
        one["node"],
        one["domain"],
        one["state"],
        f"{one['load']:.2f}",
        "yes" if one["in_force"] else "no" if one["answers"] else "no answer",
        "yes" if one["proved_current"] else "no",
        ", ".join(sorted(one["services"])),
    ]
