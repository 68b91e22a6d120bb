"""Calls to endpoints of the project's own form: responses are matched to attempts by id."""

from collections.abc import Mapping

from parsleyrouter.connection.http_client import HttpClient
from parsleyrouter.connection.http_exchange import HttpExchange
from parsleyrouter.ids import RequestId

__all__ = ["ATTEMPT_HEADER", "CallClient", "CallExchange"]

ATTEMPT_HEADER = "x-parsley-attempt"


class CallExchange(HttpExchange):
    """One attempt of a call in flight at an endpoint."""

    attempt = ""

    def send(self, method: str, target: str, headers: Mapping[str, str], body: bytes) -> None:
        """Send the whole request; ``headers`` must include the id of the attempt."""
        self.attempt = headers[ATTEMPT_HEADER]
        super().send(method, target, headers, body)

    @property
    def has_attempt_id(self) -> bool:
        """Whether the response names this attempt, so that it is no other's."""
        return self.headers.get(ATTEMPT_HEADER) == self.attempt

    @property
    def is_foreign(self) -> bool:
        """Whether the response may be that to another attempt.

        An endpoint may write a response once more, late. One without an id is that to this attempt
        only if it is the first on its connection.
        """
        return not self.has_attempt_id and (self.reused or ATTEMPT_HEADER in self.headers)


class CallClient(HttpClient):
    """Open exchanges for calls; only connections whose responses name their attempts are kept."""

    exchange_type = CallExchange

    def may_carry(self, idle: HttpExchange, request: RequestId) -> bool:
        """Return whether a connection may carry another attempt."""
        return isinstance(idle, CallExchange) and idle.has_attempt_id
