"""Splits an event stream into whole events, so that no partial event is forwarded.

Comments before the first event of a run are held back, so that a run that is lost before it leaves
nothing at its caller, and the response may still become an error.
"""

from __future__ import annotations

from dataclasses import dataclass

from godwitpath.decoding import parse_whole
from godwitpath.http1.response_limits import ResponseLimitExceeded

MAX_EVENT_BYTES = 1_048_576
"""Maximum size of an event; a stream with a larger event is treated as malformed."""

MAX_COMMENTS = 1_024
"""Maximum number of comments in a row: an engine that keeps its connection open with one a second
may be silent for 17 minutes."""


@dataclass(slots=True)
class StreamEvent:
    """One event of a stream.

    :ivar event_id: value of the event's `id` field, None if the field is missing or not a number
    :ivar data: raw bytes of the event, including the empty line that ends it
    :ivar comment: whether it holds nothing but comments and empty lines
    """

    event_id: int | None
    data: bytes
    comment: bool


class EventSplitter:
    """Splits the chunks of a stream into events.

    :ivar incomplete: bytes received so far of an event whose end is still missing
    """

    def __init__(self) -> None:
        self.incomplete = bytearray()
        # Number of bytes of the incomplete event in which no end begins.
        self._searched_bytes = 0
        self._comments = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add a chunk of the stream and return the events that are now complete.

        :raises ResponseLimitExceeded: the incomplete event is too long, or too many comments follow
            one another
        """
        events = []
        buffer = self.incomplete
        buffer += data
        start, search_from = 0, self._searched_bytes
        while (end := buffer.find(b"\n\n", search_from)) >= 0:
            events.append(self._event(bytes(buffer[start : end + 2])))
            start = search_from = end + 2
        del buffer[:start]
        # The last byte may be the first one of the end.
        self._searched_bytes = max(0, len(buffer) - 1)
        if len(buffer) > MAX_EVENT_BYTES:
            raise ResponseLimitExceeded("event bytes", len(buffer))
        return events

    def _event(self, raw: bytes) -> StreamEvent:
        event_id = None
        # A comment of one line, as engines keep connections open with, needs no search for fields.
        comment = raw.startswith(b":") and raw.find(b"\n") == len(raw) - 2
        if not comment:
            lines = raw.split(b"\n")
            event_id = _event_id(lines)
            comment = event_id is None and _is_comment(lines)
        self._comments = self._comments + 1 if comment else 0
        if self._comments > MAX_COMMENTS:
            raise ResponseLimitExceeded("comments in a row", self._comments)
        return StreamEvent(event_id, raw, comment)


class LeadingComments:
    """Comments that a run's response has before its first event.

    :ivar size_bytes: size of those that are held back
    """

    __slots__ = ("_first_event_seen", "_held", "size_bytes")

    def __init__(self) -> None:
        self.size_bytes = 0
        self._held: list[bytes] = []
        self._first_event_seen = False

    def pass_on(self, events: list[StreamEvent]) -> bytes:
        """Return what may be forwarded once some events were received.

        :raises ResponseLimitExceeded: more than :data:`MAX_EVENT_BYTES` would be held back
        """
        if not self._first_event_seen:
            self._first_event_seen = any(not event.comment for event in events)
        self._held += [event.data for event in events]
        if self._first_event_seen:
            return self.release()
        self.size_bytes += sum(len(event.data) for event in events)
        if self.size_bytes > MAX_EVENT_BYTES:
            raise ResponseLimitExceeded("comment bytes", self.size_bytes)
        return b""

    def release(self) -> bytes:
        """Return what is held back, as the response has ended or its first event has come."""
        data = b"".join(self._held)
        self._held.clear()
        self.size_bytes = 0
        return data


def _is_comment(lines: list[bytes]) -> bool:
    return all(line.startswith(b":") for line in lines if line)


def _event_id(lines: list[bytes]) -> int | None:
    for line in lines:
        if line.startswith(b"id:"):
            return parse_whole(line[3:].strip())
    return None
