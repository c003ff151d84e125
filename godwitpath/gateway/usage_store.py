"""What the store holds about usage reports: the last pinned window, and counts of open windows."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from godwitpath.decoding import Decoder, Unreadable, decode
from godwitpath.gateway.store import Item, ItemUnreadable, Precondition
from godwitpath.telemetry.decisions import decision

T = TypeVar("T")

USAGE_PREFIX = "usage-report/"
"""Prefix of the store keys about usage reports. It is outside the prefix that all daemons watch,
because the daemons need no update for each report."""

PIN_KEY = USAGE_PREFIX + "last"
"""Store key of the last pinned window."""

OPEN_KEY = USAGE_PREFIX + "open"
"""Store key of the counts of open windows."""

TERM_KEY = USAGE_PREFIX + "term"
"""Store key of the last :class:`TermState`."""

CountsByIncarnation = dict[str, dict[int, dict[str, int]]]
"""Number of requests by incarnation of a daemon, window and account."""


class PinnedWindow(msgspec.Struct):
    """A usage window with its final counts.

    :ivar window: number of the window
    :ivar counts: number of requests that started to run in the window, by account
    :ivar earlier: final counts of earlier windows whose reports may not have been accepted, by
        window; builds that do not know them do not report these windows
    """

    window: int
    counts: dict[str, int]
    earlier: dict[int, dict[str, int]] = {}

    def all_counts(self) -> dict[int, dict[str, int]]:
        """Return the final counts by window."""
        return {**self.earlier, self.window: self.counts}


class TermState(msgspec.Struct):
    """A holder's statement of how far the usage reports were in its term.

    :ivar token: fencing token of the term
    :ivar next_window: first window that nobody had pinned
    :ivar pin_is_final: whether the stored pin has the counts that were reported, or will be
    """

    token: int
    next_window: int
    pin_is_final: bool


@dataclass(slots=True, frozen=True)
class StoredUsage:
    """What the store holds about usage reports.

    :ivar pinned: the last pinned window, None for none
    :ivar term: the last holder's statement, None for none
    :ivar open_counts: counts of open windows
    :ivar readable: whether pin and statement could be read and decoded
    """

    pinned: PinnedWindow | None = None
    term: TermState | None = None
    open_counts: CountsByIncarnation = field(default_factory=dict)
    readable: bool = True


_PIN = msgspec.json.Decoder(PinnedWindow)
_TERM = msgspec.json.Decoder(TermState)
_OPEN_COUNTS = msgspec.msgpack.Decoder(CountsByIncarnation)


def read_stored(
    items: Mapping[str, Item], unreadable: Mapping[str, ItemUnreadable] | None = None
) -> StoredUsage:
    """Decode the items of the store about usage reports; unreadable ones are logged.

    :param items: items by key
    :param unreadable: why others cannot be read, by key
    """
    unreadable = unreadable or {}
    for key, error in unreadable.items():
        decision("usage_state_unreadable", key=key, reason=str(error))
    pinned, pin_readable = _read(items.get(PIN_KEY), _PIN)
    term, term_readable = _read(items.get(TERM_KEY), _TERM)
    open_counts, _ = _read(items.get(OPEN_KEY), _OPEN_COUNTS)
    readable = pin_readable and term_readable and not unreadable.keys() & {PIN_KEY, TERM_KEY}
    return StoredUsage(pinned, term, open_counts or {}, readable)


def pin_condition(
    items: Mapping[str, Item], unreadable: Mapping[str, ItemUnreadable]
) -> Precondition:
    """Return a condition of the next pin that ends with it, so that a late one is not applied.

    A pin is written with its statement, so the revision of either serves.

    :param items: items by key
    :param unreadable: why others cannot be read, by key
    :raises ItemUnreadable: neither revision can be read
    """
    for key in (PIN_KEY, TERM_KEY):
        error, item = unreadable.get(key), items.get(key)
        if error is None:
            return Precondition(key, item.revision if item is not None else 0)
        if error.revision:
            return Precondition(key, error.revision)
    raise unreadable[PIN_KEY]


def merge_counts(counts: CountsByIncarnation, others: CountsByIncarnation) -> None:
    """Add counts, of which the larger ones are the later ones of an incarnation and window."""
    for incarnation, windows in others.items():
        kept = counts.setdefault(incarnation, {})
        for window, by_account in windows.items():
            if sum(by_account.values()) >= sum(kept.get(window, {}).values()):
                kept[window] = dict(by_account)


def _read(item: Item | None, decoder: Decoder[T]) -> tuple[T | None, bool]:
    """Decode an item; returns its content, and whether it is absent or could be decoded."""
    if item is None:
        return None, True
    try:
        return decode(decoder, item.value), True
    except Unreadable as error:
        decision("usage_state_unreadable", key=item.key, reason=str(error))
        return None, False
