"""Steps for accepted batch items under failure, on real processes."""

import json
import shutil
import time
from collections import Counter
from typing import Any

from behave import given, then, when

from features.support.cluster import Cluster, ClusterPlan, Node
from features.support.processes import wait_until
from features.support.workload import (
    JOB_LIMIT_S,
    card_counts,
    executions,
    job_lines,
    job_results,
    job_status,
    metric,
    running_node,
    submit,
)

QUESTIONS = 400
CARDS = 80
CANCEL_LIMIT_S = 3.0
WATCHED_S = 3.0


def start_fleet(context: Any, **plan: Any) -> Cluster:
    """Start three nodes with three disks."""
    context.cluster = Cluster.start(context, ClusterPlan(nodes=3, disks=3, **plan))
    return context.cluster


@given("a whole fleet that runs a job of questions and cards")
def fleet_with_job(context: Any) -> None:
    cluster = start_fleet(context, service_options=("--work-s", "0.05"))
    seen = submit(cluster, cluster.nodes[0].entry.http, "job-1", job_lines(QUESTIONS, CARDS))
    assert seen.status == 202, seen
    context.job = seen.json()["id"]
    context.owner = wait_until(lambda: running_node(cluster), "a node runs the job")
    wait_until(lambda: len(executions(cluster)) > 40, "the job is under way")


@given("a whole fleet whose key-value service loses replies")
def fleet_with_lost_replies(context: Any) -> None:
    start_fleet(context)


@when("the VM that runs the job is lost and comes back")
def lose_owner(context: Any) -> None:
    context.owner.kill()
    wait_until(lambda: taken_over(context, context.owner), "another VM takes over", JOB_LIMIT_S)
    context.owner.restart()


@when("the VM that runs the job is paused until another has taken over")
def freeze_owner(context: Any) -> None:
    context.owner.pause()
    wait_until(lambda: taken_over(context, context.owner), "another VM takes over", JOB_LIMIT_S)
    time.sleep(1.0)
    context.owner.resume()


@when("the VM that runs the job is lost during an outage of the key-value service")
def lose_owner_in_outage(context: Any) -> None:
    cluster = context.cluster
    cluster.faults(cluster.key_value, outage=True)
    time.sleep(1.0)
    context.owner.kill()
    time.sleep(3.0)
    cluster.faults(cluster.key_value, outage=False)
    context.owner.restart()


@when("a disk VM is lost with its disk")
def lose_disk(context: Any) -> None:
    cluster = context.cluster
    lost = next(node for node in cluster.nodes if node is not context.owner)
    lost.store.kill()
    shutil.rmtree(cluster.folder / lost.name)


@when("one job is submitted to two entries at once until both accept it")
def send_twice(context: Any) -> None:
    cluster = context.cluster
    cluster.faults(cluster.key_value, lose_after=6, lose_before=4, lose_prefix="/parsley/")
    lines = job_lines(QUESTIONS // 4, CARDS // 4)
    context.accepted = []

    def both_accept() -> bool:
        first = cluster.caller.in_background(
            cluster.nodes[0].entry.http,
            "POST",
            "/v1/batches",
            lines,
            {"Idempotency-Key": "job-2", "X-Parsley-Kind": "introduction"},
        )
        second = submit(cluster, cluster.nodes[1].entry.http, "job-2", lines)
        answers = [first.wait(), second]
        context.accepted += [seen.json()["id"] for seen in answers if seen.status == 202]
        return all(seen.status == 202 for seen in answers)

    wait_until(both_accept, "both entries accept the job", JOB_LIMIT_S)
    context.job = context.accepted[0]


@when("the job is cancelled while the VM that runs it is paused, which then resumes")
def cancel_job(context: Any) -> None:
    cluster = context.cluster
    other = next(node for node in cluster.nodes if node is not context.owner)
    context.owner.pause()
    seen = wait_until(
        lambda: accepted(cluster.caller.call(other.entry.http, "DELETE", job_path(context))),
        "cancel accepted",
    )
    assert seen.json()["state"] == "cancelled", seen
    context.owner.resume()
    context.cancelled_s = time.monotonic()


@then("every item of the job has exactly one result")
def exactly_one_result(context: Any) -> None:
    cluster = context.cluster
    wait_until(
        lambda: job_status(cluster, context.job).get("state") == "completed",
        f"job completed: {job_status(cluster, context.job)}",
        JOB_LIMIT_S,
    )
    context.lines = job_results(alive_entry(cluster), context.job)
    results = [json.loads(line) for line in context.lines]
    items = job_status(cluster, context.job)["items"]
    assert [result["index"] for result in results] == list(range(items))
    counts = Counter(result["custom_id"] for result in results)
    assert len(counts) == items, "an item came twice"
    questions = [result for result in results if result["custom_id"].startswith("q-")]
    assert all(result["outcome"] == "ok" for result in questions), Counter(
        result["outcome"] for result in questions
    )


@then("no card of the job ran twice")
def no_card_twice(context: Any) -> None:
    counts = card_counts(context.cluster)
    assert counts, "no card ran"
    assert max(counts.values()) == 1, counts.most_common(5)
    results = [json.loads(line) for line in context.lines]
    for result in results:
        if result["custom_id"].startswith("c-"):
            key = result["custom_id"].replace("c-", "card-")
            assert result["outcome"] in ("ok", "unknown", "error"), result
            assert result["outcome"] != "ok" or counts[key] == 1, result


@then("the results read the same at every entry")
def same_everywhere(context: Any) -> None:
    read = 0
    for node in context.cluster.nodes:
        if node.entry.alive:
            assert job_results(node.entry.http, context.job) == context.lines, node.name
            read += 1
    assert read >= 2


@then("both answers name one job")
def one_job(context: Any) -> None:
    assert len(set(context.accepted)) == 1, context.accepted


@then("no item of the job is dispatched from 3 seconds after that on")
def nothing_dispatched(context: Any) -> None:
    time.sleep(max(0.0, context.cancelled_s + CANCEL_LIMIT_S - time.monotonic()))
    before = len(executions(context.cluster)), sum(card_counts(context.cluster).values())
    time.sleep(WATCHED_S)
    after = len(executions(context.cluster)), sum(card_counts(context.cluster).values())
    assert before == after, (before, after)
    assert before[0] < QUESTIONS, "the job had ended before it was cancelled"


@then("what the job has committed stays readable")
def committed_readable(context: Any) -> None:
    first = job_results(context.cluster.nodes[0].entry.http, context.job)
    assert first == job_results(context.cluster.nodes[1].entry.http, context.job)


def taken_over(context: Any, owner: Node) -> bool:
    """Return whether another node has claimed a part of the job."""
    others = [node for node in context.cluster.nodes if node is not owner]
    return any(metric(node.batch.http, "parsley_batch_takeovers_total") > 0 for node in others)


def alive_entry(cluster: Cluster) -> str:
    """Return the address of a running entry."""
    return next(node.entry.http for node in cluster.nodes if node.entry.alive)


def job_path(context: Any) -> str:
    """Return the path of the scenario's job."""
    return f"/v1/batches/{context.job}"


def accepted(seen: Any) -> Any:
    """Return an answer if its status is 200, else ``None``."""
    return seen if seen.status == 200 else None
