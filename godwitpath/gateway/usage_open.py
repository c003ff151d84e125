"""Counts of the usage windows that are not pinned yet: those received, and those of the store.

The duty holder writes them to the store every second, so that they survive the loss of all daemons.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

import msgspec

from godwitpath.gateway.usage_store import CountsByIncarnation, merge_counts


class OpenCounts:
    """Merges the counts that daemons report with those that the store has kept.

    :param received: returns the request counts of all daemons, as far as this daemon received them
    """

    __slots__ = ("_received", "_stored")

    def __init__(self, received: Callable[[], CountsByIncarnation]) -> None:
        self._received = received
        self._stored: CountsByIncarnation = {}

    def merge_stored(self, counts: CountsByIncarnation) -> None:
        """Add the counts that were read from the store."""
        merge_counts(self._stored, counts)

    def encode(self, first_window: int) -> bytes:
        """Return the counts to be stored, from a window on."""
        merge_counts(self._stored, self._received())
        kept = {
            incarnation: {key: value for key, value in windows.items() if key >= first_window}
            for incarnation, windows in self._stored.items()
        }
        self._stored = {incarnation: windows for incarnation, windows in kept.items() if windows}
        return msgspec.msgpack.encode(self._stored)

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of a window by account, summed over all incarnations of all daemons.

        For each incarnation, the larger of the received and the stored counts is used.
        """
        received = self._received()
        total: Counter[str] = Counter()
        for incarnation in received.keys() | self._stored.keys():
            nothing: Mapping[int, dict[str, int]] = {}
            received_counts = received.get(incarnation, nothing).get(window, {})
            stored_counts = self._stored.get(incarnation, nothing).get(window, {})
            total.update(
                max(received_counts, stored_counts, key=lambda counts: sum(counts.values()))
            )
        return dict(total)
