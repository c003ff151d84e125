"""Intervals at which an entry polls the platform.

Every poll returns the whole instance list, which grows with the fleet. Long lists are polled less
often, so that each entry reads a bounded number of bytes per second at any fleet size.
"""

from __future__ import annotations

POLLER_INTERVAL_S = 1.0
"""Minimum interval between two polls by an entry that is a poller of its region."""

NON_POLLER_INTERVAL_S = 8.0
"""Minimum interval between two polls by an entry that is not a poller."""

POLLER_INSTANCES_PER_S = 100
"""Maximum mean number of listed instances that a poller reads per second."""

NON_POLLER_INSTANCES_PER_S = 4
"""Maximum mean number of listed instances that an entry that is not a poller reads per second."""


def list_interval_s(is_poller: bool, instance_count: int) -> float:
    """Return the interval between two polls of an instance list of the given length."""
    if is_poller:
        return max(POLLER_INTERVAL_S, instance_count / POLLER_INSTANCES_PER_S)
    return max(NON_POLLER_INTERVAL_S, instance_count / NON_POLLER_INSTANCES_PER_S)


def stops_interval_s(is_poller: bool) -> float:
    """Return the interval between two polls of the announced stops, which are few."""
    return POLLER_INTERVAL_S if is_poller else NON_POLLER_INTERVAL_S
