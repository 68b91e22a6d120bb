"""Sound and deadly requests that come at all nodes of a fleet."""

import itertools
from dataclasses import dataclass, field

from features.support.crashing_endpoint import CrashPlan
from features.support.front_fleet import FrontFleet, routes
from parsleyrouter.connection.stream import ConnectFailed
from parsleyrouter.process.front_assembly import Front

CONTACT_S = 3.0
"""Time after the fifth crash from which nodes in touch must know the part."""

MAX_LATER = 3
"""Requests with a deadly part that may reach endpoints after that."""

CRASHES = 5
ENDPOINTS = 6
SOUND_PAUSE_S = 0.08
DEADLY_PAUSE_S = 0.25
MAX_REPEAT_WAIT_S = 0.3


@dataclass(frozen=True)
class Attempt:
    """One request of a caller and when it was sent."""

    at_s: float
    first_part: str
    deadly: str
    status: int
    complete: bool


@dataclass
class DeadlyPlay:
    """One fleet with its traffic and what callers saw."""

    fleet: FrontFleet
    plan: CrashPlan
    attempts: list[Attempt] = field(default_factory=list)
    running: bool = True
    settled_s: dict[str, float] = field(default_factory=dict)
    """When the wait for the crashes by a part ended."""
    numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    async def start(self, fronts: int = 3) -> None:
        """Start endpoints, of which half return under a new name, and front processes."""
        for number in range(ENDPOINTS):
            self.plan.add_endpoint(f"e{number}", renamed=number % 2 == 0)
        common = routes()["routes"]
        sticky = [one | {"sticky": True} for one in common if one["service"] == "engines"]
        self.fleet.store.put_json("op/config", routes(routes=sticky))
        await self.fleet.start(fronts, configured=False)
        await self.fleet.until(lambda: all(self.fleet._knows(one) for one in self.fleet.fronts))

    async def ask(self, front: Front, path: str, parts: list[str], deadly: str = "") -> Attempt:
        """Send one request with these parts and wait for its end."""
        caller = self.fleet.caller(front)
        number, sent_s = next(self.numbers), self.fleet.loop.now()
        prefix = ",".join(f"{part}:100" for part in parts)
        headers = [("X-Model", "m"), ("X-Token-Usage", "300,50"), ("X-Prompt-Prefix", prefix)]
        status, complete = 0, False
        try:
            answer = await caller.ask(
                "POST", path, b"{}", attempt=f"{number:x}", deadline_ms=2000, headers=headers
            )
            status, complete = answer.status, answer.complete
            if status == 503 and deadly:
                wait_s = float(answer.headers.get("Retry-After", "0"))
                await self.fleet.loop.sleep(min(wait_s, MAX_REPEAT_WAIT_S))
        except (ConnectFailed, AssertionError):
            pass
        finally:
            caller.close()
        seen = Attempt(sent_s, parts[0], deadly, status, complete)
        self.attempts.append(seen)
        return seen

    async def sound_client(self, front: Front, path: str, first_part: str, shared: int = 3) -> None:
        """Send sound requests one after another until the play ends."""
        for number in itertools.count():
            if not self.running:
                return
            second = f"{first_part}b{number % shared}"
            parts = [first_part, second, f"f{next(self.numbers):x}"]
            await self.ask(front, path, parts)
            await self.fleet.loop.sleep(SOUND_PAUSE_S)

    async def deadly_client(self, front: Front, path: str, first_part: str, deadly: str) -> None:
        """Send deadly requests until the play ends, each refused one a second time."""
        while self.running:
            parts = [first_part, f"{first_part}b0", deadly, f"d{next(self.numbers):x}"]
            seen = await self.ask(front, path, parts, deadly)
            if seen.status == 503:
                await self.ask(front, path, parts, deadly)
            await self.fleet.loop.sleep(DEADLY_PAUSE_S)

    def spawn_clients(self, path: str, first_part: str, deadly: str) -> None:
        """Start a deadly and a sound client at each node."""
        for front in self.fleet.fronts:
            self.fleet.loop.spawn(self.deadly_client(front, path, first_part, deadly), "deadly")
            self.fleet.loop.spawn(self.sound_client(front, path, first_part), "sound")

    async def until_crashes(self, part: str) -> None:
        """Wait until a part has caused five crashes, or fewer and no more for a while."""

        def settled() -> bool:
            crashes = self.plan.crashes_by(part)
            quiet_s = self.fleet.loop.now() - crashes[-1].at_s if crashes else 0.0
            return len(crashes) >= CRASHES or quiet_s > CONTACT_S

        await self.fleet.until(settled, limit_s=15.0)
        self.settled_s[part] = self.fleet.loop.now()

    def last_crash_s(self, part: str) -> float:
        """Return the time of the fifth crash by a part, or of the last one waited for.

        A trial may cause one more much later.
        """
        until_s = self.settled_s[part]
        crashes = [one.at_s for one in self.plan.crashes_by(part) if one.at_s <= until_s]
        assert crashes, f"no crash by {part}"
        return crashes[:CRASHES][-1]

    def later_arrivals(self, part: str) -> int:
        """Count requests with a part that reached endpoints too late after the fifth crash."""
        crashes = self.plan.crashes_by(part)
        assert crashes, f"no crash by {part}"
        if len(crashes) < CRASHES:
            return 0
        known_s = crashes[CRASHES - 1].at_s + CONTACT_S
        return sum(one.at_s > known_s for one in self.plan.arrivals_with(part))

    def begun_share(self, first_part: str, since_s: float) -> float:
        """Return the share of sound requests with a first part that were answered with 200."""
        sent = [
            one
            for one in self.attempts
            if one.first_part == first_part and not one.deadly and one.at_s >= since_s
        ]
        assert len(sent) >= 10, f"only {len(sent)} sound requests with {first_part}"
        return sum(one.status == 200 for one in sent) / len(sent)
