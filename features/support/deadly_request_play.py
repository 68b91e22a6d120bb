"""Copies of requests that crash endpoints, and sound requests, at all nodes of a fleet."""

import itertools
from dataclasses import dataclass, field
from typing import Any

from features.support.crashing_endpoint import CrashPlan
from features.support.deadly_play import CONTACT_S
from features.support.front_fleet import HOST, CallerAnswer, FrontFleet, routes
from features.support.platform_endpoint import Arrival, EndpointStandIn
from parsleyrouter.connection.stream import ConnectFailed
from parsleyrouter.process.front_assembly import Front

CRASHES = 3
"""Crashes by a request after which each of its copies counts."""

COPY_PAUSE_S = 0.4
SOUND_PAUSE_S = 0.06
ENDPOINTS = 8


@dataclass
class DeadlyRequestPlay:
    """One fleet, the crashes of its endpoints and what callers saw."""

    fleet: FrontFleet
    plan: CrashPlan
    path: str
    parts: list[str] = field(default_factory=list)
    """Parts of the prompts of deadly and sound requests; all but the last are shared."""
    deadly: list[CallerAnswer] = field(default_factory=list)
    sound: list[CallerAnswer] = field(default_factory=list)
    sound_s: list[float] = field(default_factory=list)
    running: bool = True
    numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    async def start(self, fronts: int = 3, endpoints: int = ENDPOINTS, **changes: Any) -> None:
        """Start endpoints, of which half return under a new name, and front processes."""
        for number in range(endpoints):
            self.plan.add_endpoint(f"e{number}", renamed=number % 2 == 1)
        self.fleet.store.put_json("op/config", routes(**changes))
        await self.fleet.start(fronts, configured=False)
        await self.fleet.until(lambda: all(self.fleet._knows(one) for one in self.fleet.fronts))

    async def ask(self, front: Front, body: bytes, last_part: str) -> CallerAnswer:
        """Send one request and wait for its end."""
        caller = self.fleet.caller(front)
        headers = [("X-Model", "m"), ("X-Token-Usage", "300,50")]
        if self.parts:
            prefix = ",".join(f"{part}:100" for part in (*self.parts, last_part))
            headers.append(("X-Prompt-Prefix", prefix))
        answer = CallerAnswer()
        try:
            answer = await caller.ask(
                "POST",
                self.path,
                body,
                attempt=f"{next(self.numbers):x}",
                deadline_ms=2000,
                headers=headers,
                host=HOST,
            )
        except (ConnectFailed, AssertionError):
            pass
        finally:
            caller.close()
        return answer

    async def copy_client(self, front: Front, body: bytes, pause_s: float = COPY_PAUSE_S) -> None:
        """Send copies of one deadly request until the play ends."""
        while self.running:
            self.deadly.append(await self.ask(front, body, "own"))
            await self.fleet.loop.sleep(pause_s)

    async def sound_client(self, front: Front, pause_s: float = SOUND_PAUSE_S) -> None:
        """Send sound requests, no two alike, until the play ends."""
        while self.running:
            name, sent_s = f"s{next(self.numbers):x}", self.fleet.loop.now()
            self.sound.append(await self.ask(front, name.encode(), name))
            self.sound_s.append(sent_s)
            await self.fleet.loop.sleep(pause_s)

    def spawn_clients(self, body: bytes) -> None:
        """Start a client with copies and one with sound requests at each node."""
        for front in self.fleet.fronts:
            self.fleet.loop.spawn(self.copy_client(front, body), "copies")
            self.fleet.loop.spawn(self.sound_client(front), "sound")

    def arrivals_of(self, body: bytes) -> list[Arrival]:
        """Return the copies of a request that reached endpoints."""
        endpoints: dict[int, EndpointStandIn] = {
            id(one): one for one in self.fleet.endpoints.values()
        }
        found = [one for endpoint in endpoints.values() for one in endpoint.arrivals]
        return sorted((one for one in found if one.body == body), key=lambda one: one.at_s)

    async def until_crashes(self, body: bytes, limit_s: float = 15.0) -> None:
        """Wait until a request has crashed three endpoints."""
        cause = body.decode()
        await self.fleet.until(lambda: len(self.plan.crashes_by(cause)) >= CRASHES, limit_s)

    def later_arrivals(self, body: bytes) -> int:
        """Count the copies that reached endpoints too late after the third crash."""
        crashes = self.plan.crashes_by(body.decode())
        assert len(crashes) >= CRASHES, f"{len(crashes)} crashes by {body!r}"
        known_s = crashes[CRASHES - 1].at_s + CONTACT_S
        return sum(one.at_s > known_s for one in self.arrivals_of(body))

    def refused_share(self) -> float:
        """Return the share of sound requests that were refused as in quarantine."""
        refused = sum(b"have crashed" in one.body for one in self.sound)
        assert len(self.sound) >= 30, f"only {len(self.sound)} sound requests"
        return refused / len(self.sound)
