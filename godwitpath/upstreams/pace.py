"""How often an entry looks at the platform.

The instance list comes whole, so its bytes grow with the fleet. A look at a long list is made less
often: each entry spends a bounded number of bytes a second on it, whatever the size.
"""

from __future__ import annotations

FOLLOWER_INTERVAL_S = 1.0
"""Shortest time between two looks of an entry that follows for its region."""

OTHERS_INTERVAL_S = 8.0
"""Shortest time between two looks of the other entries."""

FOLLOWER_INSTANCES_PER_S = 100
"""Most listed instances that a follower reads a second, on average."""

OTHERS_INSTANCES_PER_S = 4
"""Most listed instances that another entry reads a second, on average."""


def list_interval_s(follower: bool, instances: int) -> float:
    """Return the time between two looks at an instance list of a length."""
    if follower:
        return max(FOLLOWER_INTERVAL_S, instances / FOLLOWER_INSTANCES_PER_S)
    return max(OTHERS_INTERVAL_S, instances / OTHERS_INSTANCES_PER_S)


def stops_interval_s(follower: bool) -> float:
    """Return the time between two looks at the announced stops, which are few."""
    return FOLLOWER_INTERVAL_S if follower else OTHERS_INTERVAL_S
