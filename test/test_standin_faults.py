"""The stand-ins as programs: each fault seen through the adapters and the stand-in's own count."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from godwitpath.adapters.engine_http import HttpEngine
from godwitpath.adapters.http_client import HttpClient
from godwitpath.adapters.kv_http import HttpKeyValueStore
from godwitpath.adapters.platform_http import HttpCloud
from godwitpath.adapters.service_http import HttpPlainService
from godwitpath.ports.engine import Address, EngineLost, GenerationCall, GenerationChunk
from godwitpath.ports.kv import ABSENT, StoreRefused, StoreUncertain
from godwitpath.ports.platform import PlatformUnavailable
from godwitpath.ports.service import ServiceCall, ServiceNotSent, ServiceUncertain
from godwitpath_standin.process import Process
from godwitpath_standin.text import expected_text


class Program:
    """A stand-in that runs as a process."""

    def __init__(self, process: Process) -> None:
        self.url = f"http://{process.announced['listening']}"
        host, _, port = process.announced["listening"].rpartition(":")
        self.address = Address(host, int(port))
        self._client = HttpClient()

    async def fault(self, **changes: Any) -> None:
        await self._request("POST", "/faults", json.dumps(changes).encode())

    async def executions(self) -> dict[str, int]:
        return await self._request("GET", "/executions")

    async def _request(self, method: str, path: str, body: bytes = b"") -> Any:
        _, content = await self._client.call(
            method, self.url + path, body=body, timeout_s=5, max_bytes=99_999, fresh=True
        )
        return json.loads(content)


@asynccontextmanager
async def program(folder: Path, *arguments: str) -> AsyncIterator[Program]:
    process = Process(arguments[0], ["godwitpath_standin", *arguments], folder)
    await process.start()
    try:
        yield Program(process)
    finally:
        process.kill()
        await process.wait()


async def test_plain_service_counts_what_ran_whatever_the_caller_saw(tmp_path: Path) -> None:
    adapter = HttpPlainService()

    async def call(key: str) -> str:
        request = ServiceCall("POST", "/bookings", [], b"{}", "r", "a", 1.0, key)
        try:
            await adapter.call(service.address, request)
        except ServiceNotSent:
            return "not sent"
        except ServiceUncertain:
            return "uncertain"
        return "done"

    async with program(tmp_path, "service") as service:
        faults: dict[str, dict[str, Any]] = {
            "lost": {"lose_next_answer": 1},
            "dropped": {"drop_next": 1},
            "garbled": {"garbage": 1},
            "cut": {"cut_after": 5},
            "refused": {"outage": True},
            "silent": {"outage": False, "silence_connections": True},
        }
        seen = {"plain": await call("plain")}
        for key, changes in faults.items():
            await service.fault(**changes)
            seen[key] = await call(key)
        seen["healed"] = await call("healed")
        executions = await service.executions()
    await adapter.close()
    assert seen == {
        "plain": "done",
        "lost": "uncertain",
        "dropped": "uncertain",
        "garbled": "uncertain",
        "cut": "uncertain",
        "refused": "not sent",
        "silent": "uncertain",
        "healed": "done",
    }
    ran = {key for key, count in executions.items() if count == 1}
    assert {"plain", "lost", "cut", "healed"} <= ran
    assert not {"dropped", "garbled", "refused", "silent"} & set(executions)


async def test_store_loses_answers_and_effects(tmp_path: Path) -> None:
    async with program(tmp_path, "kv") as service:
        store = HttpKeyValueStore(service.url)
        await service.fault(lose_next_answer=1)
        with pytest.raises(StoreUncertain):
            await store.put("a", b"1", ABSENT)
        assert (await store.get("a")) is not None
        await service.fault(lose_effect_s=0.3)
        with pytest.raises(StoreUncertain):
            await store.put("b", b"1", ABSENT)
        assert (await store.get("b")) is None
        await service.fault(lose_effect_s=0)
        await asyncio.sleep(0.5)
        assert (await store.get("b")) is not None
        watch = store.watch("", 0)
        assert (await anext(watch)).key == "a"
        await service.fault(outage=True)
        with pytest.raises(StoreRefused):
            await anext(anext_after(watch))
        with pytest.raises(StoreRefused):
            await store.put("c", b"1", ABSENT)
        await store.close()


async def anext_after(watch: AsyncIterator[Any]) -> AsyncIterator[Any]:
    """Skip the events that were there before the watch ended."""
    async for event in watch:
        if event.key not in ("a", "b"):
            yield event


async def read(
    engine: HttpEngine, service: Program, call: GenerationCall, silence: bool
) -> AsyncIterator[GenerationChunk]:
    """Read a stream whose connection goes silent on the way when told so."""
    async for chunk in engine.generate(service.address, call):
        yield chunk
        if silence and chunk.offset == 2:
            await service.fault(silence_connections=True)


async def collect(chunks: AsyncIterator[GenerationChunk], into: list[GenerationChunk]) -> None:
    async for chunk in chunks:
        into.append(chunk)


@pytest.mark.parametrize("changes", [{"half_chunk": 1}, {"cut_after": 900}, {}])
async def test_engine_streams_break_and_resume(tmp_path: Path, changes: dict[str, Any]) -> None:
    body: dict[str, Any] = {"messages": [{"role": "user", "content": "x"}], "max_tokens": 40}
    call = GenerationCall("r", "first", "account", "m", body, True)
    received: list[GenerationChunk] = []
    async with program(tmp_path, "engine", "--model", "m") as service:
        engine = HttpEngine(idle_timeout_s=1.0)
        await service.fault(**changes)
        with pytest.raises(EngineLost):
            await collect(read(engine, service, call, silence=not changes), received)
        last = received[-1]
        after = last.offset + last.tokens
        resumed = engine.resume(service.address, last.stream_id, "second", after)
        await collect(resumed, received)
        await engine.close()
    assert "".join(chunk.text for chunk in received) == expected_text(body, model="m")


async def test_notices_end_with_an_outage(tmp_path: Path) -> None:
    async with program(tmp_path, "platform") as service:
        cloud = HttpCloud(service.url)
        waiting = asyncio.ensure_future(anext(cloud.notices()))
        await asyncio.sleep(0.2)
        await service.fault(outage=True)
        with pytest.raises(PlatformUnavailable):
            await waiting
        await cloud.close()
