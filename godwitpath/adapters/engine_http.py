"""Model engines over HTTP: the OpenAI API with server-sent events, and engine-specific paths."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec

from godwitpath.adapters.engine_wire import (
    ATTEMPT_HEADER,
    REQUEST_HEADER,
    CacheEvents,
    CacheImportResult,
    CallExtension,
    Refusal,
    StreamEvent,
    generation_body,
)
from godwitpath.adapters.http_client import AnswerLost, HttpClient, HttpResponse, NotSent
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
MAX_RESPONSE_BYTES = 1_048_576
MAX_CACHE_BYTES = 1_073_741_824
REFUSED_STATUSES = (400, 404, 409, 413, 422, 429, 503)

R = TypeVar("R")


class EventParser:
    """Incremental parser of the server-sent events of one attempt.

    :ivar finished: whether the last event of the generation has been parsed
    :ivar foreign_events: number of dropped events of other attempts
    """

    def __init__(self, attempt_id: str) -> None:
        self.finished = False
        self.foreign_events = 0
        self._attempt_id = attempt_id
        self._buffer = b""
        self._expected_offset_tokens = -1
        self._decoder = msgspec.json.Decoder(StreamEvent)

    def feed(self, data: bytes) -> GenerationChunk | None:
        """Parse received bytes and return what they add to the generation, as one chunk.

        :returns: the chunk, None if the bytes complete no generation event of this attempt
        :raises ValueError: the data are not valid events of a generation
        """
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("event larger than the bound")
        chunks = [chunk for event in events if (chunk := self._parse_event(event)) is not None]
        return _join_chunks(chunks) if chunks else None

    def _parse_event(self, event: bytes) -> GenerationChunk | None:
        if self.finished or event.startswith(b":") or event == b"data: [DONE]":
            return None
        if not event.startswith(b"data: "):
            raise ValueError("not a server-sent event")
        decoded = self._decoder.decode(event[6:])
        extension = decoded.engine
        if extension.attempt_id != self._attempt_id:
            self.foreign_events += 1
            return None
        if extension.offset != self._expected_offset_tokens != -1:
            raise ValueError("event out of order")
        self._expected_offset_tokens = extension.offset + extension.tokens
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

    :param timeout_s: longest time of a call without a stream, and until the headers of a stream
        arrive
    :param idle_timeout_s: longest time without data within a stream
    :param connect_timeout_s: longest time to open a connection
    :ivar foreign_chunks: number of dropped events of other attempts
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
        path = "/v1/chat/completions" if call.is_chat else "/v1/completions"
        headers = [
            ("content-type", "application/json"),
            (ATTEMPT_HEADER, call.attempt_id),
            (REQUEST_HEADER, call.request_id),
        ]
        body = generation_body(call.body, call.model, extension)
        response = await self._open("POST", address, path, headers, body)
        async for chunk in self._chunks(response, address, call.attempt_id):
            yield chunk

    async def resume(
        self, address: Address, stream_id: str, attempt_id: str, after_tokens: int
    ) -> AsyncIterator[GenerationChunk]:
        path = f"/streams/{stream_id}?after={after_tokens}&attempt={attempt_id}"
        try:
            response = await self._open("GET", address, path, [], b"", new_connection=True)
        except EngineRefused as error:
            raise StreamUnknown(str(error)) from error
        async for chunk in self._chunks(response, address, attempt_id):
            yield chunk

    async def cancel(self, address: Address, stream_id: str) -> None:
        await self._call("POST", address, f"/streams/{stream_id}/cancel")

    async def load(self, address: Address) -> LoadReport:
        return _decode(await self._call("GET", address, "/load"), LoadReport)

    async def status(self, address: Address) -> EngineStatus:
        return _decode(await self._call("GET", address, "/status"), EngineStatus)

    async def cache_events(self, address: Address, after_sequence: int) -> list[CacheEvent]:
        body = await self._call("GET", address, f"/cache-events?after={after_sequence}")
        return _decode(body, CacheEvents).events

    async def export_cache(self, address: Address, stream_id: str) -> bytes:
        try:
            return await self._call(
                "GET", address, f"/streams/{stream_id}/cache", max_bytes=MAX_CACHE_BYTES
            )
        except EngineRefused as error:
            raise StreamUnknown(str(error)) from error

    async def import_cache(self, address: Address, cache: bytes) -> int:
        return _decode(await self._call("POST", address, "/cache", cache), CacheImportResult).tokens

    async def order(self, address: Address, order: EngineOrder) -> EngineStatus:
        body = msgspec.json.encode(order)
        return _decode(await self._call("POST", address, "/order", body), EngineStatus)

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()

    async def _chunks(
        self, response: HttpResponse, address: Address, attempt_id: str
    ) -> AsyncIterator[GenerationChunk]:
        parser = EventParser(attempt_id)
        try:
            while data := await response.read():
                # Events that arrive together are joined into one chunk.
                chunk = parser.feed(data)
                if chunk is not None:
                    yield chunk
        except (AnswerLost, ValueError, IndexError) as error:
            # The generation is complete after its last event, even if the connection failed.
            if not parser.finished:
                self._client.retire_connections(f"http://{address}/")
                raise EngineLost(f"stream broke: {error}") from error
        finally:
            self.foreign_chunks += parser.foreign_events
            response.close()
        if not parser.finished:
            raise EngineLost("stream ended without its last event")

    async def _open(
        self,
        method: str,
        address: Address,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        new_connection: bool = False,
    ) -> HttpResponse:
        try:
            response = await self._client.open(
                method,
                f"http://{address}{path}",
                headers,
                body,
                timeout_s=self._timeout_s,
                idle_timeout_s=self._idle_timeout_s,
                new_connection=new_connection,
            )
            if response.status == 200:
                return response
            _raise_refusal(response, await response.read_all(MAX_RESPONSE_BYTES))
        except NotSent as error:
            raise EngineRefused(str(error)) from error
        except AnswerLost as error:
            raise EngineLost(str(error)) from error
        raise EngineLost(f"the engine answered with status {response.status}")

    async def _call(
        self,
        method: str,
        address: Address,
        path: str,
        body: bytes = b"",
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> bytes:
        url = f"http://{address}{path}"
        try:
            response, response_body = await self._client.call(
                method, url, body=body, timeout_s=self._timeout_s, max_bytes=max_bytes
            )
        except NotSent as error:
            raise EngineRefused(str(error)) from error
        except AnswerLost as error:
            raise EngineLost(str(error)) from error
        if response.status != 200:
            _raise_refusal(response, response_body)
        return response_body


def _raise_refusal(response: HttpResponse, body: bytes) -> None:
    try:
        message = msgspec.json.decode(body, type=Refusal).error
    except msgspec.MsgspecError:
        message = f"status {response.status}"
    if response.status == 412:
        raise OrderFenced(message)
    if response.status in REFUSED_STATUSES:
        raise EngineRefused(message, response.retry_after_s)
    raise EngineLost(f"the engine answered with status {response.status}")


def _decode(body: bytes, result_type: type[R]) -> R:
    try:
        return msgspec.json.decode(body, type=result_type)
    except msgspec.MsgspecError as error:
        raise EngineLost(f"the engine sent garbage: {error}") from error


def _join_chunks(chunks: list[GenerationChunk]) -> GenerationChunk:
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
