"""Decides when a daemon may replace a key of the duty holder that the store returns unreadable.

Nobody knows whose key it is, so it may be that of a holder that acts. A holder's key is under a
lease and ends with it. One without a lease is of another writer. It is replaced by its revision
once it has not changed for so long that the lease of any holder before it has ended, or that holder
has noticed the other writer.

The decision has no access to the network and no clock. It answers the load of one daemon: one read
of the key in each wait.
"""

from __future__ import annotations

import math

from godwitpath.telemetry.decisions import decision


class UnreadableHolder:
    """The key of the duty holder as far as reads of it tell while it cannot be read as a whole.

    :param wait_s: time for which the key must not have changed, and between two reads of it
    """

    __slots__ = ("_next_read_s", "_revision", "_since_s", "_wait_s")

    def __init__(self, wait_s: float) -> None:
        self._wait_s = wait_s
        # Revision of the last read, 0 for one that could not be read, None before the first.
        self._revision: int | None = None
        self._since_s = 0.0
        self._next_read_s = -math.inf

    def is_read_due(self, now_s: float) -> bool:
        """Return whether the key is to be read now."""
        return now_s >= self._next_read_s

    def note_read(self, revision: int, leased: bool, now_s: float) -> bool:
        """Note a read of the key; returns whether the key may be replaced by its revision.

        :param revision: its revision, 0 if that could not be read
        :param leased: whether it may be kept under a lease
        """
        self._next_read_s = now_s + self._wait_s
        if revision != self._revision:
            self._revision, self._since_s = revision, now_s
            decision("duty_holder_unreadable", revision=revision, leased=leased)
        return bool(revision) and not leased and now_s - self._since_s >= self._wait_s
