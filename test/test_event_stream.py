"""Guards against streams without an error event when the response cannot be continued."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import pytest

from godwitpath.entry.delivery import EventStream
from godwitpath.entry.position import Position
from godwitpath.records.reader import RecordLost
from godwitpath.records.record import OffsetUnknown, Piece, RecordRef, TextSeen


@pytest.mark.parametrize(
    ("error", "ran"), [(OffsetUnknown("differs"), "yes"), (RecordLost("nobody"), "unknown")]
)
async def test_failed_record_read_ends_the_stream_with_an_error_event(
    error: Exception, ran: str
) -> None:
    async def follow(
        ref: RecordRef, after_tokens: int, seen: TextSeen | None
    ) -> AsyncIterator[list[Piece]]:
        yield [Piece(0, "word ", 1)]
        raise error

    async def receive() -> Any:
        await asyncio.sleep(60)

    sent: list[Any] = []

    async def send(message: Any) -> None:
        sent.append(message)

    context: Any = SimpleNamespace(records=SimpleNamespace(follow=follow))
    stream = EventStream(
        context, RecordRef("a", "req-1", "e1"), Position(), False, lambda ref: None
    )
    await stream({"type": "http"}, receive, send)
    body = b"".join(message.get("body", b"") for message in sent)
    assert body.count(b"event: error") == 1
    assert f'"ran":"{ran}"'.encode() in body
    assert sent[-1]["more_body"] is False
