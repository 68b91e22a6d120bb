"""Requests that crash endpoints, and sound ones beside them, in the journals of a soak."""

from collections.abc import Callable

from features.support.soak_items import ITEM_S, WAITS_S, add_accused_item
from soak.endpoints import expected_body
from soak.journal import (
    Attempt,
    DeadlyRequest,
    EndpointCrash,
    Journal,
    Kind,
    RequestContent,
    Run,
    RunEnd,
)
from soak.world import REQUEST_DOWN_S

Change = Callable[[Journal], object]

DEADLY = RequestContent(Kind.STREAM, "/chat/kill", b"body kill")
OTHER_BODY = RequestContent(Kind.STREAM, "/chat/kill", b"body other")
OTHER_PATH = RequestContent(Kind.STREAM, "/chat/other", b"body kill")
CRASHED_S = 100.0
LATER_S = CRASHED_S + 6.0
"""When a run counts: over 3 s after the third crash."""

SOUND_S = CRASHED_S + 10.0
"""When sound requests count: over 6 s after the third crash."""

ENDED_S = CRASHED_S + 30.0


def add_request(
    journal: Journal, name: str, at_s: float, content: RequestContent | None, *, served: bool
) -> None:
    """Add a request that is answered in full or crashes its endpoint."""
    status, body = (200, expected_body(name, stream=True)) if served else (502, b"")
    journal.attempts[name] = Attempt(
        name, Kind.STREAM, "n", at_s, status, "sig-e", body, True, at_s + 0.5, content=content
    )
    target = content.target if content else f"/chat/{name}"
    sent = content.body if content else f"body {name}".encode()
    end = RunEnd.COMPLETE if served else RunEnd.CRASHED
    journal.runs.append(Run(name, "e", "engines", target, sent, at_s, ended_s=at_s + 0.5, end=end))


def add_deadly_run(journal: Journal, name: str) -> None:
    add_request(journal, name, LATER_S, DEADLY, served=False)


def add_deadly_request(journal: Journal) -> None:
    """Add three crashes by a request, three later runs that are allowed, and sound requests."""
    journal.deadly_requests[DEADLY.key] = DeadlyRequest(DEADLY, CRASHED_S, ENDED_S)
    for number in range(3):
        at_s = CRASHED_S + number / 2
        add_request(journal, f"p{number}", at_s, DEADLY, served=False)
        journal.crashes.append(EndpointCrash(at_s, "e", request=DEADLY.key))
        add_deadly_run(journal, f"q{number}")
    journal.attempts["q9"] = Attempt(
        "q9", Kind.STREAM, "n", ENDED_S, 503, complete=True, content=DEADLY
    )
    for number in range(10):
        for name, content in (("t", None), ("u", OTHER_BODY), ("v", OTHER_PATH)):
            add_request(journal, f"{name}{number}", SOUND_S + number, content, served=True)


def refuse(journal: Journal, prefix: str) -> None:
    """Refuse the requests whose ids begin in a certain way."""
    chosen = {name for name in journal.attempts if name.startswith(prefix)}
    for name in chosen:
        journal.attempts[name].status, journal.attempts[name].body = 503, b""
    journal.runs = [one for one in journal.runs if one.attempt not in chosen]


def add_item_beside_crash(journal: Journal) -> None:
    """Add an item that waits after a request crashed an endpoint that ran one of its parts."""
    add_accused_item(journal, WAITS_S)
    journal.crashes[-1] = EndpointCrash(ITEM_S, "f", request=DEADLY.key)


REQUEST_VIOLATIONS: dict[str, Change] = {
    "four runs of a request after three crashes": lambda journal: add_deadly_run(journal, "q3"),
    "requests refused beside a deadly one": lambda journal: refuse(journal, "t"),
    "a request refused for a deadly one's path": lambda journal: refuse(journal, "u"),
    "a request refused for a deadly one's body": lambda journal: refuse(journal, "v"),
    "a sound item held 6 s after a request's crash": add_item_beside_crash,
    "a deadly request with another body": lambda journal: setattr(
        next(one for one in journal.runs if one.attempt == "q0"), "body", b"body other"
    ),
}


def add_run_after_end(journal: Journal) -> None:
    """Add another later run, after the request has stopped crashing endpoints."""
    journal.deadly_requests[DEADLY.key].until_s = LATER_S - 0.1
    add_deadly_run(journal, "q3")


def refuse_without_endpoints(journal: Journal) -> None:
    """Refuse sound requests while the only endpoint is away after each of its crashes."""
    journal.endpoints = {"engines": 1}
    times = [SOUND_S + number * REQUEST_DOWN_S for number in range(4)]
    journal.crashes += [EndpointCrash(at_s, "e", request=DEADLY.key) for at_s in times]
    refuse(journal, "t")


ALLOWED_REQUESTS: dict[str, Change] = {
    "a later run at a node out of touch": lambda journal: add_deadly_run(journal, "q3"),
    "a later run at a node that stops": lambda journal: add_deadly_run(journal, "q3"),
    "a later run of a request that crashes no more": add_run_after_end,
    "refusals while crashes have all endpoints away": refuse_without_endpoints,
    "refusals at a node that stops": lambda journal: refuse(journal, "t"),
}
CONDITIONS: dict[str, dict[str, float]] = {
    "a later run at a node out of touch": {"cut_off_s": LATER_S - 1.0},
    "a later run at a node that stops": {"stop_s": LATER_S - 1.0},
    "refusals at a node that stops": {"stop_s": SOUND_S + 2.0},
}
