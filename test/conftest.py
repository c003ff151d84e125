"""Profiles of the property tests: the same examples on every run."""

from __future__ import annotations

import eliot
from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")

# Lines that are written before there is a destination wait for the first one; without this, what
# one test writes would reach the destination of another.
eliot.add_destinations(lambda message: None)
