"""Floods of a soak: engines that answer without end, and callers without a key that send junk."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest

from godwitpath.ports.engine import Address
from godwitpath_standin.gateway.caller import ClientResponse
from godwitpath_standin.gateway.endless import REPEATED, EndlessKind
from godwitpath_standin.gateway.engine import EngineStandin, Fault
from godwitpath_standin.soak.environment import Daemon
from godwitpath_standin.soak.faults import EndlessEngine, JunkCallers
from godwitpath_standin.soak.floods import draw_floods
from godwitpath_standin.soak.invariants import MAX_MEMORY_MB
from godwitpath_standin.soak.junk import CHANNELS, START, JunkKind, send_junk
from godwitpath_standin.soak.memory import memory_mb
from test.test_soak import history, run_of, sent, violated


async def open_request(address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send an engine a request for a stream."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"POST /stream/x HTTP/1.1\r\nX-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n")
    return reader, writer


@pytest.mark.parametrize("kind", EndlessKind)
async def test_a_request_that_is_answered_without_end_counts_as_run(kind: EndlessKind) -> None:
    engine = EngineStandin("i-1", endless=kind)
    reader, writer = await open_request(await engine.start())
    received = await reader.readexactly(3_000_000)
    assert b"X-Attempt-Id: r1\r\n" in received[:200]
    assert (b"\r\n\r\n" in received[:300]) is (kind is not EndlessKind.FIELDS)
    assert received.count(REPEATED[kind]) > 10
    # What began so goes on after the fault, and other requests are answered as usual.
    engine.endless = None
    await reader.readexactly(1_000_000)
    other_reader, other_writer = await open_request(engine.address)
    await other_reader.readuntil(b"\r\n0\r\n\r\n")
    [run, other_run] = engine.runs
    assert not run.ended
    assert not run.cancelled
    assert other_run.ended
    writer.transport.abort()
    other_writer.close()
    async with asyncio.timeout(2.0):
        while not run.cancelled:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    assert not run.ended
    await engine.stop()


async def test_an_engine_that_sheds_a_request_sends_nothing_without_end() -> None:
    engine = EngineStandin("i-1", endless=EndlessKind.BLOCKS)
    engine.script.append(Fault.SHED)
    reader, writer = await open_request(await engine.start())
    assert b"503" in await reader.readuntil(b"\r\n\r\n")
    assert not engine.runs
    writer.close()
    await engine.stop()


def test_a_refusal_as_not_run_of_an_endless_answer_is_a_violation() -> None:
    request = sent(response=ClientResponse(503, {}, b"", True))
    run = run_of(request, ended=False, cancelled=True)
    assert violated(history(request, run)) == {"true refusals"}


@pytest.mark.parametrize("kind", JunkKind)
async def test_junk_is_sent_on_all_channels_until_its_time_is_over(kind: JunkKind) -> None:
    received = [0] * CHANNELS
    channels = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal channels
        channel, channels = channels, channels + 1
        assert await reader.readexactly(len(START[kind])) == START[kind]
        while data := await reader.read(65_536):
            assert b"key" not in data.lower()
            received[channel] += len(data)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    assert await send_junk(port, kind, 0.5) == CHANNELS
    assert loop.time() - started_at_s >= 0.5
    assert min(received) > 0
    server.close()


async def test_junk_is_sent_on_a_new_channel_after_a_daemon_closed_one() -> None:
    async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    assert await send_junk(port, JunkKind.PIPELINED, 0.7) >= 2 * CHANNELS
    server.close()


def test_a_daemon_that_takes_too_much_memory_is_a_violation() -> None:
    request = sent()
    recorded = history(request, run_of(request))
    recorded.peak_memory_mb = {"edge-0": MAX_MEMORY_MB, "edge-1": 30.0}
    assert violated(recorded) == set()
    recorded.peak_memory_mb["edge-1"] = MAX_MEMORY_MB + 1
    assert violated(recorded) == {"memory"}


async def test_the_memory_of_a_process_is_read_while_it_runs(tmp_path: Path) -> None:
    daemon = Daemon("d1", "a", [1, 2, 3, 4], tmp_path)
    assert memory_mb(daemon) == 0.0
    daemon.process = await asyncio.create_subprocess_exec("sleep", "60")
    assert 0.0 < memory_mb(daemon) < MAX_MEMORY_MB
    daemon.process.kill()
    await daemon.process.wait()
    assert memory_mb(daemon) == 0.0
    daemon.process = SimpleNamespace(pid=daemon.process.pid, returncode=None)  # type: ignore
    assert memory_mb(daemon) == 0.0


def test_floods_of_all_kinds_are_drawn_for_every_place() -> None:
    drawn = [draw_floods(Random(seed), ["edge-0", "edge-1"], 6, 12.0) for seed in range(100)]
    assert all(drawn)
    floods = [fault for each in drawn for _, fault in each]
    engines = [fault for fault in floods if isinstance(fault, EndlessEngine)]
    callers = [fault for fault in floods if isinstance(fault, JunkCallers)]
    assert {fault.kind for fault in engines} == set(EndlessKind)
    assert {fault.position for fault in engines} == set(range(6))
    assert {fault.kind for fault in callers} == set(JunkKind)
    assert {fault.name for fault in callers} == {"edge-0", "edge-1"}
    assert all(1.0 <= fault.for_s <= 2.0 for fault in [*engines, *callers])
    assert all(at_s < 12.0 for each in drawn for at_s, _ in each)
