"""Keys, limits and slow endpoints in the journals of a soak, and plays that have them."""

from collections.abc import Callable

from soak.customers import STEADY_CUSTOMER, STEADY_KEY
from soak.endpoints import BRIEF_EVENTS, expected_body
from soak.journal import Attempt, CustomerLimit, Journal, KeySpan, Kind, Run, RunEnd, SlowSpan
from soak.play import Plan

Change = Callable[[Journal], object]

REMOVED_S = 200.0
SENT_S = 220.0
RATE_PER_S, BURST = 8.0, 8.0
ALLOWED = 72
"""Runs in 5 s: (8 x 5 + 8) x 1.1 + 20, rounded down."""

LIMITED_REFUSAL = b"ant is at its limit of 8 requests a second"


def add_customers(journal: Journal) -> None:
    """Add two customers; one key is removed and one moves from one to the other."""
    for one in journal.runs:
        one.customer = STEADY_CUSTOMER
    journal.customer_limits.append(CustomerLimit("ant", RATE_PER_S, BURST))
    journal.keys += [
        KeySpan(STEADY_KEY, STEADY_CUSTOMER, 0.0),
        KeySpan("key-a", "ant", 0.0),
        KeySpan("key-b", "bee", 0.0),
        KeySpan("removed", "ant", 0.0, REMOVED_S),
        KeySpan("moved", "ant", 0.0, REMOVED_S),
        KeySpan("moved", "bee", REMOVED_S),
    ]


def add_run(journal: Journal, key: str, customer: str, at_s: float, kind: Kind = Kind.SAFE) -> Run:
    """Add a request that ran at once."""
    name = f"c{len(journal.runs)}"
    body = expected_body(name, stream=False)
    journal.attempts[name] = Attempt(
        name, kind, "n", at_s, 200, "sig-c", body, True, at_s + 0.1, credential=key
    )
    run = Run(name, "c", "cards", "/", f"body {name}".encode(), at_s, customer=customer)
    run.ended_s, run.end = at_s + 0.1, RunEnd.COMPLETE
    journal.runs.append(run)
    return run


def add_refusal(journal: Journal, status: int, body: bytes, key: str = "key-a") -> None:
    """Add a refused request."""
    name = f"r{len(journal.attempts)}"
    journal.attempts[name] = Attempt(
        name, Kind.SAFE, "n", SENT_S, status, "", body, True, SENT_S + 0.1, credential=key
    )


def add_runs(journal: Journal, count: int) -> None:
    """Add runs of a customer with a limit, all within 5 s."""
    for number in range(count):
        add_run(journal, "key-a", "ant", SENT_S - 4.0 + 3.9 * number / count)


def refuse_after(journal: Journal, count: int) -> None:
    """Refuse a request for the limit after some within half a second."""
    for number in range(count):
        add_run(journal, "key-a", "ant", SENT_S - 0.5 + 0.4 * number / count)
    add_refusal(journal, 429, LIMITED_REFUSAL)


def add_slow(journal: Journal, requests: int) -> None:
    """Let an endpoint be slow and get so many requests, and another one forty."""
    journal.slow.append(SlowSpan("e", 5.0, SENT_S, SENT_S + 5.0))
    journal.item_slots = 16
    for endpoint, count in (("e", requests), ("f", 40)):
        for number in range(count):
            at_s = SENT_S + 1.0 + 3.0 * number / count
            run = add_run(journal, "key-b", "bee", at_s, Kind.BRIEF)
            run.endpoint, run.service, run.ended_s = endpoint, "engines", at_s + 0.01
            attempt = journal.attempts[run.attempt]
            attempt.body = expected_body(run.attempt, True, BRIEF_EVENTS)


def tell_item(journal: Journal) -> None:
    next(one for one in journal.runs if one.attempt == "i1").customer = "ant"


def add_moving(journal: Journal) -> None:
    """Add a request under way as version 2 is published, which sends it to the cards."""
    run = add_run(journal, "key-b", "bee", 189.95, Kind.MOVED)
    journal.attempts[run.attempt].version = 1


CUSTOMER_VIOLATIONS: dict[str, Change] = {
    "a run 3 s after its key was removed": lambda journal: add_run(
        journal, "removed", "ant", REMOVED_S + 3.0
    ),
    "a run with a key that is not known": lambda journal: add_run(journal, "none", "ant", SENT_S),
    "a run without a key": lambda journal: add_run(journal, "", "", SENT_S),
    "an endpoint told another customer": lambda journal: add_run(journal, "key-a", "bee", SENT_S),
    "an endpoint told the former customer": lambda journal: add_run(
        journal, "moved", "ant", REMOVED_S + 3.0
    ),
    "an open route that drops the customer": lambda journal: add_run(
        journal, "key-a", "", SENT_S, Kind.OPEN
    ),
    "an endpoint sent a key": lambda journal: setattr(
        add_run(journal, "key-a", "ant", SENT_S), "key_told", True
    ),
    "an item of another customer": tell_item,
    "a key in force refused": lambda journal: add_refusal(journal, 401, b""),
    "more runs than a limit allows": lambda journal: add_runs(journal, ALLOWED + 1),
    "a refusal far below a limit": lambda journal: refuse_after(journal, 3),
    "a slow endpoint used like others": lambda journal: add_slow(journal, 21),
}

ALLOWED_CUSTOMERS: dict[str, Change] = {
    "a run 1 s after its key was removed": lambda journal: add_run(
        journal, "removed", "ant", REMOVED_S + 1.0
    ),
    "the former customer 1 s after a key moved": lambda journal: add_run(
        journal, "moved", "ant", REMOVED_S + 1.0
    ),
    "an unknown key on an open route": lambda journal: add_run(
        journal, "none", "", SENT_S, Kind.OPEN
    ),
    "a change of routes while a request is under way": add_moving,
    "a refusal for the limit of the customer that got the key": lambda journal: add_refusal(
        journal, 429, b"bee is at its limit of 8 requests a second", "moved"
    ),
    "a removed key refused": lambda journal: add_refusal(journal, 401, b"", "removed"),
    "as many runs as a limit allows": lambda journal: add_runs(journal, ALLOWED),
    "a refusal after half of what shares hold": lambda journal: refuse_after(journal, 4),
    "a slow endpoint used half as much as others": lambda journal: add_slow(journal, 20),
}

CUSTOMER_PLAYED = ("keys", "hot customer")


def customers_plan() -> Plan:
    """Return a short play of customers that change keys and exceed their limits."""
    return Plan(
        181,
        clients=1,
        batch_clients=1,
        faults_s=8.0,
        gap_s=1.0,
        customers=4,
        only=CUSTOMER_PLAYED,
    )


def slow_plan() -> Plan:
    """Return a short play of engines that turn slow, with callers of brief streams."""
    return Plan(
        1,
        clients=0,
        batch_clients=0,
        faults_s=8.0,
        gap_s=3.0,
        brief_clients=6,
        only=("slow endpoint",),
    )
