"""Steps for online requests under failures, with real processes."""

import time
from typing import Any

from behave import given, then, when

from features.steps.promises_batch_steps import start_fleet
from features.support.callers import Caller
from features.support.cluster import TEAM_KEY
from features.support.processes import wait_until
from features.support.workload import (
    CARD_PATH,
    QuestionStream,
    card_counts,
    executions,
    expected_answer,
    job_lines,
    question_body,
    submit,
)

LONG_TOKENS = 900
QUESTION_TOKENS = 20
MAX_LEAVE_S = 3.0
OBSERVATION_S = 3.0
CARD_COUNT = 12


@given("a whole fleet whose slots are all occupied by long batch items")
def slots_occupied(context: Any) -> None:
    cluster = start_fleet(context)
    lines = job_lines(64, 0, LONG_TOKENS)
    seen = submit(cluster, cluster.nodes[0].entry.http, "long", lines)
    assert seen.status == 202, seen
    wait_until(
        lambda: sum(one["state"] == "running" for one in executions(cluster)) >= 10,
        "batch items occupy the slots",
    )


@given("a whole fleet with an engine that swaps responses and truncates streams")
def engine_with_faults(context: Any) -> None:
    cluster = start_fleet(context)
    cluster.faults(cluster.engines[0], cross_answers=6, break_streams=6)


@given("a whole fleet with a service that crashes before and after running cards")
def dying_service(context: Any) -> None:
    cluster = start_fleet(context)
    cluster.faults(cluster.services[0], die_before=4, die_after=4)


@given("a whole fleet with a slow service")
def slow_service(context: Any) -> None:
    cluster = start_fleet(context)
    cluster.faults(cluster.services[0], slow_s=1.5)


@given("a whole fleet under a stream of questions")
def question_stream(context: Any) -> None:
    cluster = start_fleet(context)
    context.stream = QuestionStream(cluster)
    context.add_cleanup(context.stream.end)
    wait_until(lambda: len(context.stream.answered) > 10, "questions are answered")


@when("questions are asked at every entry")
def ask_everywhere(context: Any) -> None:
    cluster = context.cluster
    context.at_arrival = {one["id"] for one in executions(cluster) if one["state"] == "running"}
    asked = [
        cluster.caller.in_background(
            node.entry.http,
            "POST",
            "/v1/chat/completions",
            question_body(f"urgent {node.name} {number}", QUESTION_TOKENS),
        )
        for node in cluster.nodes
        for number in range(4)
    ]
    context.responses = [one.wait() for one in asked]
    context.after = executions(cluster)


@then("each question is answered before any of those batch items finishes")
def answered_before_batch(context: Any) -> None:
    assert all(seen.status == 200 for seen in context.responses), context.responses
    states = {one["id"]: one["state"] for one in context.after}
    assert context.at_arrival
    ended = [one for one in context.at_arrival if states[one] == "finished"]
    assert not ended, f"{len(ended)} batch items finished while questions waited"


@when("many different questions are asked concurrently")
def ask_many(context: Any) -> None:
    nodes = context.cluster.nodes
    context.asked = []
    for number in range(36):
        text = f"crossed {number}"
        body = question_body(text, QUESTION_TOKENS, stream=number % 2 == 0)
        address = nodes[number % len(nodes)].entry.http
        call = Caller(TEAM_KEY).in_background(address, "POST", "/v1/chat/completions", body)
        context.asked.append((text, call))
    context.asked = [(text, call.wait()) for text, call in context.asked]


def _is_success(seen: Any) -> bool:
    done = b"[DONE]" in seen.body or not seen.headers.get("content-type", "").startswith(
        "text/event-stream"
    )
    return seen.status == 200 and seen.whole and done


@then("each complete response belongs to its own question")
def own_answers(context: Any) -> None:
    complete = [(text, seen) for text, seen in context.asked if _is_success(seen)]
    assert len(complete) >= len(context.asked) // 2, [seen for _, seen in context.asked][:3]
    for text, seen in complete:
        assert seen.text() == expected_answer(text, QUESTION_TOKENS), (text, seen)


