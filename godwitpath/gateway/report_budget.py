"""Decides what the datagrams of a report have, so that each of them fits into a packet.

Sections that other daemons have to know are sent in several pieces if they do not fit into one, and
over several reports if these do not suffice; their items then take turns. Sections that only make
placement better get the room that is left. The decision uses neither network nor clock; the design
is in `docs/design/peer-messages.md`.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Generic

import msgspec

from godwitpath.gateway.peer_messages import DIGEST_BYTES
from godwitpath.gateway.report_sections import (
    NESTED_BYTES,
    Item,
    Message,
    hearing_items,
    load_items,
    prompt_items,
    quarantine_items,
    state_items,
    with_items,
    without_items,
)

MAX_DATAGRAM_BYTES = 1_400
"""Largest size of a datagram with its digest: a packet of 1,500 bytes without the headers of IP and
UDP and of a tunnel, so that no packet has to be split."""

MAX_WHOLE_BYTES = 60_000
"""Largest size of a message to a build that takes no pieces: UDP carries 65,507 bytes."""

QUARANTINE_BYTES = 900
"""Room for what is reported of crashes and quarantine, which a datagram has beside its head."""

SMALL_QUARANTINE_BYTES = 400
"""The same where a report may have one datagram only, which also says whom the sender hears."""

MAX_PIECES = 4
"""Largest number of datagrams of one report to one daemon."""

MAX_BYTES_PER_S = 625_000
"""Bytes per second of a daemon's reports: half of the smallest daemon's link of 10 Mbit/s."""

MIN_ITEM_BYTES = 6
"""Size up to which the room in a datagram counts as none."""

LENGTHS_BYTES = 48
"""Room for the lengths of the sections, two bytes each more than those of empty ones, and for the
numbers that differ between pieces."""

SizedItem = tuple[Item, int]
"""An item and its encoded size in bytes."""

_encode = msgspec.msgpack.Encoder().encode


def quarantine_bytes(max_pieces: int) -> int:
    """Return the room for what is reported of crashes and quarantine.

    :param max_pieces: number of datagrams that the report may have
    """
    return QUARANTINE_BYTES if max_pieces > 1 else SMALL_QUARANTINE_BYTES


def pieces_allowed(recipients: int, elapsed_s: float) -> int:
    """Return how many datagrams a report may have, at least one.

    :param recipients: number of daemons that get each of them
    :param elapsed_s: time since the report before
    """
    each_bytes = MAX_DATAGRAM_BYTES * max(1, recipients)
    return max(1, min(MAX_PIECES, int(MAX_BYTES_PER_S * elapsed_s / each_bytes)))


@dataclass(slots=True)
class _Piece:
    """Items of one datagram, and the bytes that are left in it."""

    room_bytes: int
    items: list[Item] = field(default_factory=list)
    parents: set[tuple[str, Hashable]] = field(default_factory=set)

    def take(self, item: Item, size_bytes: int) -> bool:
        """Add an item if there is room."""
        parent = (item.section, item.parent)
        if item.parent is not None and parent not in self.parents:
            size_bytes += NESTED_BYTES
        if size_bytes > self.room_bytes:
            return False
        self.room_bytes -= size_bytes
        self.items.append(item)
        if item.parent is not None:
            self.parents.add(parent)
        return True


class _Pieces:
    """The datagrams of one report while they are filled."""

    __slots__ = ("_max_pieces", "_room_bytes", "pieces")

    def __init__(self, room_bytes: int, max_pieces: int) -> None:
        self._room_bytes = room_bytes
        self._max_pieces = max_pieces
        self.pieces = [_Piece(room_bytes)]

    @property
    def full(self) -> bool:
        """Whether no item fits any more."""
        return len(self.pieces) >= self._max_pieces and all(
            piece.room_bytes < MIN_ITEM_BYTES for piece in self.pieces
        )

    def place(self, item: Item, size_bytes: int, *, open_more: bool) -> bool:
        """Add an item to the first datagram with room; returns whether there was one.

        :param open_more: whether a further datagram may be begun for it
        """
        for piece in self.pieces:
            if size_bytes <= piece.room_bytes and piece.take(item, size_bytes):
                return True
        if not open_more or len(self.pieces) >= self._max_pieces:
            return False
        piece = _Piece(self._room_bytes)
        if not piece.take(item, size_bytes):
            return False
        self.pieces.append(piece)
        return True


class ReportPacker(Generic[Message]):
    """Fills the datagrams of the successive reports, or summaries, of one daemon.

    :ivar left_out: number of items that were not in a report, by section; of sections that take
        turns, they were in a later one
    """

    def __init__(self) -> None:
        self.left_out: Counter[str] = Counter()
        self._reports = 0
        # Number of the report that last contained each item, of the items of the last report.
        self._sent_in: dict[tuple[str, Hashable], int] = {}

    def pieces(self, message: Message, max_pieces: int) -> list[Message]:
        """Return the messages to send in place of one, each of which fits into a datagram.

        :param message: the message with all sections, which may be of any size
        """
        self._reports += 1
        empty = without_items(message)
        base_bytes = DIGEST_BYTES + len(_encode(empty)) + LENGTHS_BYTES
        pieces = _Pieces(MAX_DATAGRAM_BYTES - base_bytes, max_pieces)
        self._fill_hearing(pieces, list(hearing_items(message)), max_pieces)
        waiting_quarantine = self._fill(pieces, _sized(quarantine_items(message)))
        state = _sized(self._by_turn(state_items(message)))
        loads = _sized(self._by_turn(load_items(message)))
        waiting = self._fill(pieces, [*state, *loads])
        self.left_out.update(item.section for item, _ in (*waiting, *waiting_quarantine))
        prompts = self._by_turn(prompt_items(message))
        self._fill_rest(pieces, prompts)
        self._forget_all_but(prompts, (item for item, _ in (*state, *loads)))
        spread_over = _spread_over(_total_bytes([*state, *loads]), _total_bytes(waiting))
        return list(_assemble(empty, pieces.pieces, spread_over))

    def whole(self, message: Message) -> Message:
        """Return the message for a build that takes no pieces, whose sections must be complete.

        What does not fit is left out by whole sections, of prompts by items.
        """
        empty = without_items(message)
        piece = _Piece(MAX_WHOLE_BYTES - DIGEST_BYTES - len(_encode(empty)) - LENGTHS_BYTES)
        sections: dict[str, list[Item]] = {}
        for item in (*hearing_items(message), *state_items(message), *load_items(message)):
            sections.setdefault(item.section, []).append(item)
        for section, items in sections.items():
            size_bytes = sum(each.size_bytes() + NESTED_BYTES for each in items)
            if size_bytes <= piece.room_bytes:
                piece.items.extend(items)
                piece.room_bytes -= size_bytes
            else:
                self.left_out[section] += len(items)
        for item in quarantine_items(message):
            if not piece.take(item, item.size_bytes()):
                self.left_out[item.section] += 1
        piece.room_bytes -= MAX_WHOLE_BYTES - MAX_DATAGRAM_BYTES
        for item in prompt_items(message):
            if not piece.take(item, item.size_bytes()):
                self.left_out[item.section] += 1
        return with_items(empty, piece.items)

    def _by_turn(self, items: Iterable[Item]) -> list[Item]:
        """Return items, those first that were sent the longest time ago, or never."""
        return sorted(items, key=lambda item: self._sent_in.get((item.section, item.key), 0))

    def _fill(self, pieces: _Pieces, items: Iterable[SizedItem]) -> list[SizedItem]:
        """Place items; returns those for which there is no room."""
        waiting = []
        remaining = iter(items)
        for item, size_bytes in remaining:
            if pieces.place(item, size_bytes, open_more=True):
                self._sent_in[(item.section, item.key)] = self._reports
                continue
            waiting.append((item, size_bytes))
            if pieces.full:
                waiting.extend(remaining)
        return waiting

    def _fill_hearing(self, pieces: _Pieces, items: list[Item], max_pieces: int) -> None:
        """Place whom the sender hears in the first datagram; it never takes turns.

        Half of the room is left for other items where the report has no further datagram.
        """
        reserved_bytes = pieces.pieces[0].room_bytes // 2 if max_pieces == 1 else 0
        pieces.pieces[0].room_bytes -= reserved_bytes
        self._fill_rest(pieces, items)
        pieces.pieces[0].room_bytes += reserved_bytes

    def _fill_rest(self, pieces: _Pieces, items: list[Item]) -> None:
        """Place items in begun datagrams until one does not fit."""
        for index, item in enumerate(items):
            if not pieces.place(item, item.size_bytes(), open_more=False):
                self.left_out[item.section] += len(items) - index
                return
            self._sent_in[(item.section, item.key)] = self._reports

    def _forget_all_but(self, *groups: Iterable[Item]) -> None:
        present = {(item.section, item.key) for group in groups for item in group}
        self._sent_in = {key: at for key, at in self._sent_in.items() if key in present}


def _sized(items: Iterable[Item]) -> list[SizedItem]:
    return [(item, item.size_bytes()) for item in items]


def _total_bytes(items: Iterable[SizedItem]) -> int:
    return sum(size_bytes for _, size_bytes in items)


def _spread_over(total_bytes: int, waiting_bytes: int) -> int:
    """Return over how many reports items are spread that take turns, 1 if none is waiting."""
    return math.ceil(total_bytes / max(1, total_bytes - waiting_bytes))


def _assemble(empty: Message, pieces: list[_Piece], spread_over: int) -> Iterator[Message]:
    """Yield the message of each datagram."""
    lasting = ("quarantine", "prompts")
    whole = spread_over == 1 and all(
        item.section in lasting for piece in pieces[1:] for item in piece.items
    )
    for number, piece in enumerate(pieces):
        yield with_items(
            empty,
            piece.items,
            piece=number,
            spread_over=0 if whole and number == 0 else spread_over,
        )
