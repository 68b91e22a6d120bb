"""Steps for copies of responses, in any order and at any time."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.steps.broken_answers_steps import RepeatingEngine, refusal
from features.steps.front_requests_steps import run_with_fleet
from features.support.copies_model import CopiesModel
from features.support.front_fleet import FrontFleet
from features.support.platform_endpoint import Arrival, EndpointStandIn
from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.ids import EndpointId

ACTIONS = ("send", "send", "respond", "respond", "copy", "deliver", "deliver", "end", "give_up")
NUMBERS = st.integers(0, 999)
SENDINGS_BELIEVED = 1000


@when("requests, some under an id that comes again, meet copies of all kinds at any time")
def step_any_order(context: Any) -> None:
    context.counts = Counter()
    step = st.tuples(st.sampled_from(ACTIONS), NUMBERS, NUMBERS)

    @settings(max_examples=400)
    @given(st.lists(step, min_size=30, max_size=80))
    def play(steps: list[tuple[str, int, int]]) -> None:
        model = CopiesModel()
        model.play(steps)
        context.counts["sent"] += len(model.sendings)
        context.counts["believed"] += model.believed
        context.counts["reused"] += sum(one.exchange.reused for one in model.sendings)
        context.counts["skipped"] += sum(one.exchange.skipped for one in model.sendings)

    play()


@then("each response that was believed was that to its sending, and many were")
def step_many_believed(context: Any) -> None:
    assert context.counts["believed"] > SENDINGS_BELIEVED, context.counts
    assert context.counts["reused"] and context.counts["skipped"], context.counts


@dataclass
class CopyingEngine:
    """Answers its first request in a given way and writes that once more at a given time."""

    status: int
    not_executed: bool
    named: bool
    time: str
    runs: Counter[str] = field(default_factory=Counter)
    sock: Any = None
    original: bytes = b""
    later: int = 0
    """Requests on the connection of the first one since then."""

    def head(self, status: int, name: str | None, length: int) -> bytes:
        lines = [f"HTTP/1.1 {status} Any", f"Content-Length: {length}", "X-Response-Signature: s"]
        lines += [f"X-Attempt-Id: {name}"] if name is not None else []
        lines += ["X-Not-Executed: 1"] if self.not_executed and status != 200 else []
        return "\r\n".join([*lines, "", ""]).encode()

    async def answer(
        self, endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
    ) -> None:
        """Answer a request, and write the copy if it is time."""
        name = arrival.header("X-Attempt-Id") or ""
        if self.sock is None:
            self.sock = exchange.sock
            self.original = self.head(self.status, name if self.named else None, 4) + b"copy"
            await self.write(endpoint, exchange, [self.head(self.status, name, 4) + b"copy"])
            return
        self.runs[name] += 1
        own = self.head(200, name, len(name)) + name.encode()
        if exchange.sock is not self.sock:
            await self.write(endpoint, exchange, [own])
            return
        self.later += 1
        await self.write(endpoint, exchange, self.pieces(own))

    def pieces(self, own: bytes) -> list[bytes]:
        """Return what is written in turn for a request on the connection of the first one."""
        copy = self.original
        if self.time == "two requests later":
            return [copy, own] if self.later == 3 else [own]
        if self.later > 1:
            return [own]
        return {
            "before the answer": [copy, own],
            "in pieces before the answer": [copy[:20], copy[20:70], copy[70:], own],
            "within the answer's packet": [copy + own],
            "behind the answer": [own + copy],
            "while nothing is under way": [own, copy],
            "before the connection ends": [copy],
        }[self.time]

    async def write(
        self, endpoint: EndpointStandIn, exchange: CallerExchange, pieces: list[bytes]
    ) -> None:
        """Write bytes in pieces that arrive one by one."""
        exchange.headers_sent, exchange.chunked = True, False
        for piece in pieces:
            exchange.server.send(exchange.sock, piece)
            await endpoint.runtime.loop.sleep(0.01)
        if pieces == [self.original] and self.later:
            exchange.abort()
        else:
            exchange.finish()


@when("an engine writes its first response of any status once more {time}")
def step_any_status(context: Any, time: str) -> None:
    context.plays = []
    for status in (503, 429, 408, 421, 500, 200):
        for not_executed in (True, False):
            for named in (True, False):
                play_copy(context, CopyingEngine(status, not_executed, named, time))


def play_copy(context: Any, engine: CopyingEngine) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").default_behaviour = engine.answer
        await fleet.start()
        await fleet.caller().ask("POST", "/chat/0", attempt="x0")
        answers = {}
        for number in range(1, 5):
            name = f"x{number}"
            answers[name] = await fleet.caller().ask("POST", "/chat/1", attempt=name)
            if number == 1:
                # The engine may still write.
                await fleet.loop.sleep(0.03)
        # Under way again, where its refusal would be believed.
        answers["x0"] = await fleet.caller().ask("POST", "/chat/0", attempt="x0")
        context.plays.append((engine, answers))

    run_with_fleet(context, scenario)


@then(
    "every other request has run once, and its caller gets its own answer or a failure that "
    "promises nothing"
)
def step_nothing_untrue(context: Any) -> None:
    for engine, answers in context.plays:
        play = (engine.status, engine.not_executed, engine.named)
        statuses = {name: answer.status for name, answer in answers.items()}
        assert set(statuses.values()) <= {200, 502}, (play, statuses)
        assert list(statuses.values()).count(502) <= 1, (play, statuses)
        assert engine.runs == dict.fromkeys(answers, 1), (play, engine.runs)
        for name, answer in answers.items():
            assert answer.status != 200 or answer.body == name.encode(), (play, name, answer.body)


@when("an engine writes a refusal once more before it refuses the next request")
def step_refused_twice(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        engine = RepeatingEngine("first")

        async def refuse(
            endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
        ) -> None:
            assert exchange.sock is engine.sock
            exchange.server.send(exchange.sock, refusal("first"))
            await endpoint.runtime.loop.sleep(0.02)
            await engine.refuse(endpoint, exchange, arrival)

        fleet.register("e1").behaviours += [engine.refuse, refuse]
        front = await fleet.start()
        for name in ("first", "second", "third"):
            answer = await fleet.caller().ask("POST", "/chat/1", attempt=name)
            context.status = answer.status
        sample = fleet.runtime.metrics.get_sample_value
        context.refusals = sample("parsley_endpoint_refusals_total", {"proven": "true"})
        context.skipped = sample("parsley_skipped_responses_total", {"kind": "refusal"})
        health = front.loads.ejector.health.get(EndpointId("e1"))
        context.held_back = health is not None and health.ejected

    run_with_fleet(context, scenario)


@then("two refusals and one skipped response are counted, and the engine is not held back")
def step_counted_once(context: Any) -> None:
    assert (context.refusals, context.skipped) == (2, 1), (context.refusals, context.skipped)
    assert context.status == 200 and not context.held_back
