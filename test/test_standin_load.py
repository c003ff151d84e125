"""Tests of the load generator against entries that fail."""

from __future__ import annotations

import asyncio
import json

from godwitpath_standin.load import Load, LoadPlan
from godwitpath_standin.ports import ReservedPorts
from godwitpath_standin.text import expected_text


async def test_a_lost_generation_names_each_failed_attempt_and_how_far_it_came() -> None:
    reserved = ReservedPorts(1)
    url = f"http://127.0.0.1:{reserved.ports[0]}"
    plan = LoadPlan(
        urls=lambda: [url],
        models={"lm": "m"},
        api_keys={"lm": ["key"]},
        generations=1,
        calls=0,
        deadline_s=0.3,
    )
    result = await Load(plan).run()
    reserved.release()
    *attempts, last = result.failed_attempts
    assert [item.state for item in result.outcomes] == ["lost"]
    assert last == "given up after 0 tokens"
    assert attempts
    assert all(line.startswith(f"{url} 0.") and "NotSent" in line for line in attempts)


async def test_an_error_event_ends_one_attempt_and_not_the_next_ones() -> None:
    attempts = 0

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal attempts
        attempts += 1
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(line for line in head.lower().split(b"\r\n") if b"content-length" in line)
        body = json.loads(await reader.readexactly(int(length.split(b":")[1])))
        text = expected_text(body, model="m")
        chunk = json.dumps({"choices": [{"delta": {"content": text}}]}).encode()
        whole = b"id: 0:40\ndata: " + chunk + b"\n\ndata: [DONE]\n\n"
        events = b'event: error\ndata: {"error": {}}\n\n' if attempts == 1 else whole
        writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n")
        writer.write(b"content-length: %d\r\n\r\n%s" % (len(events), events))
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    plan = LoadPlan(
        urls=lambda: [f"http://127.0.0.1:{port}"],
        models={"lm": "m"},
        api_keys={"lm": ["key"]},
        generations=1,
        calls=0,
        deadline_s=5.0,
    )
    result = await Load(plan).run()
    server.close()
    assert [(item.state, item.attempts) for item in result.outcomes] == [("completed", 2)]
    assert not result.wrong
