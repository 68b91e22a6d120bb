"""Jobs and requests for a whole fleet, and the records that the stand-ins keep of them."""

import json
import threading
import time
from collections import Counter
from typing import Any

from features.support.callers import Caller, RecordedCall
from features.support.cluster import APPLICATION, BATCH_KIND, MODEL, TEAM_KEY, Cluster, Node
from parsleyrouter.standins.answers import answer_text

JOB_LIMIT_S = 120.0
CARD_PATH = f"/v1/services/{APPLICATION}/cards"


def question_body(text: str, tokens: int, stream: bool = False) -> dict[str, Any]:
    """Return a chat request."""
    messages = [{"role": "user", "content": text}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": stream}


def expected_answer(text: str, tokens: int) -> str:
    """Return the answer of the stand-in engine to a question."""
    return answer_text(MODEL, f"user: {text}", tokens)


def job_lines(questions: int, cards: int, tokens: int = 24) -> bytes:
    """Return a job as JSON lines, with questions and cards interleaved."""
    lines = []
    for number in range(questions):
        body = question_body(f"introduce {number}", tokens)
        lines.append({"custom_id": f"q-{number}", "url": "/v1/chat/completions", "body": body})
    for number in range(cards):
        body = {"key": f"card-{number}"}
        lines.insert(number * 2, {"custom_id": f"c-{number}", "url": CARD_PATH, "body": body})
    return "\n".join(json.dumps(line) for line in lines).encode()


def submit(cluster: Cluster, entry: str, key: str, lines: bytes) -> RecordedCall:
    """Submit a job."""
    headers = {"Idempotency-Key": key, "X-Parsley-Kind": BATCH_KIND}
    return Caller(TEAM_KEY).call(entry, "POST", "/v1/batches", lines, headers)


def job_status(cluster: Cluster, job: str) -> dict[str, Any]:
    """Return the status of a job from the first entry that answers, else an empty dict."""
    for node in cluster.nodes:
        if node.entry.alive:
            reply = Caller(TEAM_KEY, call_timeout_s=5).call(
                node.entry.http, "GET", f"/v1/batches/{job}"
            )
            if reply.status == 200:
                return reply.json()
    return {}


def job_results(address: str, job: str) -> list[bytes]:
    """Return the result lines of a job, read page by page from one entry."""
    lines: list[bytes] = []
    while True:
        path = f"/v1/batches/{job}/results?offset={len(lines)}"
        reply = Caller(TEAM_KEY).call(address, "GET", path)
        assert reply.status == 200, reply
        page = reply.body.splitlines()
        lines += page
        if not page:
            return lines


def executions(cluster: Cluster) -> list[dict[str, Any]]:
    """Return the execution records of all engines."""
    found: list[dict[str, Any]] = []
    for process in cluster.engines:
        reply = cluster.control.call(process.http, "GET", "/control/executions").json()
        found += [record | {"engine": process.name} for record in reply["executions"]]
    return found


def card_counts(cluster: Cluster) -> Counter[str]:
    """Return how often the services executed each card."""
    counts: Counter[str] = Counter()
    for process in cluster.services:
        counts.update(
            cluster.control.call(process.http, "GET", "/control/executions").json()["counts"]
        )
    return counts


def metric(address: str, name: str) -> float:
    """Return a metric of a process, 0 if it cannot be read."""
    reply = Caller(call_timeout_s=2).call(address, "GET", "/metrics")
    for line in reply.body.decode().splitlines():
        if line.startswith(name + " "):
            return float(line.rpartition(" ")[2])
    return 0.0


def running_node(cluster: Cluster) -> Node | None:
    """Return a node whose batch process is running a part, if any."""
    for node in cluster.nodes:
        if node.batch.alive and metric(node.batch.http, "parsley_batch_parts_running") > 0:
            return node
    return None


class QuestionStream:
    """Threads that ask questions continuously at the entries returned by ``/v1/locate``."""

    def __init__(self, cluster: Cluster, callers: int = 4) -> None:
        self.cluster = cluster
        self.ended = threading.Event()
        self.answered: list[tuple[str, RecordedCall]] = []
        self.threads = [threading.Thread(target=self._ask, args=(n,)) for n in range(callers)]
        for thread in self.threads:
            thread.daemon = True
            thread.start()

    def end(self) -> None:
        """Stop asking and wait for the last answers."""
        self.ended.set()
        for thread in self.threads:
            thread.join(60)

    def wrong(self) -> list[tuple[str, RecordedCall]]:
        """Return the questions whose answer was incomplete or belonged to another question."""
        return [
            (text, reply)
            for text, reply in self.answered
            if reply.status != 200 or not reply.whole or reply.text() != expected_answer(text, 20)
        ]

    def _ask(self, number: int) -> None:
        located: list[str] = []
        until_s = 0.0
        asked = 0
        while not self.ended.is_set():
            if time.monotonic() >= until_s:
                located, until_s = self._locate(located)
            text = f"stream {number} question {asked}"
            address = located[asked % len(located)]
            body = question_body(text, 20, stream=asked % 2 == 0)
            reply = Caller(TEAM_KEY).call(address, "POST", "/v1/chat/completions", body)
            self.answered.append((text, reply))
            asked += 1

    def _locate(self, known: list[str]) -> tuple[list[str], float]:
        """Return entries and when their time to live ends, measured from before the call."""
        while True:
            for address in known or [node.entry.http for node in self.cluster.nodes]:
                started_s = time.monotonic()
                reply = Caller(TEAM_KEY, call_timeout_s=5).call(address, "GET", "/v1/locate")
                if reply.status == 200 and reply.json()["entries"]:
                    answer = reply.json()
                    addresses = [entry["address"] for entry in answer["entries"]]
                    return addresses, started_s + answer["ttl_s"]
            known = []
            time.sleep(0.1)
