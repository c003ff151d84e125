"""Splits an event stream into whole events, so that none is passed on by half."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENT_BYTES = 1_048_576
"""Largest event; a stream with a larger one is no event stream."""


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """One event.

    :ivar event_id: its number, None without one
    :ivar data: its bytes, the empty line that ends it included
    """

    event_id: int | None
    data: bytes


class EventTooLong(ValueError):
    """An event without an end."""


class EventSplitter:
    """Takes the bytes of a stream in pieces and yields its events.

    :ivar rest: bytes of an event that has not ended
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that a piece completes.

        :raises EventTooLong: an event does not end
        """
        events = []
        buffer = self.rest + data
        start = 0
        while (end := buffer.find(b"\n\n", start)) >= 0:
            raw = buffer[start : end + 2]
            events.append(StreamEvent(_event_id(raw), raw))
            start = end + 2
        self.rest = buffer[start:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLong(f"event longer than {MAX_EVENT_BYTES} bytes")
        return events


def _event_id(raw: bytes) -> int | None:
    for line in raw.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
