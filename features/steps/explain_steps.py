"""Steps for explaining requests from logs."""

import contextlib
import io
import json
import logging
import tempfile
from pathlib import Path
from typing import Any

from behave import then, when
from pythonjsonlogger.json import JsonFormatter

from features.steps.front_jobs_steps import read_all, submit
from features.steps.front_requests_steps import FleetScenario, run_with_fleet
from features.support.front_fleet import FrontFleet
from features.support.platform_endpoint import shed, status, stream_until
from parsleyrouter.commands.ctl import main
from parsleyrouter.process.log_timeline import build_timeline, read_lines


def explain(context: Any, scenario: FleetScenario, name: str) -> str:
    """Run a scenario with logging; return what parsleyctl prints about an id."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "front-0.log"
        handler = logging.FileHandler(path)
        handler.setFormatter(
            JsonFormatter(
                "{asctime}{levelname}{name}{message}", style="{", rename_fields={"asctime": "time"}
            )
        )
        root = logging.getLogger()
        level = root.level
        root.addHandler(handler)
        root.setLevel(logging.INFO)
        try:
            run_with_fleet(context, scenario)
        finally:
            root.removeHandler(handler)
            root.setLevel(level)
            handler.close()
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(printed):
            try:
                main(["explain", name, str(path)])
            except SystemExit as error:
                context.code = error.code
        return printed.getvalue().replace("\n", " ")


@when("all endpoints shed a request and its id is explained")
def step_shed(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name).default_behaviour = shed
        await fleet.start()
        await fleet.caller().ask("POST", "/chat/1", attempt="request-1")

    context.explanation = explain(context, scenario, "request-1")


@then("the explanation contains the refusals of the endpoints and the time to retry")
def step_shed_told(context: Any) -> None:
    for words in ("request failed", "refused with status 503", '"e1"', '"e2"', "not_run", "again"):
        assert words in context.explanation, (words, context.explanation)


@when("an endpoint truncates a stream and its id is explained")
def step_broken(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").default_behaviour = stream_until(2)
        await fleet.start()
        await fleet.caller().ask("POST", "/chat/1", attempt="request-2")

    context.explanation = explain(context, scenario, "request-2")


@then("the explanation contains the endpoint and how its connection ended")
def step_broken_told(context: Any) -> None:
    for words in ("answer_cut", '"e1"', "connection closed early", "routes_version"):
        assert words in context.explanation, (words, context.explanation)


@when("an endpoint reports an item as impossible and its id is explained")
def step_impossible(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").default_behaviour = status(422)
        await fleet.start()
        await submit(fleet)
        await read_all(fleet)

    context.explanation = explain(context, scenario, "item2")


@then("the explanation contains the run, the endpoint and the position in the results")
def step_impossible_told(context: Any) -> None:
    for words in ("item run ended", '"impossible"', '"e1"', "results listed", "position"):
        assert words in context.explanation, (words, context.explanation)


@when("an unknown id is explained")
def step_unknown(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start()

    context.explanation = explain(context, scenario, "nobody")


@then("parsleyctl reports that no line is about it")
def step_unknown_told(context: Any) -> None:
    assert context.code == 5
    assert "no line is about 'nobody'" in context.explanation


@when("an item is explained whose hold ended within the millisecond of its quarantine's end")
def step_same_millisecond(context: Any) -> None:
    common = {"time": "2026-01-01 10:00:00,359", "parts": ["dead1"]}
    lines = [
        common | {"message": "quarantine ended"},
        common | {"message": "item hold ended", "request": "item0"},
    ]
    texts = [json.dumps(line) for line in lines]
    timeline = build_timeline(read_lines("front-0", texts), "item0")
    context.explanation = "\n".join(timeline.render())


@then("the end of the quarantine comes first, as it was written")
def step_written_order(context: Any) -> None:
    places = [context.explanation.find(one) for one in ("quarantine ended", "item hold ended")]
    assert -1 < places[0] < places[1], context.explanation
