"""A randomized fault soak of front processes, with faults injected from outside them."""
