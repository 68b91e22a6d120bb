"""Requests in the journals of a soak that were sent again under their ids after a refusal."""

from collections.abc import Callable

from soak.endpoints import expected_body
from soak.journal import Attempt, CarriedTwice, Journal, Kind, Run, RunEnd
from soak.play import Plan

Change = Callable[[Journal], object]

SECOND_S = 55.0
"""When the request was sent again that had been refused at first."""

PLAYED_FAULTS = ("copies under the same id", "address taken over")


def sending_run(sending: int) -> Run:
    """Return a run of one of the sendings."""
    one = Run("a4", "e", "engines", "/", b"body a4", SECOND_S, sending=sending)
    one.ended_s, one.end = SECOND_S + 0.5, RunEnd.COMPLETE
    return one


def add_second_sending(journal: Journal, status: int) -> None:
    """Send the refused request again under its id; it runs and is answered with a status."""
    body = expected_body("a4", stream=True) if status == 200 else b""
    proof = "sig-e" if status == 200 else ""
    one = Attempt("a4", Kind.STREAM, "n", SECOND_S, status, proof, body, True, SECOND_S + 1.0)
    one.sending = 2
    journal.attempts[one.key] = one
    journal.runs.append(sending_run(2))


def add_late_first_run(journal: Journal) -> None:
    """Add a run of the refused first sending after the second, which ran too."""
    add_second_sending(journal, 200)
    journal.runs.append(sending_run(1))


def add_run_twice(journal: Journal) -> None:
    """Add another run of the second sending."""
    add_second_sending(journal, 200)
    journal.runs.append(sending_run(2))


SENDING_VIOLATIONS: dict[str, Change] = {
    "a refused first sending that ran": add_late_first_run,
    "a second sending refused that ran": lambda journal: add_second_sending(journal, 503),
    "a second sending that ran twice": add_run_twice,
    "a run of a sending that was not made": lambda journal: journal.runs.append(sending_run(3)),
    "an id twice on a connection": lambda journal: journal.repeats.append(
        CarriedTwice(SECOND_S, "e", "a4")
    ),
}


def copies_plan() -> Plan:
    """Return a short play on a small fleet in which many requests are refused."""
    return Plan(
        1,
        nodes=2,
        engines=0,
        clients=6,
        faults_s=6.0,
        gap_s=0.6,
        engine_processes=2,
        only=PLAYED_FAULTS,
    )
