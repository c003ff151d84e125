"""Guards against injected faults that do not do what their names say.

Each fault is checked from both sides: by the error that the product's adapter raises, and by the
counters of the stand-in process.
"""

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
from godwitpath_standin.gateway.caller import ask
from godwitpath_standin.gateway.engine import EngineStandin
from godwitpath_standin.process import Process
from godwitpath_standin.text import expected_text


class StandinClient:
    """Client of a stand-in process."""

    def __init__(self, process: Process) -> None:
        self.url = f"http://{process.addresses['listening']}"
        host, _, port = process.addresses["listening"].rpartition(":")
        self.address = Address(host, int(port))
        self._client = HttpClient()

    async def set_faults(self, **changes: Any) -> None:
        await self._request("POST", "/faults", json.dumps(changes).encode())

    async def executions(self) -> dict[str, int]:
        return await self._request("GET", "/executions")

    async def _request(self, method: str, path: str, body: bytes = b"") -> Any:
        _, content = await self._client.call(
            method, self.url + path, body=body, timeout_s=5, max_bytes=99_999, new_connection=True
        )
        return json.loads(content)


@asynccontextmanager
async def running_standin(log_folder: Path, *arguments: str) -> AsyncIterator[StandinClient]:
    process = Process(arguments[0], ["godwitpath_standin", *arguments], log_folder)
    await process.start()
    try:
        yield StandinClient(process)
    finally:
        process.kill()
        await process.wait()


async def test_plain_service_counts_executions_under_every_fault(tmp_path: Path) -> None:
    adapter = HttpPlainService()

    async def call(key: str) -> str:
        request = ServiceCall("POST", "/bookings", [], b"{}", "r", "a", 1.0, key)
        try:
            await adapter.call(standin.address, request)
        except ServiceNotSent:
            return "not sent"
        except ServiceUncertain:
            return "uncertain"
        return "done"

    async with running_standin(tmp_path, "service") as standin:
        faults: dict[str, dict[str, Any]] = {
            "lost": {"lose_next_answer": 1},
            "dropped": {"drop_next": 1},
            "garbled": {"garbage": 1},
            "cut": {"cut_after": 5},
            "refused": {"outage": True},
            "silent": {"outage": False, "silence_connections": True},
        }
        results = {"plain": await call("plain")}
        for key, changes in faults.items():
            await standin.set_faults(**changes)
            results[key] = await call(key)
        results["healed"] = await call("healed")
        executions = await standin.executions()
    await adapter.close()
    assert results == {
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


async def test_store_loses_responses_and_delays_effects(tmp_path: Path) -> None:
    async with running_standin(tmp_path, "kv") as standin:
        store = HttpKeyValueStore(standin.url)
        await standin.set_faults(lose_next_answer=1)
        with pytest.raises(StoreUncertain):
            await store.put("a", b"1", ABSENT)
        assert (await store.get("a")) is not None
        await standin.set_faults(lose_effect_s=0.3)
        with pytest.raises(StoreUncertain):
            await store.put("b", b"1", ABSENT)
        assert (await store.get("b")) is None
        await standin.set_faults(lose_effect_s=0)
        await asyncio.sleep(0.5)
        assert (await store.get("b")) is not None
        watch = store.watch("", 0)
        assert (await anext(watch)).key == "a"
        await standin.set_faults(outage=True)
        with pytest.raises(StoreRefused):
            await anext(skip_known_keys(watch))
        with pytest.raises(StoreRefused):
            await store.put("c", b"1", ABSENT)
        await store.close()


async def skip_known_keys(watch: AsyncIterator[Any]) -> AsyncIterator[Any]:
    """Yield the events of a watch, except those of keys written before the outage."""
    async for event in watch:
        if event.key not in ("a", "b"):
            yield event


async def generate(
    engine: HttpEngine, standin: StandinClient, call: GenerationCall, silence: bool
) -> AsyncIterator[GenerationChunk]:
    """Yield the chunks of a stream.

    :param silence: whether the connection goes silent after the chunk at offset 2
    """
    async for chunk in engine.generate(standin.address, call):
        yield chunk
        if silence and chunk.offset == 2:
            await standin.set_faults(silence_connections=True)


async def collect(chunks: AsyncIterator[GenerationChunk], received: list[GenerationChunk]) -> None:
    async for chunk in chunks:
        received.append(chunk)


@pytest.mark.parametrize("changes", [{"half_chunk": 1}, {"cut_after": 900}, {}])
async def test_broken_engine_streams_can_be_resumed(
    tmp_path: Path, changes: dict[str, Any]
) -> None:
    body: dict[str, Any] = {"messages": [{"role": "user", "content": "x"}], "max_tokens": 40}
    call = GenerationCall("r", "first", "account", "m", body, True)
    received: list[GenerationChunk] = []
    async with running_standin(tmp_path, "engine", "--model", "m") as standin:
        engine = HttpEngine(idle_timeout_s=1.0)
        await standin.set_faults(**changes)
        with pytest.raises(EngineLost):
            await collect(generate(engine, standin, call, silence=not changes), received)
        last = received[-1]
        after = last.offset + last.tokens
        resumed = engine.resume(standin.address, last.stream_id, "second", after)
        await collect(resumed, received)
        await engine.close()
    assert "".join(chunk.text for chunk in received) == expected_text(body, model="m")


async def test_outage_ends_notice_stream(tmp_path: Path) -> None:
    async with running_standin(tmp_path, "platform") as standin:
        cloud = HttpCloud(standin.url)
        pending_notice = asyncio.ensure_future(anext(cloud.notices()))
        await asyncio.sleep(0.2)
        await standin.set_faults(outage=True)
        with pytest.raises(PlatformUnavailable):
            await pending_notice
        await cloud.close()


async def test_an_engine_crashes_once_under_prompts_that_come_together() -> None:
    crashes: list[str] = []
    engine = EngineStandin("i-1", crashing_parts={"dead"}, on_crash=lambda: crashes.append("i-1"))
    address = await engine.start()
    headers = {"X-Prompt-Prefix": "dead:1,own:1"}
    responses = await asyncio.gather(
        *(
            ask(address.port, "/stream/x", request_id=f"r{number}", headers=headers)
            for number in range(5)
        )
    )
    assert not any(response.complete for response in responses)
    assert (crashes, engine.crashed_on) == (["i-1"], "dead")
