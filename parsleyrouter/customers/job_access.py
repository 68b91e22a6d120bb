"""Decide who may use a batch job; performs no I/O.

A job is stored under its id and its customer, so that to others it does not exist: what they ask
for is another key of the store, in every way the same as a job that was never submitted.
"""

from dataclasses import dataclass
from hashlib import blake2b

from parsleyrouter.customers.customer import Customer
from parsleyrouter.ids import CustomerName, JobId
from parsleyrouter.outcome import Refusal

__all__ = ["SUFFIX_SEPARATOR", "JobCaller", "customer_suffix", "job_id_of", "may_use_job"]

SUFFIX_SEPARATOR = "~"
"""Not allowed in the ids that clients send."""

_SUFFIX_BYTES = 12


@dataclass(frozen=True)
class JobCaller:
    """Who calls about a job."""

    customer: Customer | None = None
    refusal: Refusal | None = None
    """Why calls are refused that need a key."""
    open_host: bool = False
    """Whether the host takes jobs without a key, so that the job may need none."""
    needs_key: bool = False
    """Whether the configuration has customers."""

    @property
    def name(self) -> CustomerName | None:
        """Return the name of the customer."""
        return None if self.customer is None else self.customer.name


def customer_suffix(customer: CustomerName) -> str:
    """Return a text that stands for a customer in keys of the store, whatever its name holds."""
    return SUFFIX_SEPARATOR + blake2b(customer.encode(), digest_size=_SUFFIX_BYTES).hexdigest()


def job_id_of(job: JobId, customer: CustomerName | None) -> JobId:
    """Return the id under which a job of a customer is stored."""
    return JobId(job + customer_suffix(customer)) if customer else job


def may_use_job(caller: JobCaller, customer: CustomerName, *, anonymous: bool) -> bool:
    """Return whether a caller may use a job of a customer, or of none if the name is empty.

    A job of no customer was accepted on an ``anonymous`` route, and is open to all, or before the
    configuration had customers: then any of them may have submitted it.
    """
    if not caller.needs_key:
        return True
    if customer:
        return caller.name == customer
    return anonymous or caller.customer is not None
