"""Requests to stand-ins on the loop of a test."""

import json
from typing import Any

from parsleyrouter.ids import Address
from parsleyrouter.process.runtime import Runtime


async def post(runtime: Runtime, address: Address, path: str, body: Any, **named: Any) -> Any:
    data = json.dumps(body).encode()
    return await runtime.http.request(address, "POST", path, body=data, **named)


def chat(content: str, **named: Any) -> dict[str, Any]:
    messages = [{"role": "user", "content": content}]
    return {"model": "stand-in", "messages": messages, "max_tokens": 12} | named
