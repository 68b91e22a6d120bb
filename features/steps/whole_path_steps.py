"""Steps for the whole request path with real processes."""

import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when
from openai import OpenAI

from features.support.callers import RecordedCall
from features.support.cluster import BATCH_KIND, MODEL, TEAM, TEAM_KEY, Cluster, ClusterPlan
from features.support.processes import wait_until
from parsleyrouter.standins.answers import answer_text, prompt_text

TOKENS = 12


def chat_body(content: str, **named: Any) -> dict[str, Any]:
    messages = [{"role": "user", "content": content}]
    return {"model": MODEL, "messages": messages, "max_tokens": TOKENS} | named


def expected(body: dict[str, Any]) -> str:
    return answer_text(MODEL, prompt_text(body), TOKENS)


def located(cluster: Cluster) -> list[str]:
    seen = cluster.caller.call(cluster.nodes[0].entry.http, "GET", f"/v1/locate?team={TEAM}")
    return [entry["address"] for entry in seen.json()["entries"]]


@given("whole path: a fleet of three nodes in separate processes")
def start(context: Any) -> None:
    plan = ClusterPlan(nodes=3, disks=2, proxied=("engine-1", "engine-2"))
    context.cluster = Cluster.start(context, plan)


@when("whole path: the OpenAI client lists models, chats, streams and completes at each entry")
def use_openai(context: Any) -> None:
    context.models, context.pairs = [], []
    entries = located(context.cluster)
    assert len(entries) == 3, entries
    for number, address in enumerate(entries):
        client = OpenAI(base_url=f"http://{address}/v1", api_key=TEAM_KEY, max_retries=0)
        context.models.append([model.id for model in client.models.list()])
        body = chat_body(f"question {number}")
        whole = client.chat.completions.create(**body)
        context.pairs.append((whole.choices[0].message.content, expected(body)))
        pieces = client.chat.completions.create(**body, stream=True)
        text = "".join(piece.choices[0].delta.content or "" for piece in pieces)
        context.pairs.append((text, expected(body)))
        prompt = {"model": MODEL, "prompt": f"complete {number}", "max_tokens": TOKENS}
        completed = client.completions.create(**prompt)
        context.pairs.append((completed.choices[0].text, expected(prompt)))


@then("whole path: every response is complete and belongs to its own prompt")
def openai_served(context: Any) -> None:
    assert context.models == [[MODEL]] * 3, context.models
    assert len(context.pairs) == 9
    for text, wanted in context.pairs:
        assert text == wanted, (text, wanted)


@when("whole path: cards are resent to other entries with the same key")
def send_cards(context: Any) -> None:
    context.cards = []
    entries = located(context.cluster)
    for number in range(4):
        key = f"card-{number}"
        for address in entries:
            seen = context.cluster.caller.call(
                address, "POST", "/v1/services/cards/new", {"key": key}, {"Idempotency-Key": key}
            )
            context.cards.append((key, seen))


@then("whole path: the service created each card once and every caller got that card")
def cards_once(context: Any) -> None:
    service = context.cluster.services[0]
    made = context.cluster.control.call(service.http, "GET", "/control/executions").json()
    assert made["counts"] == {f"card-{number}": 1 for number in range(4)}, made["counts"]
    for key, seen in context.cards:
        assert seen.status == 200 and seen.json()["body_key"] == key, (key, seen)


@when("whole path: a job of 60 items is submitted, resent and read while questions are asked")
def run_job(context: Any) -> None:
    cluster = context.cluster
    entries = located(cluster)
    context.bodies = {f"item-{number}": chat_body(f"introduce {number}") for number in range(60)}
    lines = "\n".join(
        json.dumps({"custom_id": name, "url": "/v1/chat/completions", "body": body})
        for name, body in context.bodies.items()
    ).encode()
    headers = {"Idempotency-Key": "job-1", "x-parsley-kind": BATCH_KIND}
    jobs = [
        cluster.caller.call(address, "POST", "/v1/batches", lines, headers) for address in entries
    ]
    assert [seen.status for seen in jobs] == [202] * 3, jobs
    ids = {seen.json()["id"] for seen in jobs}
    assert len(ids) == 1, ids
    path = f"/v1/batches/{ids.pop()}"
    context.questions = ask(cluster, entries, 20)
    wait_until(
        lambda: cluster.caller.call(entries[1], "GET", path).json()["state"] == "completed",
        "job completed",
        60,
    )
    context.results = [
        cluster.caller.call(address, "GET", f"{path}/results") for address in entries
    ]


def ask(cluster: Cluster, entries: list[str], count: int) -> list[tuple[RecordedCall, str]]:
    """Ask questions concurrently, half of them streamed; return responses with expected texts."""

    def one(number: int) -> tuple[RecordedCall, str]:
        body = chat_body(f"ask {number}", stream=bool(number % 2))
        address = entries[number % len(entries)]
        return cluster.caller.call(address, "POST", "/v1/chat/completions", body), expected(body)

    with ThreadPoolExecutor(8) as pool:
        return list(pool.map(one, range(count)))


@then("whole path: every item has one result, its own, and every question its answer")
def job_right(context: Any) -> None:
    for seen, wanted in context.questions:
        assert seen.status == 200 and seen.text() == wanted, seen
    for page in context.results:
        assert page.headers["x-parsley-complete"] == "true", page.headers
        results = [json.loads(line) for line in page.body.splitlines()]
        assert sorted(one["custom_id"] for one in results) == sorted(context.bodies)
        for one in results:
            text = one["response"]["body"]["choices"][0]["message"]["content"]
            assert text == expected(context.bodies[one["custom_id"]]), one


@when("whole path: questions are asked while engines crash and their connections are cut")
def crash_engines(context: Any) -> None:
    cluster = context.cluster
    entries = located(cluster)
    context.questions = []
    with ThreadPoolExecutor(1) as pool:
        for number in range(6):
            asked = pool.submit(ask, cluster, entries, 24)
            engine = cluster.engines[number % 2]
            running = f"{engine.name} runs something"
            wait_until(lambda: executing(cluster, engine), running)  # noqa: B023
            if number % 3 == 2:
                cluster.control.call(cluster.proxies[engine.name].http, "POST", "/control/cut", {})
            else:
                cluster.control.call(engine.http, "POST", "/control/crash", {})
            context.questions += asked.result()


def executing(cluster: Cluster, engine: Any) -> bool:
    seen = cluster.control.call(engine.http, "GET", "/control/executions?key=none").json()
    return bool(seen["running"])


@then("whole path: every response is complete and its own, or an explicit error")
def whole_or_error(context: Any) -> None:
    cluster = context.cluster
    crashes = [
        cluster.control.call(engine.http, "GET", "/control/executions?key=none").json()
        for engine in cluster.engines
    ]
    assert sum(seen["counts"].get("crashed", 0) for seen in crashes) > 0, crashes
    short = [seen for seen, wanted in context.questions if not right_or_refused(seen, wanted)]
    assert not short, short[:3]
    answered = sum(seen.status == 200 for seen, _ in context.questions)
    assert answered > len(context.questions) // 2, answered


def right_or_refused(seen: RecordedCall, wanted: str) -> bool:
    """Return whether a response is complete and its own, or reports that it is not complete."""
    if seen.status != 200:
        return bool(seen.ran)
    if seen.error or b'\ndata: {"error"' in seen.body:
        return True
    finished = b"data: " not in seen.body or b"data: [DONE]" in seen.body
    return finished and seen.text() == wanted
