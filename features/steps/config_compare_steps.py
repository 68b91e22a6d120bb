"""Steps for a check of a configuration that uses more than the file."""

import json
import threading
from base64 import b64encode
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

from behave import given, then, when

from features.steps.config_check_steps import EDITS, ROOT, check_files, edited, run_command, sound
from parsleyrouter.commands import ctl_output
from parsleyrouter.platform.routes import ROUTES_KEY
from parsleyrouter.standins.ports import free_address

OTHER = json.dumps(sound() | {"version": 2, "tenants": []}).encode()
SOUND = json.dumps(sound()).encode()
ENDPOINTS = ("--endpoints", "cards=2", "--endpoints", "engines=2")


@when("a configuration with {what} is checked for 2 endpoints of each service")
def step_endpoints(context: Any, what: str) -> None:
    assert what in EDITS
    context.status, context.output = check_files(edited(what), options=ENDPOINTS)
    context.without = check_files(edited(what))


@then("without the number of endpoints it finds nothing")
def step_without(context: Any) -> None:
    assert context.without[0] == 0, context.without


@when("a configuration is checked for some endpoints")
def step_some(context: Any) -> None:
    context.status, context.output = check_files(SOUND, options=("--endpoints", "cards=some"))


@then("the command is refused as wrong usage")
def step_usage(context: Any) -> None:
    assert context.status == 2 and "SERVICE=NUMBER" in context.output, context.output


def _start_store(context: Any, stored: dict[str, bytes]) -> str:
    """Start the read of one key of the platform's store in a thread; return its address."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            key = parse_qs(urlsplit(self.path).query)["key"][0]
            found = stored.get(key)
            entry = {"key": key, "value": b64encode(found or b"").decode(), "rev": 3}
            body = json.dumps(entry).encode() if found is not None else b"{}"
            self.send_response(404 if found is None else 200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: Any) -> None:
            return

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.cleanups = [*getattr(context, "cleanups", []), server.shutdown, server.server_close]
    return f"127.0.0.1:{server.server_address[1]}"


@given("a store that holds a configuration")
def step_store(context: Any) -> None:
    context.store = _start_store(context, {ROUTES_KEY: OTHER})


@when("another configuration is checked against the store")
def step_against_store(context: Any) -> None:
    options = ("--against-store", context.store)
    context.status, context.output = check_files(SOUND, options=options)


@then("the differences are those from the file with the same configuration")
def step_same(context: Any) -> None:
    assert (context.status, context.output) == check_files(SOUND, OTHER), context.output
    places = [one["place"] for one in json.loads(context.output)["differences"]]
    assert places == ["customer 'ant'"], places


@when("a configuration is checked against {what}")
def step_against(context: Any, what: str) -> None:
    if what == "a store and a file":
        found = check_files(SOUND, OTHER, options=("--against-store", "127.0.0.1:9"))
    else:
        address = {
            "a store that holds none": lambda: _start_store(context, {}),
            "a store that does not answer": free_address,
            "an address that is none": lambda: "nowhere",
        }[what]()
        found = check_files(SOUND, options=("--against-store", address))
    context.status, context.output = found


@then("the command ends with {status:d}")
def step_ends(context: Any, status: int) -> None:
    assert context.status == status, (context.status, context.output)


@when("the example configuration is checked on a terminal")
def step_terminal(context: Any) -> None:
    console = ctl_output.console
    console._force_terminal, console._width = True, 160
    try:
        path = str(ROOT / "examples" / "operator-config.json")
        context.status, context.output = run_command("check-config", path)
    finally:
        console._force_terminal, console._width = None, None


@then("the findings are in a table")
def step_table(context: Any) -> None:
    lines = [line for line in context.output.splitlines() if line.strip()]
    assert "PLACE" in lines[0] and "REMEDY" in lines[0], lines
    assert any("route 'chat-old'" in line and "engines" in line for line in lines), lines
    assert context.status == 2


@when("the next example configuration is compared by the command")
def step_next(context: Any) -> None:
    text = (ROOT / "docs" / "OPERATIONS.md").read_text()
    shown = text.partition("$ parsleyctl check-config ")[2].partition("```")[0]
    line, _, context.shown = shown.partition("\n")
    arguments = [str(ROOT / one) if one.startswith("examples/") else one for one in line.split()]
    context.status, context.output = run_command("check-config", *arguments)


@then("the output is that of the page for operators, with status 1")
def step_as_shown(context: Any) -> None:
    assert context.output.strip() == context.shown.strip(), (context.output, context.shown)
    assert context.status == 1, context.status
