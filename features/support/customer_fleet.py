"""A fleet whose configuration has customers, and callers with their keys."""

from typing import Any

from features.support.front_fleet import ROUTES, Caller, CallerAnswer, FrontFleet, routes
from parsleyrouter.process.front import Front

KEYS = {"ant": ["ant-key-1", "ant-key-2"], "bee": ["bee-key-1"]}
"""The keys of the customers when a fleet starts."""

OPEN_ROUTES: list[dict[str, Any]] = [
    {"name": "open", "prefix": "/open/", "kind": "safe", "service": "cards"},
    {
        "name": "openbulk",
        "prefix": "/openbulk/",
        "kind": "batch",
        "maxAttempts": 3,
        "runTargetMs": 18_000,
        "retentionS": 60,
        "service": "engines",
    },
]


def customer_routes(
    version: int = 1, keys: dict[str, list[str]] | None = None, **more: Any
) -> dict[str, Any]:
    """Return a configuration with customers and with anonymous routes."""
    found = routes(version)
    common = {name: value for name, value in found["routes"][0].items() if name in _COMMON}
    found["routes"] = found["routes"] + [
        common | {"allowAnonymous": True} | route for route in OPEN_ROUTES
    ]
    known = KEYS if keys is None else keys
    found["tenants"] = [{"name": name, "apiKeys": held} for name, held in known.items()]
    return found | more


_COMMON = set(routes()["routes"][0]) - set(ROUTES[0])


async def start_customers(fleet: FrontFleet, count: int = 1, **options: Any) -> Front:
    """Start front processes with two customers, an endpoint of cards and one of engines."""
    fleet.register("c1", "cards")
    fleet.register("e1")
    fleet.store.put_json("op/config", customer_routes())
    return await fleet.start(count, configured=False, **options)


async def configure(fleet: FrontFleet, version: int, **changes: Any) -> None:
    """Write a configuration and wait until all nodes have it."""
    fleet.store.put_json("op/config", customer_routes(version, **changes))
    await fleet.until(lambda: all(front.routes.version == version for front in fleet.fronts))


async def ready(fleet: FrontFleet) -> None:
    """Wait until all nodes know the configuration and the endpoints."""
    await fleet.until(
        lambda: all(
            front.routes.table is not None
            and len(front.directory.endpoints) == len(fleet.endpoints)
            and front.registry.lease
            for front in fleet.fronts
        )
    )


async def ask_with(
    caller: Caller, *keys: str, target: str = "/card/1", method: str = "POST", **named: Any
) -> CallerAnswer:
    """Send a request with keys, each in a header of its own."""
    headers = [("X-Credential", key) for key in keys] + named.pop("headers", [])
    return await caller.ask(method, target, named.pop("body", b""), headers=headers, **named)


def told(fleet: FrontFleet, endpoint: str = "c1") -> list[list[str]]:
    """Return the customers that an endpoint was told with each request."""
    return [
        [value for name, value in arrival.headers if name.lower() == "x-tenant"]
        for arrival in fleet.endpoints[endpoint].arrivals
    ]


def bytes_received(fleet: FrontFleet) -> str:
    """Return all that the endpoints received, as text."""
    return repr(
        [
            (one.target, one.headers, one.body)
            for e in fleet.endpoints.values()
            for one in e.arrivals
        ]
    )