@then("each other response ends with an error")
def others_are_errors(context: Any) -> None:
    for text, seen in context.asked:
        if not _is_success(seen):
            reported = seen.status != 200 or seen.error or b'"error"' in seen.body
            assert reported, (text, seen)


@when("each card is sent to every entry under its own key")
def send_cards(context: Any) -> None:
    context.cards = {f"card-{number}": [] for number in range(CARD_COUNT)}
    for key, responses in context.cards.items():
        for node in context.cluster.nodes:
            responses.append(_send_card(node.entry.http, key).wait())


@when("the entry that runs a card is killed and the card is sent to another")
def kill_entry(context: Any) -> None:
    cluster = context.cluster
    first = _send_card(cluster.nodes[0].entry.http, "card-1")
    wait_until(lambda: card_counts(cluster)["card-1"] == 1, "the card runs")
    cluster.nodes[0].entry.kill()
    context.cards = {"card-1": [first.wait()]}
    for node in cluster.nodes[1:]:
        context.cards["card-1"].append(_send_card(node.entry.http, "card-1").wait())


@when("cards are sent during an outage of the key-value service")
def cards_in_outage(context: Any) -> None:
    cluster = context.cluster
    cluster.faults(cluster.key_value, outage=True)
    context.cards = {}
    for number, node in enumerate(cluster.nodes):
        context.cards[f"card-{number}"] = [_send_card(node.entry.http, f"card-{number}").wait()]


@then("no card ran twice")
def card_once(context: Any) -> None:
    counts = card_counts(context.cluster)
    assert counts, "no card ran"
    assert max(counts.values()) == 1, counts
    for key, responses in context.cards.items():
        bodies = {seen.body for seen in responses if seen.status == 200}
        assert len(bodies) <= 1, (key, responses)


@then("no card whose responses all say not_run has run")
def not_run_is_true(context: Any) -> None:
    counts = card_counts(context.cluster)
    for key, responses in context.cards.items():
        if all(seen.ran == "not_run" for seen in responses):
            assert counts[key] == 0, (key, responses)


@then("each card is refused as not_run and has not run")
def refused(context: Any) -> None:
    for key, responses in context.cards.items():
        assert [seen.ran for seen in responses] == ["not_run"], (key, responses)
    assert not card_counts(context.cluster)


@when("an engine is set to leaving")
def engine_leaves(context: Any) -> None:
    cluster = context.cluster
    endpoints = cluster.endpoints()
    endpoints["engine-1"]["state"] = "leaving"
    cluster.put_settings("fleet/endpoints", endpoints)
    context.leaving_s = time.monotonic()


@then("that engine starts nothing from 3 seconds after the change on")
def nothing_starts(context: Any) -> None:
    time.sleep(max(0.0, context.leaving_s + MAX_LEAVE_S - time.monotonic()))
    before = _started_counts(context)
    time.sleep(OBSERVATION_S)
    after = _started_counts(context)
    assert before["engine-1"] == after["engine-1"], (before, after)
    assert before["engine-2"] < after["engine-2"], "no load on the other engine"


@then("the stream of questions had only complete responses")
def only_complete(context: Any) -> None:
    context.stream.end()
    wrong = context.stream.wrong()
    assert not wrong, f"{len(wrong)} of {len(context.stream.answered)}: {wrong[:3]}"


@when("each node is shut down gracefully and started again")
def rolling_restart(context: Any) -> None:
    context.exit_codes = []
    for node in context.cluster.nodes:
        processes = node.processes()
        for process in processes:
            process.terminate()
        context.exit_codes += [(process.name, process.wait()) for process in processes]
        node.restart()
        wait_until(lambda node=node: context.cluster.serves(node), f"{node.name} serves again")


@then("every process ended with exit code 0")
def exit_codes(context: Any) -> None:
    assert context.exit_codes
    assert all(code == 0 for _, code in context.exit_codes), context.exit_codes


def _send_card(address: str, key: str) -> Any:
    headers = {"Idempotency-Key": key}
    return Caller(TEAM_KEY).in_background(address, "POST", CARD_PATH, {"key": key}, headers)


def _started_counts(context: Any) -> dict[str, int]:
    found = {"engine-1": 0, "engine-2": 0}
    for one in executions(context.cluster):
        found[one["engine"]] += 1
    return found
