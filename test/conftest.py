"""Profiles of the property tests: the same examples on every run."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")
