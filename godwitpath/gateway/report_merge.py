"""Merges the sections of reports that come in pieces with what earlier ones said."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

K = TypeVar("K")
V = TypeVar("V")

LOST_TURNS = 2
"""Turns of a section without an entry after which the entry counts as ended: the datagram with it
may have been lost once."""


class PieceOrder:
    """Tells which pieces of a sender's reports are new.

    :ivar sequence: sequence number of the last report, -1 before the first
    """

    __slots__ = ("_pieces", "sequence")

    def __init__(self) -> None:
        self.sequence = -1
        self._pieces: set[int] = set()

    def accepts(self, sequence: int, piece: int) -> bool:
        """Return whether a piece is new and of no earlier report than the last one."""
        if sequence < self.sequence or (sequence == self.sequence and piece in self._pieces):
            return False
        if sequence > self.sequence:
            self._pieces.clear()
        self.sequence = sequence
        self._pieces.add(piece)
        return True


class Renewals(dict[Any, int]):
    """Sequence number of the last report that contained each entry of a section, by key."""

    def merge(
        self, known: Mapping[K, V], received: Mapping[K, V], sequence: int, spread_over: int
    ) -> dict[K, V]:
        """Return a section after a report.

        :param known: the section before
        :param spread_over: as in :class:`~godwitpath.gateway.peer_messages.PeerReport`
        """
        if not spread_over:
            self.clear()
            known = {}
        self.update(dict.fromkeys(received, sequence))
        ended = [key for key, at in self.items() if at < sequence - LOST_TURNS * spread_over]
        for key in ended:
            del self[key]
        merged = {**known, **received}
        return {key: value for key, value in merged.items() if key in self}


class CounterBaseline:
    """Increases of a sender's counters, of which the first values heard are the baseline.

    :ivar counters: the last value of each counter
    """

    __slots__ = ("_baseline_until", "counters")

    def __init__(self) -> None:
        self.counters: dict[str, int] = {}
        self._baseline_until: int | None = None

    def increases(
        self, received: Mapping[str, int], sequence: int, spread_over: int
    ) -> dict[str, int]:
        """Return the change of each counter, without the unchanged counters.

        Counters that come within the first turns after the sender was first heard are not new.
        """
        if self._baseline_until is None:
            self._baseline_until = sequence + LOST_TURNS * spread_over
        at_first = sequence <= self._baseline_until
        changes = {
            name: value - self.counters.get(name, value if at_first else 0)
            for name, value in received.items()
        }
        self.counters.update(received)
        return {name: change for name, change in changes.items() if change}
