"""Soak test of front processes under random faults, injected from outside the processes."""
