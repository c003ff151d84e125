"""The users' rules on what crashes engines, judged from what reaches the engines."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import singledispatch

from godwitpath_standin.gateway.engine import Arrival, CrashSubject, EngineStandin, RequestCopy

CONTACT_S = 4.0
"""Time after the last tolerated crash until every daemon in touch has to know of it."""

TOLERATED_SENDS = 3
"""Requests that may reach engines after that time."""


@singledispatch
def tolerated_crashes(subject: CrashSubject) -> int:
    """Return the number of crashes after which hardly any such request may reach an engine."""
    raise TypeError(f"no rule on {subject!r}")


@tolerated_crashes.register
def _(subject: str) -> int:
    return 5


@tolerated_crashes.register
def _(subject: RequestCopy) -> int:
    return 3


@singledispatch
def _concerns(subject: CrashSubject, arrival: Arrival) -> bool:
    """Return whether a request is one of those that crash engines."""
    raise TypeError(f"no rule on {subject!r}")


@_concerns.register
def _(subject: str, arrival: Arrival) -> bool:
    return subject in arrival.shared_parts


@_concerns.register
def _(subject: RequestCopy, arrival: Arrival) -> bool:
    return subject == arrival.copy


def crash_times_s(engines: Iterable[EngineStandin], subject: CrashSubject) -> list[float]:
    """Return the loop times at which engines crashed on something, in order."""
    return sorted(engine.crashed_at_s for engine in engines if engine.crashed_on == subject)


def late_sends(
    engines: Iterable[EngineStandin],
    subject: CrashSubject,
    counts: Callable[[Arrival], bool] = lambda arrival: True,
) -> list[Arrival]:
    """Return the requests that crash engines and reached them when none should any more.

    :param counts: returns whether the daemon that sent a request was in touch
    """
    engines = list(engines)
    crashes_s = crash_times_s(engines, subject)
    tolerated = tolerated_crashes(subject)
    if len(crashes_s) < tolerated:
        return []
    since_s = crashes_s[tolerated - 1] + CONTACT_S
    return [
        arrival
        for engine in engines
        for arrival in engine.arrivals
        if _concerns(subject, arrival) and arrival.at_s > since_s and counts(arrival)
    ]
