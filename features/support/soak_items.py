"""Items in the journals of a soak that violate a guarantee, or wait for a good reason."""

from collections.abc import Callable

from soak.endpoints import item_output
from soak.item_checks import IDLE_S, RETRY_S
from soak.journal import Absence, DeadlySpan, EndpointCrash, JobTrace, Journal, Run, RunEnd

Change = Callable[[Journal], object]


def run(attempt: str, service: str = "engines", body: bytes | None = None) -> Run:
    one = Run(attempt, "e", service, "/", body or f"body {attempt}".encode(), 50.0)
    one.ended_s, one.end = 50.5, RunEnd.COMPLETE
    return one


ITEM_S = 200.0
"""When the job of a further item was accepted."""

ITEM_LASTS_S = 2.0
WAITS_S = IDLE_S + 1.0


def item_run(after_s: float, end: RunEnd) -> Run:
    """Return a run of 2 s of a further item that ended some time after its job was accepted."""
    ended_s = ITEM_S + after_s
    one = Run("i9", "e", "engines", "/", b"body i9", ended_s - ITEM_LASTS_S)
    one.ended_s, one.end = ended_s, end
    return one


def add_item(
    journal: Journal, missing_s: float, *runs: Run, parts: tuple[str, ...] = ()
) -> JobTrace:
    """Add a job with one item that was last found missing some time after its job was accepted."""
    job = JobTrace("l", ["i9"], [202], ITEM_S, parts={"i9": parts})
    job.missing_s["i9"] = ITEM_S + missing_s
    job.results = {0: ("i9", "completed", item_output("i9"))}
    journal.jobs["l"] = job
    journal.runs += runs
    return job


def add_held_item(journal: Journal, held_s: float) -> None:
    """Add an item that waits for a time after its part was deadly for 10 s."""
    until_s = ITEM_S + 10.0
    journal.deadly["part"] = DeadlySpan("part", "a9", ITEM_S - 5.0, until_s)
    journal.crashes.append(EndpointCrash(until_s - 1.0, "f", "part"))
    add_item(journal, 10.0 + held_s, parts=("a9", "part", "i9"))


def add_accused_item(journal: Journal, held_s: float) -> None:
    """Add an item that waits after a crash of an endpoint that ran one of its parts."""
    parts = ("a9", "a9b1", "i9")
    other = run("s0")
    other.endpoint, other.began_s, other.parts = "f", ITEM_S, ("a9", "x")
    other.ended_s, other.end = ITEM_S, RunEnd.CRASHED
    journal.runs.append(other)
    journal.crashes.append(EndpointCrash(ITEM_S, "f", "part"))
    add_item(journal, held_s, parts=parts)


def add_deadly_item_run(journal: Journal) -> None:
    """Add a run of an item with the part that had its five crashes and three more runs."""
    add_item(journal, 0.0, parts=("a1", "dead", "i9"))
    one = item_run(ITEM_LASTS_S, RunEnd.FAILED)
    one.parts = ("a1", "dead", "i9")
    journal.runs.append(one)


WAITS: dict[str, Change] = {
    "its endpoints are half full": lambda journal: (
        add_item(journal, WAITS_S),
        journal.runs.extend(open_run("i1") for _ in range(2)),
    ),
    "its endpoints are away": lambda journal: (
        add_item(journal, WAITS_S),
        journal.absences.append(Absence("e", ITEM_S - 1.0, ITEM_S + 2.0)),
    ),
    "its node is disturbed": lambda journal: add_item(journal, WAITS_S),
    "its part is deadly": lambda journal: add_held_item(journal, -1.0),
    "its part was deadly 39 s ago": lambda journal: add_held_item(journal, 39.0),
    "its part was deadly 45 s ago with 7 s disturbed": lambda journal: add_held_item(journal, 45.0),
    "its run failed 19 s ago": lambda journal: add_item(
        journal, 1.0 + RETRY_S - 1.0, item_run(1.0, RunEnd.FAILED)
    ),
}
DISTURBED: dict[str, tuple[float, float]] = {
    "its node is disturbed": (ITEM_S + 1.0, ITEM_S + 2.0),
    "its part was deadly 45 s ago with 7 s disturbed": (ITEM_S + 20.0, ITEM_S + 24.0),
}


def open_run(item: str) -> Run:
    """Return a run that lasts to the end of the play."""
    one = run(item)
    one.began_s, one.ended_s, one.end = ITEM_S, 0.0, None
    return one


ITEM_VIOLATIONS: dict[str, Change] = {
    "another run of an item with that part": add_deadly_item_run,
    "an item that had no run for 6 s": lambda journal: add_item(journal, WAITS_S),
    "an item not run again after it was cut": lambda journal: add_item(
        journal, 1.0 + WAITS_S, item_run(1.0, RunEnd.LEFT)
    ),
    "an item not run again after a failure": lambda journal: add_item(
        journal, 1.0 + WAITS_S + RETRY_S - IDLE_S, item_run(1.0, RunEnd.FAILED)
    ),
    "an item held 41 s after its part ended": lambda journal: add_held_item(journal, 41.0),
    "a sound item held 41 s after a crash": lambda journal: add_accused_item(journal, 41.0),
    "an item that completed and is not listed": lambda journal: add_item(
        journal, 1.0 + WAITS_S, item_run(1.0, RunEnd.COMPLETE)
    ),
}
