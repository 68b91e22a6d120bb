"""Interface to the limits on customers' requests."""

from typing import Protocol

from parsleyrouter.ids import CustomerName
from parsleyrouter.outcome import Refusal

__all__ = ["RequestLimiter", "RequestPermit"]


class RequestPermit(Protocol):
    """Permission to send one request of a customer."""

    usage: float
    """The customer's recent rate as a share of its limit, from 0 to 1; 0 without a limit."""

    def give_back(self) -> None:
        """Return the permit of a request that was not sent to any endpoint."""


class RequestLimiter(Protocol):
    """Grants permits to send requests."""

    async def acquire(
        self, customer: CustomerName, *, left_s: float, returning: bool
    ) -> RequestPermit | Refusal:
        """Return a permit, or a refusal with the time at which there is room for this caller.

        ``returning`` marks a request that comes back after a refusal; ``left_s`` is the time that
        its caller still waits.
        """
