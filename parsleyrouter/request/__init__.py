"""State and decisions that concern a single request."""
