"""Translate between the formats of the operators' platform and this project's types."""
