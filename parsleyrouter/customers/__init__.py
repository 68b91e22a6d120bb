"""The operator's customers: their keys, limits and priorities."""

from parsleyrouter.customers.customer import Customer, Customers

__all__ = ["Customer", "Customers"]
