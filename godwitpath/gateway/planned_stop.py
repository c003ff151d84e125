"""Decides which requests a stopping daemon still takes, and when it cuts those that still run.

It answers the load of a planned stop: callers go on to send requests, on connections that they
keep, until the load balancer has moved them to other daemons and the process is gone. A request
that would not end within the grace period is better refused, since a refused request can still be
sent to another daemon. The decision uses neither network nor clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque

REFUSE_AFTER_S = 2.9
"""Time from the stop signal after which a daemon refuses all new requests. The platform allows 3 s,
counted from when it sends the signal."""

DRAIN_SHARE = 0.93
"""Fraction of the grace period after which requests that still run are cut."""

EXIT_S = 0.4
"""Shortest time between that moment and the end of the grace period: cut requests are answered, and
the process exits."""

REMEMBERED_DURATIONS = 64
"""Number of recent requests of a route by whose durations a new one is judged."""

MAX_ROUTES = 1024
"""Number of routes whose durations are remembered."""

DURATION_MARGIN = 1.25
"""Factor between the longest of these durations and the time that a new request may take."""


class PlannedStop:
    """The plan of a daemon's stop, once there is a stop signal.

    All times are in seconds of one clock, whose current time is passed to each method.

    :ivar cut_at_s: time at which the requests that still run are cut, infinite before the signal
    """

    __slots__ = ("_durations_s", "_refuse_from_s", "cut_at_s")

    def __init__(self) -> None:
        self.cut_at_s = math.inf
        self._refuse_from_s = math.inf
        self._durations_s: OrderedDict[str, deque[float]] = OrderedDict()

    def begin(self, now_s: float, grace_s: float) -> None:
        """Plan the stop.

        :param grace_s: time between the stop signal and the kill
        """
        self._refuse_from_s = now_s + REFUSE_AFTER_S
        self.cut_at_s = now_s + max(0.0, min(DRAIN_SHARE * grace_s, grace_s - EXIT_S))

    def note_duration(self, route: str, took_s: float) -> None:
        """Learn how long a request of a route took until its response was complete."""
        durations_s = self._durations_s.setdefault(route, deque(maxlen=REMEMBERED_DURATIONS))
        durations_s.append(took_s)
        self._durations_s.move_to_end(route)
        if len(self._durations_s) > MAX_ROUTES:
            self._durations_s.popitem(last=False)

    def refuses_all(self, now_s: float) -> bool:
        """Return whether no new request is taken any more."""
        return now_s >= min(self._refuse_from_s, self.cut_at_s)

    def takes(self, route: str, time_left_s: float, now_s: float) -> bool:
        """Return whether a new request of a route will have its final response before the cut.

        :param time_left_s: time until its final response is due in any case
        """
        until_cut_s = self.cut_at_s - now_s
        if time_left_s <= until_cut_s:
            return True
        durations_s = self._durations_s.get(route)
        return durations_s is not None and max(durations_s) * DURATION_MARGIN <= until_cut_s
