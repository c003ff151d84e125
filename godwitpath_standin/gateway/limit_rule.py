"""The users' rule on the limit that an engine states, judged from the requests that reach it."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

WINDOW_S = 4.0
"""Length of the window in which requests are counted."""

RATIO = 1.5
"""Share of the limit that a window allows."""

SLACK = 5
"""Requests that a window allows beyond that share."""

INFORMED_S = 0.5
"""Time from the first response with the limit that a daemon passed on until its requests count."""


@dataclass(slots=True, frozen=True)
class LimitedArrival:
    """A request that reached an engine while it stated one and the same limit.

    :ivar daemon: name of the daemon that sent the request
    :ivar at_s: time of the arrival
    :ivar answered_at_s: time of the response, 0 if there was none
    """

    daemon: str
    at_s: float
    answered_at_s: float


@dataclass(slots=True, frozen=True)
class LimitWindow:
    """A window with more requests than the limit allows.

    :ivar ends_at_s: time of the last request in the window
    """

    ends_at_s: float
    requests: int
    allowed: float

    def __str__(self) -> str:
        return f"{self.requests} requests in {WINDOW_S:.0f} s, allowed {self.allowed:.1f}"


def allowed_requests(limit_per_s: float) -> float:
    """Return the number of requests that a limit allows in a window."""
    return RATIO * limit_per_s * WINDOW_S + SLACK


def informed_arrivals(arrivals: Iterable[LimitedArrival]) -> list[LimitedArrival]:
    """Return the requests of daemons that had passed on a response with the limit, by time."""
    arrivals = sorted(arrivals, key=lambda arrival: arrival.at_s)
    informed_at_s: dict[str, float] = {}
    for arrival in arrivals:
        if arrival.answered_at_s:
            earlier_s = informed_at_s.get(arrival.daemon, arrival.answered_at_s)
            informed_at_s[arrival.daemon] = min(earlier_s, arrival.answered_at_s)
    return [
        arrival
        for arrival in arrivals
        if arrival.daemon in informed_at_s
        and arrival.at_s >= informed_at_s[arrival.daemon] + INFORMED_S
    ]


def windows(times_s: Collection[float], limit_per_s: float) -> Iterator[LimitWindow]:
    """Yield the window that ends at each request.

    :param times_s: times of the requests that count, in order
    """
    times_s = list(times_s)
    first = 0
    for last, ends_at_s in enumerate(times_s):
        while times_s[first] <= ends_at_s - WINDOW_S:
            first += 1
        yield LimitWindow(ends_at_s, last - first + 1, allowed_requests(limit_per_s))


def exceeded_windows(
    arrivals: Iterable[LimitedArrival], limit_per_s: float
) -> Iterator[LimitWindow]:
    """Yield each window in which daemons that knew the limit sent more than it allows.

    It is stricter than the rule, which begins some seconds after the limit was first stated.
    """
    times_s = [arrival.at_s for arrival in informed_arrivals(arrivals)]
    return (each for each in windows(times_s, limit_per_s) if each.requests > each.allowed)
