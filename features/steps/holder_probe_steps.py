"""Steps for holders of shares that are not registered."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from behave import then, when

from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.limits.holder import NotHolder, ShareAnswer
from parsleyrouter.limits.holder_probe import HolderProbe
from parsleyrouter.limits.shares import ShareRecord
from parsleyrouter.process.customer_limits import UNREGISTERED_S, KnownNodes
from parsleyrouter.process.loop import Promise

CHECK_S = 0.25
PLAY_S = 40.0
HOLDER = ShareRecord(NodeId("n1"), 1, Address("127.0.0.1:7001"), DomainName("z"), claims=1)


@dataclass
class ProbePlay:
    """One node that checks a holder in virtual time; ``answers`` decides on each ask."""

    answers: Callable[[int], bool]
    registered_boot: int = 0
    now: float = 0.0
    asks: int = 0

    def __post_init__(self) -> None:
        nodes = {}
        if self.registered_boot:
            nodes[HOLDER.node] = SimpleNamespace(boot=self.registered_boot)
        loop: Any = SimpleNamespace(now=lambda: self.now, spawn=self._spawn)
        calls: Any = SimpleNamespace(ask=self._ask)
        members: Any = SimpleNamespace(
            registry=SimpleNamespace(nodes=nodes, recent_nodes=lambda: nodes),
            fleet=SimpleNamespace(live_nodes=lambda now: []),
        )
        self.nodes = KnownNodes(loop, members, HolderProbe(loop, calls, lambda: self.now))

    def run(self) -> list[float]:
        """Return the times of the checks at which the holder counted as living."""
        found = []
        while self.now < PLAY_S:
            if self.nodes.lives(HOLDER):
                found.append(self.now)
            self.now += CHECK_S
        return found

    def _spawn(self, task: Coroutine[Any, Any, None], name: str) -> None:
        try:
            task.send(None)
        except StopIteration:
            return
        raise AssertionError("an answered ask waits")

    def _ask(self, address: Address, *rest: Any, **named: Any) -> Promise[ShareAnswer | None]:
        assert address == HOLDER.address
        loop: Any = SimpleNamespace()
        promise: Promise[ShareAnswer | None] = Promise(loop)
        promise.resolve(NotHolder() if self.answers(self.asks) else None)
        self.asks += 1
        return promise


@when("a holder is neither registered nor heard but answers")
def step_answers(context: Any) -> None:
    context.living = ProbePlay(lambda ask: True).run()


@then("it counts as living within a second, and no longer after its time without a registration")
def step_living(context: Any) -> None:
    living = context.living
    assert living and living[0] <= 1.0, living
    steps = [later - at_s for at_s, later in zip(living, living[1:], strict=False)]
    assert max(steps) == CHECK_S, steps
    assert UNREGISTERED_S - 1.0 <= living[-1] <= UNREGISTERED_S + 1.0, living[-1]


@when("a holder is neither registered nor heard and does not answer")
def step_silent(context: Any) -> None:
    context.living = ProbePlay(lambda ask: False).run()


@then("it never counts as living")
def step_never(context: Any) -> None:
    assert context.living == [], context.living


@when("a holder is neither registered nor heard and every second answer is lost")
def step_lossy(context: Any) -> None:
    context.living = ProbePlay(lambda ask: ask % 2 == 0).run()


@then("it counts as living from its first answer on")
def step_lossy_living(context: Any) -> None:
    expected = int((UNREGISTERED_S - 1.0) / CHECK_S)
    living = context.living
    assert len(living) >= expected and living[0] <= 1.0, living


@when("a holder's node has registered another process at its address")
def step_restarted(context: Any) -> None:
    context.play = ProbePlay(lambda ask: True, registered_boot=2)
    context.living = context.play.run()


@then("it never counts as living, and nobody asks it")
def step_not_asked(context: Any) -> None:
    assert context.living == [] and not context.play.asks, (context.living, context.play.asks)
