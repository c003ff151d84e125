"""Keeps the calls to the platform that one daemon makes in two terms apart.

No daemon can tell whether another one held the duties and called between two of its own terms: a
restore of the store may have lost that term before any watch delivered it. Calls of holders in the
order A, B, A within the lease time are therefore ruled out by the distance between the calls of A.

The decision has no access to the network and no clock. It answers the load of one daemon: some
orders and a report a second, whatever the size of the deployment.
"""

from __future__ import annotations

import math


class CallSpacing:
    """Decides whether a daemon may call the platform under a fencing token.

    :param distance_s: shortest time between two calls under different fencing tokens
    """

    __slots__ = ("_called_at_s", "_distance_s", "_token")

    def __init__(self, distance_s: float) -> None:
        self._distance_s = distance_s
        self._token = 0
        self._called_at_s = -math.inf

    def wait_s(self, token: int, now_s: float) -> float:
        """Return the time until a call may be made under a fencing token, 0 if it may be now."""
        if token == self._token:
            return 0.0
        return max(0.0, self._called_at_s + self._distance_s - now_s)

    def note_call(self, token: int, now_s: float) -> None:
        """Note a call that is made under a fencing token."""
        self._token = token
        self._called_at_s = now_s
