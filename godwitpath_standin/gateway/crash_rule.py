"""The users' rule on prompt parts that crash engines, judged from what reaches the engines."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from godwitpath_standin.gateway.engine import Arrival, EngineStandin

TOLERATED_CRASHES = 5
"""Crashes under a part after which hardly any request with the part may reach an engine."""

CONTACT_S = 4.0
"""Time after the last tolerated crash until every daemon in touch has to know of the part."""

TOLERATED_SENDS = 3
"""Requests with the part that may reach engines after that time."""


def crash_times_s(engines: Iterable[EngineStandin], part_id: str) -> list[float]:
    """Return the loop times at which engines crashed on a part, in order."""
    return sorted(engine.crashed_at_s for engine in engines if engine.crashed_on == part_id)


def late_sends(
    engines: Iterable[EngineStandin],
    part_id: str,
    counts: Callable[[Arrival], bool] = lambda arrival: True,
) -> list[Arrival]:
    """Return the requests with a crashing part that reached engines when none should any more.

    :param counts: returns whether the daemon that sent a request was in touch
    """
    engines = list(engines)
    crashes_s = crash_times_s(engines, part_id)
    if len(crashes_s) < TOLERATED_CRASHES:
        return []
    since_s = crashes_s[TOLERATED_CRASHES - 1] + CONTACT_S
    return [
        arrival
        for engine in engines
        for arrival in engine.arrivals
        if part_id in arrival.shared_parts and arrival.at_s > since_s and counts(arrival)
    ]
