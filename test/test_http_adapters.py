"""The adapters against servers that cut, mix up, delay and garble their answers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from godwitpath.adapters.engine_http import HttpEngine
from godwitpath.adapters.http_client import AnswerLost, HttpClient, NotSent
from godwitpath.adapters.kv_http import HttpKeyValueStore
from godwitpath.adapters.service_http import HttpPlainService
from godwitpath.ports.engine import (
    Address,
    EngineLost,
    EngineRefused,
    GenerationCall,
    GenerationChunk,
)
from godwitpath.ports.kv import ABSENT, StoreRefused, StoreUncertain
from godwitpath.ports.service import ServiceCall, ServiceNotSent, ServiceUncertain
from test.raw_server import Exchange, raw_server

CLOSED_PORT = Address("127.0.0.1", 1)


def service_call(path: str = "/b", method: str = "PUT", fresh: bool = False) -> ServiceCall:
    headers = [("content-type", "text/plain")]
    return ServiceCall(method, path, headers, b"x", "r", "attempt", 2.0, "k", fresh)


def generation() -> GenerationCall:
    return GenerationCall("r", "own", "account", "m", {"messages": []}, True)


def event(text: str, offset: int, attempt: str = "own", finish: str = "") -> bytes:
    reason = f'"{finish}"' if finish else "null"
    choice = f'{{"delta":{{"content":"{text}"}},"finish_reason":{reason}}}'
    extension = f'{{"attempt_id":"{attempt}","offset":{offset},"tokens":1}}'
    return f'data: {{"id":"s","choices":[{choice}],"engine":{extension}}}\n\n'.encode()


@pytest.fixture
async def service() -> AsyncIterator[HttpPlainService]:
    adapter = HttpPlainService()
    yield adapter
    await adapter.close()


@pytest.fixture
async def engine() -> AsyncIterator[HttpEngine]:
    adapter = HttpEngine(timeout_s=2.0, idle_timeout_s=0.3)
    yield adapter
    await adapter.close()


async def test_late_answer_on_a_pooled_connection_never_reaches_the_next_call() -> None:
    """The library alone puts a connection back whose exchange timed out."""

    async def handle(exchange: Exchange) -> None:
        if exchange.number == 2:
            await asyncio.sleep(0.4)
        exchange.answer(b"%d" % exchange.number)

    client = HttpClient()
    async with raw_server(handle) as server:
        _, first = await client.call("POST", server.url + "/1", timeout_s=2, max_bytes=99)
        with pytest.raises(AnswerLost):
            await client.call("POST", server.url + "/2", timeout_s=0.1, max_bytes=99)
        _, third = await client.call("POST", server.url + "/3", timeout_s=2, max_bytes=99)
        assert (first, third) == (b"1", b"3")
    await client.close()


async def test_bytes_left_on_a_pooled_connection_make_it_unfit() -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.answer(b"own")
        if exchange.number == 1:
            exchange.answer(b"stray")

    client = HttpClient()
    async with raw_server(handle) as server:
        for _ in range(2):
            _, body = await client.call("POST", server.url + "/", timeout_s=2, max_bytes=99)
            await asyncio.sleep(0.05)
            assert body == b"own"
        assert server.connections == 2
    await client.close()


@pytest.mark.parametrize("method", ["PUT", "POST", "DELETE", "GET"])
async def test_a_call_is_never_repeated_when_a_pooled_connection_drops(
    service: HttpPlainService, method: str
) -> None:
    """The library alone sends PUT, DELETE and GET again."""

    async def handle(exchange: Exchange) -> None:
        if exchange.number == 1:
            exchange.answer(b"ok")
        else:
            exchange.writer.close()

    async with raw_server(handle) as server:
        await service.call(server.address, service_call(method=method))
        with pytest.raises(ServiceUncertain):
            await service.call(server.address, service_call(method=method))
        assert len(server.requests) == 2


async def test_a_connection_closed_while_idle_is_not_used_again(service: HttpPlainService) -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.answer(b"ok")
        exchange.writer.close()

    async with raw_server(handle) as server:
        for _ in range(3):
            assert (await service.call(server.address, service_call())).body == b"ok"
            await asyncio.sleep(0.05)


async def test_a_fresh_connection_is_a_new_one(service: HttpPlainService) -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.answer(b"ok")

    async with raw_server(handle) as server:
        for _ in range(3):
            await service.call(server.address, service_call(fresh=True))
        assert server.connections == 3


@pytest.mark.parametrize("path", ["/a b", "/a\r\nX: y", "no-slash", "/a#b", "/é"])
async def test_a_path_that_would_break_the_request_is_not_sent(
    service: HttpPlainService, path: str
) -> None:
    with pytest.raises(ServiceNotSent):
        await service.call(CLOSED_PORT, service_call(path))


async def test_refused_connections_mean_not_sent(
    service: HttpPlainService, engine: HttpEngine
) -> None:
    with pytest.raises(ServiceNotSent):
        await service.call(CLOSED_PORT, service_call())
    with pytest.raises(EngineRefused):
        await anext(engine.generate(CLOSED_PORT, generation()))
    store = HttpKeyValueStore(f"http://{CLOSED_PORT}")
    with pytest.raises(StoreRefused):
        await store.put("k", b"", ABSENT)
    await store.close()


BROKEN_ANSWERS = [
    b"",
    b"garbage\r\n\r\n",
    b"\x16\x03\x00\xff\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Le",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nabc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcdefgh\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
    b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 30_000,
]


@pytest.mark.parametrize("number", range(len(BROKEN_ANSWERS)))
async def test_a_broken_answer_is_uncertain(service: HttpPlainService, number: int) -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.writer.write(BROKEN_ANSWERS[number])
        await exchange.writer.drain()
        exchange.writer.close()

    store = None
    async with raw_server(handle) as server:
        with pytest.raises(ServiceUncertain):
            await service.call(server.address, service_call())
        store = HttpKeyValueStore(server.url)
        with pytest.raises(StoreUncertain):
            await store.put("k", b"", ABSENT)
        with pytest.raises(StoreRefused):
            await store.get("k")
        await store.close()
        assert len(server.requests) == 3


async def test_an_oversized_answer_is_cut_off() -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.answer(bytes(100_000))

    adapter = HttpPlainService(max_answer_bytes=10_000)
    async with raw_server(handle) as server:
        with pytest.raises(ServiceUncertain):
            await adapter.call(server.address, service_call())
    await adapter.close()


async def test_an_answer_of_another_attempt_is_dropped(service: HttpPlainService) -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.answer(b"theirs", extra=b"X-Attempt-Id: other\r\n")

    async with raw_server(handle) as server:
        with pytest.raises(ServiceUncertain):
            await service.call(server.address, service_call())
    assert service.foreign_answers == 1


async def collect(chunks: AsyncIterator[GenerationChunk]) -> list[GenerationChunk]:
    return [chunk async for chunk in chunks]


async def test_events_that_arrive_together_make_one_chunk(engine: HttpEngine) -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.start_chunks()
        exchange.chunk(event("a", 0) + event("b", 1) + event("x", 0, "other"))
        exchange.chunk(event("c", 2, finish="stop") + b"data: [DONE]\n\n")
        exchange.chunk(b"")

    async with raw_server(handle) as server:
        chunks = await collect(engine.generate(server.address, generation()))
    assert "".join(chunk.text for chunk in chunks) == "abc"
    assert sum(chunk.tokens for chunk in chunks) == 3
    assert chunks[-1].finish_reason == "stop"
    assert engine.foreign_chunks == 1


@pytest.mark.parametrize(
    "pieces",
    [
        [event("a", 0), b"data: {\n\n"],
        [event("a", 0), event("b", 5)],
        [event("a", 0), event("b", 1)[:30]],
        [event("a", 0), event("a", 0)],
        [event("a", 0)],
    ],
)
async def test_a_broken_stream_is_lost(engine: HttpEngine, pieces: list[bytes]) -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.start_chunks()
        for piece in pieces:
            exchange.chunk(piece)
        exchange.chunk(b"")

    async with raw_server(handle) as server:
        with pytest.raises(EngineLost):
            await collect(engine.generate(server.address, generation()))


async def test_what_follows_the_last_event_is_not_part_of_the_answer(engine: HttpEngine) -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.start_chunks()
        exchange.chunk(event("a", 0, finish="stop") + event("b", 1) + b"garbage\n\n")
        exchange.writer.close()

    async with raw_server(handle) as server:
        chunks = await collect(engine.generate(server.address, generation()))
    assert [chunk.text for chunk in chunks] == ["a"]


async def test_a_silent_stream_is_lost_within_its_bound(engine: HttpEngine) -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.start_chunks()
        exchange.chunk(event("a", 0))
        await asyncio.sleep(30)

    async with raw_server(handle) as server:
        async with asyncio.timeout(2.0):
            with pytest.raises(EngineLost, match="silent"):
                await collect(engine.generate(server.address, generation()))


async def test_connections_pooled_before_a_silence_are_not_used_again() -> None:
    async def handle(exchange: Exchange) -> None:
        if exchange.connection == 1 and exchange.number > 2:
            await asyncio.sleep(30)
        if exchange.number < 3:
            await asyncio.sleep(0.1)
        exchange.answer(b"ok")

    client = HttpClient()
    async with raw_server(handle) as server:

        async def call(timeout_s: float) -> bytes:
            url = server.url + "/"
            _, body = await client.call("POST", url, timeout_s=timeout_s, max_bytes=9)
            return body

        await asyncio.gather(call(2.0), call(2.0))
        assert server.connections == 2
        results = await asyncio.gather(call(0.2), call(0.2), return_exceptions=True)
        assert any(isinstance(result, AnswerLost) for result in results)
        assert await call(2.0) == b"ok"
        assert server.connections == 3
    await client.close()


async def test_bad_header_values_are_not_sent() -> None:
    client = HttpClient()
    url = f"http://{CLOSED_PORT}/"
    with pytest.raises(NotSent):
        await client.call("GET", url, [("x", "a\r\nb: c")], timeout_s=1, max_bytes=9)
    await client.close()


async def test_a_cancelled_call_ends_at_whatever_step_it_is_cancelled() -> None:
    """The library waits in a way that forgets a cancellation which meets the end of the wait."""

    async def handle(exchange: Exchange) -> None:
        exchange.answer(b"ok")

    async def call(client: HttpClient, url: str) -> None:
        await client.call("POST", url, timeout_s=2, max_bytes=99)
        await asyncio.sleep(3600)

    async with raw_server(handle) as server:
        for steps in range(60):
            client = HttpClient()
            await client.call("POST", server.url + "/", timeout_s=2, max_bytes=99)
            calling = asyncio.create_task(call(client, server.url + "/"))
            for _ in range(steps):
                await asyncio.sleep(0)
            calling.cancel()
            done, _ = await asyncio.wait([calling], timeout=1)
            assert done, f"still running after a cancellation at step {steps}"
            await client.close()
