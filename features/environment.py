"""Hooks of behave; hypothesis uses the same examples in every run."""

from typing import Any

from hypothesis import HealthCheck, settings

settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("repeatable")


def after_scenario(context: Any, scenario: Any) -> None:
    """Run the clean-ups registered by steps in reverse order."""
    for cleanup in reversed(getattr(context, "cleanups", [])):
        cleanup()
