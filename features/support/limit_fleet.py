"""Fronts whose configuration limits customers, and the requests that endpoints ran."""

from collections import Counter
from dataclasses import replace
from typing import Any

from features.support.customer_fleet import ask_with, customer_routes, ready
from features.support.front_fleet import CallerAnswer, FrontFleet
from parsleyrouter.ids import NodeId, ShareId
from parsleyrouter.limits.shares import all_shares
from parsleyrouter.platform.adapter import PLATFORM
from parsleyrouter.process.front import Front
from parsleyrouter.process.front_assembly import assemble_front
from parsleyrouter.standins.ports import free_address

WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20
DEADLINE_S = 5.0
PATIENCE_S = 1.6
"""What a caller waits at most before it returns: a little under a third of its time."""

"""What the platform allows beyond a limit."""


def limited(version: int, rate_per_s: float, burst: float = 4.0, **more: Any) -> dict[str, Any]:
    """Return a configuration that limits the customer ``ant``."""
    found = customer_routes(version, **more)
    for one in found["tenants"]:
        if one["name"] == "ant":
            one |= {"ratePerS": rate_per_s, "burst": burst}
    return found


async def start_limited(fleet: FrontFleet, count: int, rate_per_s: float, **named: Any) -> None:
    """Start fronts and wait until all shares are granted from."""
    fleet.register("c1", "cards")
    fleet.register("e1")
    fleet.store.put_json("op/config", limited(1, rate_per_s, **named))
    await fleet.start(count, configured=False)
    await ready(fleet)
    await shares_in_use(fleet)


async def shares_in_use(fleet: FrontFleet, limit_s: float = 8.0) -> None:
    """Wait until each share is granted from by some front."""
    await fleet.until(lambda: len(granting(fleet)) == len(all_shares()), limit_s)


def granting(fleet: FrontFleet) -> list[int]:
    """Return the shares that fronts grant from; one that two grant from is there twice."""
    return sorted(
        share
        for front in fleet.fronts
        if front.limits is not None
        for share in all_shares()
        if front.limits.keeper.may_grant(share, front.limits.keeper.clock())
    )


class LimitedCallers:
    """Callers of one customer that keep their rate, whatever they are answered."""

    def __init__(self, fleet: FrontFleet, key: str = "ant-key-1") -> None:
        self.fleet = fleet
        self.loop = fleet.loop
        self.key = key
        self.answers: list[tuple[float, CallerAnswer]] = []
        self.sent = 0
        self.patient = False
        """Whether callers return once, when they were told, if that is within a third of 5 s."""
        self.returned: list[int] = []
        """Statuses of the answers to those that returned."""

    async def send(self, per_s: float, seconds: float, fronts: list[Front] | None = None) -> None:
        """Send at a rate for some time, to the fronts in turn, and wait for the answers."""
        entries = fronts or self.fleet.fronts
        started_s, tasks = self.loop.now(), []
        while (passed_s := self.loop.now() - started_s) < seconds:
            while len(tasks) < passed_s * per_s:
                front = entries[self.sent % len(entries)]
                tasks.append(self.loop.spawn(self._ask(front, self.sent)))
                self.sent += 1
            await self.loop.sleep(0.005)
        await self.loop.gather(tasks)

    async def _ask(self, front: Front, number: int) -> None:
        caller = self.fleet.caller(front)
        answer = await ask_with(caller, self.key, target=f"/card/{number}", attempt=f"q{number}")
        self.answers.append((self.loop.now(), answer))
        caller.close()
        after_s = float(answer.headers.get("Retry-After", 0.0))
        if self.patient and answer.status == 429 and after_s < PATIENCE_S:
            await self.loop.sleep(after_s)
            caller = self.fleet.caller(front)
            left_ms = int((DEADLINE_S - after_s) * 1000) - 60
            answer = await ask_with(
                caller,
                self.key,
                target=f"/card/{number}",
                attempt=f"r{number}",
                deadline_ms=left_ms,
            )
            self.returned.append(answer.status)
            caller.close()

    def statuses(self) -> Counter[int]:
        """Return how many requests were answered with each status."""
        return Counter(answer.status for _, answer in self.answers)

    def count(self, status: int) -> int:
        """Return how many requests were answered with a status."""
        return sum(answer.status == status for _, answer in self.answers)


def holders(fleet: FrontFleet) -> dict[ShareId, NodeId]:
    """Return the holders of all shares as the first front knows them."""
    limits = fleet.fronts[0].limits
    assert limits is not None
    views = limits.keeper.authority.views
    return {share: view.record.node for share, view in views.items() if view.record is not None}


def runs(fleet: FrontFleet, customer: str = "ant", endpoint: str = "c1") -> list[float]:
    """Return the times at which requests of a customer arrived at an endpoint, in order."""
    return sorted(
        arrival.at_s
        for arrival in fleet.endpoints[endpoint].arrivals
        if ("x-tenant", customer) in [(name.lower(), value) for name, value in arrival.headers]
    )


def allowed(rate_per_s: float, burst: float = 4.0, window_s: float = WINDOW_S) -> float:
    """Return the most requests that may run in a window."""
    return (rate_per_s * window_s + burst) * (1 + OVERSHOOT) + SLACK


def crash(front: Front) -> None:
    """Let a front end without a word: it holds no address, renews nothing and claims nothing."""
    assert front.limits is not None
    front.limits.keeper.authority.closed = True
    front.limits.calls.datagrams.close()
    front.exchange.datagrams.close()
    front.registry.leaving = True


def restart(fleet: FrontFleet, number: int) -> Front:
    """Start a crashed front again, with the address that its shares name."""
    options = replace(
        fleet.options[number],
        callers=free_address(),
        ready=free_address(),
        locate=free_address(),
        nodes=free_address(),
    )
    front = assemble_front(fleet.runtime, options, PLATFORM)
    fleet.fronts[number] = front
    return front
