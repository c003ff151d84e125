"""Configures Hypothesis and Eliot for all tests.

Property tests use the same examples on every run, and log messages do not leak between tests.
"""

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

# Eliot buffers messages until the first destination is added. Without this one, a destination of
# one test would receive the messages of earlier tests.
eliot.add_destinations(lambda message: None)
