"""Encodes generation responses for the OpenAI API: complete bodies and server-sent events."""

from __future__ import annotations

import msgspec

from godwitpath.entry.position import Position
from godwitpath.records.record import Outcome, RecordRef

_encode_json = msgspec.json.Encoder().encode

DONE_EVENT = b"data: [DONE]\n\n"
"""Final event of a successful stream."""


class EventWriter:
    """Encodes the events of one stream; the fields that all events share are encoded once.

    The event id is the caller's position after the event.

    :param ref: reference to the record of the request
    :param created: creation time of the response, Unix time in seconds
    :param include_usage: whether the stream ends with a chunk of token counts
    """

    __slots__ = ("_chat", "_chunk_start", "_include_usage", "_request_id")

    def __init__(self, ref: RecordRef, created: int, include_usage: bool) -> None:
        self._chat = ref.kind == "chat"
        self._request_id = ref.request_id
        self._include_usage = include_usage
        object_type = "chat.completion.chunk" if self._chat else "text_completion"
        self._chunk_start = b'data: {"id":%s,"object":"%s","created":%d,"model":%s,"choices":[' % (
            _encode_json(ref.request_id),
            object_type.encode(),
            created,
            _encode_json(ref.service),
        )

    def text(self, text: str, after: Position) -> bytes:
        """Return the event of a piece of text.

        :param after: position of the caller after the event
        """
        event_id = f"id: {after.event_id(self._request_id)}\n".encode()
        choice = b'{"index":0,"delta":{"content":%s},"finish_reason":null}]}\n\n'
        if not self._chat:
            choice = b'{"index":0,"text":%s,"finish_reason":null}]}\n\n'
        return event_id + self._chunk_start + choice % _encode_json(text)

    def end(self, outcome: Outcome, position: Position) -> bytes:
        """Return the events that end a stream."""
        content = b'"delta":{}' if self._chat else b'"text":""'
        reason = _encode_json(outcome.finish_reason or "stop")
        event_id = f"id: {position.event_id(self._request_id)}\n".encode()
        last_chunk = self._chunk_start + b'{"index":0,%s,"finish_reason":%s}]}\n\n' % (
            content,
            reason,
        )
        if not self._include_usage:
            return event_id + last_chunk + DONE_EVENT
        usage_chunk = self._chunk_start + b'],"usage":%s}\n\n' % _encode_json(
            usage_of(outcome, position.tokens)
        )
        return event_id + last_chunk + usage_chunk + DONE_EVENT

    def error(self, body: bytes) -> bytes:
        """Return the event that reports an error after a stream has started."""
        return b"event: error\ndata: " + body + b"\n\n"


def usage_of(outcome: Outcome, tokens: int) -> dict[str, object]:
    """Return the token counts of a response as the `usage` object of the OpenAI API."""
    return {
        "prompt_tokens": outcome.prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": outcome.prompt_tokens + tokens,
        "prompt_tokens_details": {"cached_tokens": outcome.cached_tokens},
    }


def complete_body(ref: RecordRef, outcome: Outcome, text: str, tokens: int, created: int) -> bytes:
    """Return the body of a response that is not streamed."""
    chat = ref.kind == "chat"
    choice: dict[str, object] = {"index": 0, "finish_reason": outcome.finish_reason or "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return _encode_json(
        {
            "id": ref.request_id,
            "object": "chat.completion" if chat else "text_completion",
            "created": created,
            "model": ref.service,
            "choices": [choice],
            "usage": usage_of(outcome, tokens),
        }
    )
