"""Steps for parsleyctl, run in this process against an entry in a thread."""

import contextlib
import io
import json
import tempfile
import threading
from pathlib import Path
from typing import Any

from behave import given, then, when

from features.support.agents import OPERATOR_KEY, serve_settings, start_agent
from parsleyrouter.commands import ctl, ctl_output
from parsleyrouter.connection.authentication import hash_key
from parsleyrouter.connection.key_value import ABSENT
from parsleyrouter.ids import JobId
from parsleyrouter.process.job_port import JobState, JobStatus
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.memory_key_value import MemoryKeyValue
from parsleyrouter.version.paths import settings_key

CONSOLE_COLUMNS = 200


class SingleJobService:
    """Job service that returns the same job to every team."""

    async def list(self, team: str, after: str, limit: int) -> tuple[JobStatus, ...]:
        """Return one running job."""
        return (JobStatus(JobId("job-1"), JobState.RUNNING, 3, 1, 0, 1.0, 2.0, late=True),)


class EntryThread(threading.Thread):
    """Thread that serves the operators' API."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.ready = threading.Event()
        self.runtime = Runtime()
        self.address = ""
        self.jobs = SingleJobService()

    def run(self) -> None:
        """Serve until stopped."""
        key_value = self.key_value = MemoryKeyValue(self.runtime.loop)
        agent = start_agent(self.runtime, key_value, "n0")
        server = serve_settings(self.runtime, agent, key_value)
        server.context = self
        self.address = server.bound_address()
        self.runtime.loop.call_later(0.1, self.ready.set)
        self.runtime.run()

    def stop(self) -> None:
        """End the thread."""
        self.runtime.loop.call_from_thread(self.runtime.stop)
        self.join(10)


@given("an entry that serves operators")
def entry_serves(context: Any) -> None:
    thread = EntryThread()
    thread.start()
    assert thread.ready.wait(10)
    folder = tempfile.TemporaryDirectory()
    context.entry = thread.address
    context.thread = thread
    context.folder = Path(folder.name)
    context.cleanups = [thread.stop, folder.cleanup]


def run_ctl(context: Any, arguments: list[str], key: str = OPERATOR_KEY) -> None:
    """Run parsleyctl and store its exit code and output in the context."""
    key_file = context.folder / "key"
    key_file.write_text(key)
    if "--entry" not in arguments:
        arguments = [*arguments, "--entry", context.entry]
    arguments = [*arguments, "--key-file", str(key_file)]
    output = io.StringIO()
    console = ctl_output.console
    ctl_output.console = type(console)(file=output, width=CONSOLE_COLUMNS, soft_wrap=True)
    context.code = 0
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            ctl.main(arguments)
    except SystemExit as end:
        context.code = end.code
    finally:
        ctl_output.console = console
    context.printed = output.getvalue()


def split_arguments(context: Any, line: str) -> list[str]:
    """Split a command line and replace FILE and DRAFT by paths."""
    files = {"FILE": "settings.json", "DRAFT": "draft.json"}
    arguments = line.split()
    if line.count("{"):
        start, end = line.index("{"), line.rindex("}") + 1
        value = line[start:end].replace('\\"', '"')
        arguments = [*line[:start].split(), value, *line[end:].split()]
    return [str(context.folder / files[word]) if word in files else word for word in arguments]


@when('parsleyctl runs "{line}" with the key "{key}"')
def ctl_runs_with_key(context: Any, line: str, key: str) -> None:
    run_ctl(context, split_arguments(context, line), key)


@when('parsleyctl runs "{line}"')
def ctl_runs(context: Any, line: str) -> None:
    run_ctl(context, split_arguments(context, line))


@when('parsleyctl sets an operator with the key "{key}" and the role {role}')
def ctl_sets_operator(context: Any, key: str, role: str) -> None:
    value = json.dumps({"sha256": hash_key(key), "role": role})
    run_ctl(context, ["settings", "set", f"/fleet/operators/{role}er", value])
    assert context.code == 0, context.printed


@given('a settings record of "{subtree}" that cannot be read')
def record_broken(context: Any, subtree: str) -> None:
    written = threading.Event()

    async def write() -> None:
        await context.thread.key_value.compare_and_swap(settings_key(subtree), b"broken", ABSENT)
        written.set()

    loop = context.thread.runtime.loop
    loop.call_from_thread(lambda: loop.spawn(write()))
    assert written.wait(10)


@given("a settings file of two teams, one of them invalid")
def file_invalid(context: Any) -> None:
    content = {"/teams/good": {"weight": 2}, "/teams/bad": {"weight": -2}}
    (context.folder / "settings.json").write_text(json.dumps(content))


@given("a settings file of two valid teams")
def file_valid(context: Any) -> None:
    content = {"/teams/good": {"weight": 2}, "/teams/better": {"weight": 3}}
    (context.folder / "settings.json").write_text(json.dumps(content))


@then('parsleyctl exits with {code:d} and prints "{text}"')
def ctl_exits(context: Any, code: int, text: str) -> None:
    assert context.code == code, (context.code, context.printed)
    assert text in context.printed, context.printed


@then('parsleyctl also prints "{text}"')
def ctl_prints(context: Any, text: str) -> None:
    assert text in context.printed, context.printed


@then("parsleyctl prints a trail of {count:d} changes, the newest first")
def ctl_trail(context: Any, count: int) -> None:
    changes = json.loads(context.printed)["changes"]
    assert [change["version"] for change in changes] == list(range(count, 0, -1))
    newest = changes[0]
    assert (newest["was"], newest["now"], newest["who"]) == (2, 3, "bootstrap")
    assert newest["when_s"] > 0 and newest["source"] == "127.0.0.1"
