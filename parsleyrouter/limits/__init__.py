"""Limits on the requests of each customer over all nodes together."""
