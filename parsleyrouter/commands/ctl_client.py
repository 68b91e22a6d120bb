"""Client of the operators' HTTP API for command-line use."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from parsleyrouter.connection.http import HttpReply, Sent, TransportFailure
from parsleyrouter.ids import Address
from parsleyrouter.process.runtime import Runtime

__all__ = ["CtlClient", "CtlError", "ExitCode", "run_call"]

T = TypeVar("T")

CALL_TIMEOUT_S = 30.0


class ExitCode:
    """Exit codes of parsleyctl."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNREACHABLE = 6
    UNKNOWN = 7
    TIMED_OUT = 8


class CtlError(Exception):
    """A command that failed, with its exit code and the details of the error response."""

    def __init__(self, message: str, code: int, details: Any = None) -> None:
        super().__init__(message)
        self.code = code
        self.details = details


_CODES = {400: ExitCode.REFUSED, 404: ExitCode.NOT_FOUND, 409: ExitCode.CONFLICT}


@dataclass
class CtlClient:
    """Calls one entry with an operator's key."""

    runtime: Runtime
    entry: Address
    key: str

    async def call(
        self, method: str, path: str, query: dict[str, str] | None = None, body: Any = None
    ) -> Any:
        """Return the decoded JSON response; raise ``CtlError`` on any status but 200."""
        target = path + (f"?{urlencode(query)}" if query else "")
        reply = await self.runtime.http.request(
            self.entry,
            method,
            target,
            headers={"authorization": f"Bearer {self.key}", "content-type": "application/json"},
            body=b"" if body is None and method != "PUT" else msgspec.json.encode(body),
            timeout_s=CALL_TIMEOUT_S,
        )
        if isinstance(reply, TransportFailure):
            code = ExitCode.UNREACHABLE if reply.sent is Sent.NOTHING else ExitCode.UNKNOWN
            raise CtlError(f"{reply.message}: name another entry with --entry", code)
        return _decode(reply)


def _decode(reply: HttpReply) -> Any:
    try:
        value = reply.json()
    except msgspec.DecodeError as error:
        message = f"{reply.status} without JSON: is --entry the address of an entry?"
        raise CtlError(message, ExitCode.FAILED) from error
    if reply.status == 200:
        return value
    details = value.get("error", {}) if isinstance(value, dict) else {}
    code = _CODES.get(reply.status, ExitCode.FAILED)
    if details.get("ran") == "unknown":
        code = ExitCode.UNKNOWN
    raise CtlError(details.get("message", f"status {reply.status}"), code, details)


def run_call(work: Callable[[Runtime], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine on a new event loop and return its value or raise its error."""
    runtime = Runtime()
    outcomes: list[tuple[T | None, BaseException | None]] = []

    async def main() -> None:
        await runtime.loop.sleep(0)
        try:
            outcomes.append((await work(runtime), None))
        except Exception as error:
            outcomes.append((None, error))
        runtime.stop()

    runtime.loop.spawn(main())
    runtime.run()
    value, error = outcomes[0]
    if error is not None:
        raise error
    return value  # type: ignore[return-value]
