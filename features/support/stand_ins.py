"""Helpers for requests to stand-ins on the loop of a test."""

import json
from typing import Any

from parsleyrouter.connection.call_budget import BudgetSettings
from parsleyrouter.connection.etcd import EtcdKeyValue
from parsleyrouter.ids import Address
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.key_value_server import KeyValueServer

UNLIMITED_BUDGET = BudgetSettings(
    calls_per_s=1e6, burst_calls=1e6, backoff_base_s=0.001, backoff_limit_s=0.002, ramp_s=0.001
)


async def post(runtime: Runtime, address: Address, path: str, body: Any, **named: Any) -> Any:
    data = json.dumps(body).encode()
    return await runtime.http.request(address, "POST", path, body=data, **named)


def chat(content: str, **named: Any) -> dict[str, Any]:
    messages = [{"role": "user", "content": content}]
    return {"model": "stand-in", "messages": messages, "max_tokens": 12} | named


async def serve_key_value(runtime: Runtime, **named: Any) -> tuple[KeyValueServer, EtcdKeyValue]:
    server = KeyValueServer(runtime).register(runtime)
    options = {"budget": UNLIMITED_BUDGET, "timeout_s": 5.0} | named
    return server, EtcdKeyValue(runtime, await server.address, **options)
