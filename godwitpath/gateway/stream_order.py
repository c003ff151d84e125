"""Decides whether what an engine sends continues a caller's stream."""

from __future__ import annotations

from godwitpath.gateway.events import StreamEvent
from godwitpath.http1.messages import ResponseHead


class EventOutOfPlace(ValueError):
    """An event is not the next one of the stream."""


def continues_stream(first: ResponseHead, resumed: ResponseHead) -> bool:
    """Return whether a response may continue a stream, judged by its head.

    :param first: head of the response with which the caller's stream began
    """
    return resumed.status == first.status and _media_type(resumed) == _media_type(first)


def check_place(event: StreamEvent, last_event_id: int | None) -> None:
    """Check that an event is the next one of the stream.

    An engine that ignores where to resume sends events of another run: dropping those that the
    caller has would join two runs.

    :param last_event_id: id of the event before, None for the first one
    :raises EventOutOfPlace: it is not
    """
    if b"\r" in event.data:
        # Lines of events end without one; those of a head that was written into a body do not.
        raise EventOutOfPlace("event with a carriage return")
    if last_event_id is None or event.comment:
        return
    if event.event_id is None:
        raise EventOutOfPlace(f"event without an id after {last_event_id}")
    if event.event_id != last_event_id + 1:
        raise EventOutOfPlace(f"event {event.event_id} came after {last_event_id}")


def _media_type(head: ResponseHead) -> bytes:
    return head.header(b"content-type").partition(b";")[0].strip().lower()
