"""A blocking HTTP caller that records its requests and responses."""

import http.client
import json
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

CALL_TIMEOUT_S = 60.0
READ_BYTES = 64 * 1024


@dataclass
class RecordedCall:
    """One exchange as the caller saw it; ``status`` is 0 if no response arrived."""

    method: str
    path: str
    sent: bytes
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""
    begun_s: float = 0.0
    first_s: float = 0.0
    ended_s: float = 0.0

    @property
    def whole(self) -> bool:
        """Return whether the response is complete."""
        return bool(self.status) and not self.error

    @property
    def ran(self) -> str:
        """Return the execution status in a refusal."""
        try:
            return str(json.loads(self.body)["error"]["ran"])
        except (ValueError, KeyError, TypeError):
            return ""

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)

    def text(self) -> str:
        """Return the text of a completion, plain or streamed."""
        if b"data: " not in self.body[:64]:
            choice = self.json()["choices"][0]
            return str(choice["message"]["content"] if "message" in choice else choice["text"])
        parts = []
        for line in self.body.decode().splitlines():
            if line.startswith("data: ") and line != "data: [DONE]":
                for choice in json.loads(line[6:]).get("choices", ()):
                    parts.append(choice.get("text") or choice.get("delta", {}).get("content") or "")
        return "".join(parts)


class Caller:
    """Call addresses with one API key and record every exchange."""

    def __init__(self, key: str = "", call_timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.key = key
        self.call_timeout_s = call_timeout_s
        self.exchanges: list[RecordedCall] = []

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> RecordedCall:
        """Send one request on a new connection and return the recorded exchange."""
        data = encode_body(body)
        seen = RecordedCall(method, path, data, begun_s=time.monotonic())
        self.exchanges.append(seen)
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=self.call_timeout_s)
        try:
            self._exchange(connection, seen, dict(headers or {}))
        except (OSError, http.client.HTTPException) as error:
            seen.error = f"{type(error).__name__}: {error}"
        finally:
            seen.ended_s = time.monotonic()
            connection.close()
        return seen

    def in_background(self, *arguments: Any, **named: Any) -> "BackgroundCall":
        """Make the call in a thread."""
        return BackgroundCall(self, arguments, named)

    def _exchange(
        self, connection: http.client.HTTPConnection, seen: RecordedCall, headers: dict[str, str]
    ) -> None:
        if self.key:
            headers.setdefault("Authorization", f"Bearer {self.key}")
        headers.setdefault("Content-Type", "application/json")
        connection.request(seen.method, seen.path, seen.sent, headers)
        response = connection.getresponse()
        seen.headers = {name.lower(): value for name, value in response.getheaders()}
        seen.status = response.status
        while piece := response.read1(READ_BYTES):
            seen.first_s = seen.first_s or time.monotonic()
            seen.body += piece
        if response.length:
            raise http.client.IncompleteRead(seen.body, response.length)


def encode_body(body: Any) -> bytes:
    """Return the bytes to send: bytes unchanged, anything else as JSON."""
    if body is None:
        return b""
    return body if isinstance(body, bytes) else json.dumps(body).encode()


class BackgroundCall:
    """A call in progress in a thread."""

    def __init__(self, caller: Caller, arguments: tuple[Any, ...], named: dict[str, Any]) -> None:
        self.recorded: RecordedCall | None = None
        self.thread = threading.Thread(target=self._run, args=(caller, arguments, named))
        self.thread.daemon = True
        self.thread.start()

    def wait(self, call_timeout_s: float = CALL_TIMEOUT_S) -> RecordedCall:
        """Wait for the end of the call."""
        self.thread.join(call_timeout_s)
        assert self.recorded is not None, f"call did not end within {call_timeout_s:g} s"
        return self.recorded

    def _run(self, caller: Caller, arguments: tuple[Any, ...], named: dict[str, Any]) -> None:
        self.recorded = caller.call(*arguments, **named)
