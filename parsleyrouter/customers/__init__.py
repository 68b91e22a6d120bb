"""The operator's customers: their keys, limits and priorities."""

from parsleyrouter.customers.authentication import authenticate
from parsleyrouter.customers.customer import Customer, Customers
from parsleyrouter.customers.job_access import (
    SUFFIX_SEPARATOR,
    JobCaller,
    customer_suffix,
    job_id_of,
    may_use_job,
)
from parsleyrouter.customers.staleness import SuspendedTime, may_miss_removals

__all__ = [
    "Customer",
    "Customers",
    "JobCaller",
    "SUFFIX_SEPARATOR",
    "SuspendedTime",
    "authenticate",
    "customer_suffix",
    "job_id_of",
    "may_miss_removals",
    "may_use_job",
]
