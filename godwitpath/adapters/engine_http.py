"""Model engines over HTTP: the OpenAI form with server-sent events, and the engines' own paths."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec

from godwitpath.adapters.engine_wire import (
    ATTEMPT_HEADER,
    REQUEST_HEADER,
    CacheEvents,
    CallExtension,
    Imported,
    Refusal,
    StreamEvent,
    call_body,
)
from godwitpath.adapters.http_client import Answer, AnswerLost, HttpClient, NotSent
from godwitpath.ports.engine import (
    Address,
    CacheEvent,
    Engine,
    EngineLost,
    EngineOrder,
    EngineRefused,
    EngineStatus,
    GenerationCall,
    GenerationChunk,
    LoadReport,
    OrderFenced,
    StreamUnknown,
)

MAX_EVENT_BYTES = 1_048_576
MAX_ANSWER_BYTES = 1_048_576
MAX_CACHE_BYTES = 1_073_741_824
REFUSED_STATUSES = (400, 404, 409, 413, 422, 429, 503)

R = TypeVar("R")


class EventParser:
    """Parser of the server-sent events of one attempt.

    :ivar finished: whether the event that ends the generation was seen
    :ivar foreign: events of other attempts that were dropped
    """

    def __init__(self, attempt_id: str) -> None:
        self.finished = False
        self.foreign = 0
        self._attempt_id = attempt_id
        self._rest = b""
        self._next_offset = -1
        self._decoder = msgspec.json.Decoder(StreamEvent)

    def feed(self, data: bytes) -> GenerationChunk | None:
        """Return what the data add to the generation as one chunk, None for nothing.

        :raises ValueError: the data are not events of a generation
        """
        *events, self._rest = (self._rest + data).split(b"\n\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("event larger than the bound")
        chunks = [chunk for event in events if (chunk := self._chunk(event)) is not None]
        return _joined(chunks) if chunks else None

    def _chunk(self, event: bytes) -> GenerationChunk | None:
        if self.finished or event.startswith(b":") or event == b"data: [DONE]":
            return None
        if not event.startswith(b"data: "):
            raise ValueError("not a server-sent event")
        decoded = self._decoder.decode(event[6:])
        extension = decoded.engine
        if extension.attempt_id != self._attempt_id:
            self.foreign += 1
            return None
        if extension.offset != self._next_offset != -1:
            raise ValueError("event out of order")
        self._next_offset = extension.offset + extension.tokens
        choice = decoded.choices[0]
        self.finished = bool(choice.finish_reason)
        return GenerationChunk(
            attempt_id=extension.attempt_id,
            stream_id=decoded.id,
            offset=extension.offset,
            text=choice.delta.content if choice.delta else choice.text,
            tokens=extension.tokens,
            finish_reason=choice.finish_reason or "",
            prompt_tokens=extension.prompt_tokens,
            cached_tokens=extension.cached_tokens,
        )


class HttpEngine(Engine):
    """Client of the model engines.

    :param timeout_s: longest time of a short call, and until a stream begins
    :param idle_timeout_s: longest silence within a stream
    :ivar foreign_chunks: events of other attempts that were dropped
    """

    def __init__(
        self, timeout_s: float = 2.0, idle_timeout_s: float = 3.0, connect_timeout_s: float = 1.0
    ) -> None:
        self._client = HttpClient(connect_timeout_s)
        self._timeout_s = timeout_s
        self._idle_timeout_s = idle_timeout_s
        self.foreign_chunks = 0

    async def generate(
        self, address: Address, call: GenerationCall
    ) -> AsyncIterator[GenerationChunk]:
        extension = CallExtension(
            attempt_id=call.attempt_id,
            request_id=call.request_id,
            account=call.account,
            priority=call.priority,
            timeout_s=call.timeout_s,
            adapter=call.adapter,
            delivered_text=call.delivered_text,
            delivered_tokens=call.delivered_tokens,
        )
        path = "/v1/chat/completions" if call.chat else "/v1/completions"
        headers = [
            ("content-type", "application/json"),
            (ATTEMPT_HEADER, call.attempt_id),
            (REQUEST_HEADER, call.request_id),
        ]
        body = call_body(call.body, call.model, extension)
        answer = await self._open("POST", address, path, headers, body)
        async for chunk in self._chunks(answer, address, call.attempt_id):
            yield chunk

    async def resume(
        self, address: Address, stream_id: str, attempt_id: str, after_tokens: int
    ) -> AsyncIterator[GenerationChunk]:
        path = f"/streams/{stream_id}?after={after_tokens}&attempt={attempt_id}"
        try:
            answer = await self._open("GET", address, path, [], b"", fresh=True)
        except EngineRefused as error:
            raise StreamUnknown(str(error)) from error
        async for chunk in self._chunks(answer, address, attempt_id):
            yield chunk

    async def cancel(self, address: Address, stream_id: str) -> None:
        await self._call("POST", address, f"/streams/{stream_id}/cancel")

    async def load(self, address: Address) -> LoadReport:
        return _decoded(await self._call("GET", address, "/load"), LoadReport)

    async def status(self, address: Address) -> EngineStatus:
        return _decoded(await self._call("GET", address, "/status"), EngineStatus)

    async def cache_events(self, address: Address, after_sequence: int) -> list[CacheEvent]:
        body = await self._call("GET", address, f"/cache-events?after={after_sequence}")
        return _decoded(body, CacheEvents).events

    async def export_cache(self, address: Address, stream_id: str) -> bytes:
        try:
            return await self._call(
                "GET", address, f"/streams/{stream_id}/cache", max_bytes=MAX_CACHE_BYTES
            )
        except EngineRefused as error:
            raise StreamUnknown(str(error)) from error

    async def import_cache(self, address: Address, cache: bytes) -> int:
        return _decoded(await self._call("POST", address, "/cache", cache), Imported).tokens

    async def order(self, address: Address, order: EngineOrder) -> EngineStatus:
        body = msgspec.json.encode(order)
        return _decoded(await self._call("POST", address, "/order", body), EngineStatus)

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()

    async def _chunks(
        self, answer: Answer, address: Address, attempt_id: str
    ) -> AsyncIterator[GenerationChunk]:
        parser = EventParser(attempt_id)
        try:
            while data := await answer.read():
                # All events that arrived together make one chunk.
                chunk = parser.feed(data)
                if chunk is not None:
                    yield chunk
        except (AnswerLost, ValueError, IndexError) as error:
            # After the last event nothing is missing, whatever became of the connection.
            if not parser.finished:
                self._client.suspect(f"http://{address}/")
                raise EngineLost(f"stream broke: {error}") from error
        finally:
            self.foreign_chunks += parser.foreign
            answer.close()
        if not parser.finished:
            raise EngineLost("stream ended without its last event")

    async def _open(
        self,
        method: str,
        address: Address,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        fresh: bool = False,
    ) -> Answer:
        try:
            answer = await self._client.open(
                method,
                f"http://{address}{path}",
                headers,
                body,
                timeout_s=self._timeout_s,
                idle_timeout_s=self._idle_timeout_s,
                fresh=fresh,
            )
            if answer.status == 200:
                return answer
            _raise_refusal(answer, await answer.whole(MAX_ANSWER_BYTES))
        except NotSent as error:
            raise EngineRefused(str(error)) from error
        except AnswerLost as error:
            raise EngineLost(str(error)) from error
        raise EngineLost(f"the engine answered with status {answer.status}")

    async def _call(
        self,
        method: str,
        address: Address,
        path: str,
        body: bytes = b"",
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> bytes:
        url = f"http://{address}{path}"
        try:
            answer, content = await self._client.call(
                method, url, body=body, timeout_s=self._timeout_s, max_bytes=max_bytes
            )
        except NotSent as error:
            raise EngineRefused(str(error)) from error
        except AnswerLost as error:
            raise EngineLost(str(error)) from error
        if answer.status != 200:
            _raise_refusal(answer, content)
        return content


def _raise_refusal(answer: Answer, body: bytes) -> None:
    try:
        message = msgspec.json.decode(body, type=Refusal).error
    except msgspec.MsgspecError:
        message = f"status {answer.status}"
    if answer.status == 412:
        raise OrderFenced(message)
    if answer.status in REFUSED_STATUSES:
        raise EngineRefused(message, answer.retry_after_s)
    raise EngineLost(f"the engine answered with status {answer.status}")


def _decoded(body: bytes, kind: type[R]) -> R:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise EngineLost(f"the engine sent garbage: {error}") from error


def _joined(chunks: list[GenerationChunk]) -> GenerationChunk:
    if len(chunks) == 1:
        return chunks[0]
    first, last = chunks[0], chunks[-1]
    return GenerationChunk(
        attempt_id=first.attempt_id,
        stream_id=first.stream_id,
        offset=first.offset,
        text="".join(chunk.text for chunk in chunks),
        tokens=sum(chunk.tokens for chunk in chunks),
        finish_reason=last.finish_reason,
        prompt_tokens=last.prompt_tokens,
        cached_tokens=max(chunk.cached_tokens for chunk in chunks),
    )
