"""The requests under which an engine crashed, as they are reported: a slice at a time."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from godwitpath.gateway.quarantine_report import Subjects


def text_bytes(text: str) -> int:
    """Return the size of a text in MessagePack."""
    size_bytes = len(text.encode())
    for limit, header_bytes in ((32, 1), (256, 2), (65_536, 3)):
        if size_bytes < limit:
            return size_bytes + header_bytes
    return size_bytes + 5


def that_fit(texts: Iterable[str], room: int) -> Iterator[str]:
    """Yield the first texts that have room together."""
    for each in texts:
        room -= text_bytes(each)
        if room < 0:
            return
        yield each


@dataclass(slots=True)
class ReportedRow:
    """What is to be reported of a request under which an engine crashed.

    :ivar parts: its parts, the most suspect first
    :ivar key: its fingerprint, if it has one
    :ivar needed: number of the most suspect parts
    :ivar cursor: number of the parts that the reports of this round have had
    :ivar rounds: number of times that it was reported as a whole
    :ivar reported_in: number of the last report with it
    """

    parts: Subjects
    key: Subjects
    needed: int
    cursor: int = 0
    rounds: int = 0
    reported_in: int = 0

    def next_slice(self, room: int) -> tuple[Subjects, int] | None:
        """Return the next parts that have room, with the number that the request needs.

        The most suspect parts, and the others, are in slices of their own unless all of the former
        have room: the request counts as soon as they are known. None if there is no room for a
        part. Slices of a request without a fingerprint cannot be united, and need nothing more.
        """
        fitting = tuple(that_fit(self.parts[self.cursor :], room))
        if self.parts and not fitting:
            return None
        end = self.cursor + len(fitting)
        if self.cursor < self.needed:
            needed = self.needed if self.cursor or end < self.needed else 0
            if needed:
                end = min(end, self.needed)
        else:
            needed = len(self.parts)
        slice_ = self.parts[self.cursor : end]
        self.cursor = end
        if end == len(self.parts):
            self.cursor = 0
            self.rounds += 1
        return slice_, needed if self.key else 0
