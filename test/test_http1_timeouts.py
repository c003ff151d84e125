"""Tests of timeouts that a pause of this process does not end too early."""

from __future__ import annotations

import asyncio
import itertools
import socket
import time

import pytest

from godwitpath.http1.timeouts import socket_timeout

TIMEOUT_S = 0.05


async def read_in_steps(reader: asyncio.StreamReader, held_s: float) -> bytes:
    """Return a byte, which is handled in several turns of a loop that other work holds."""
    data = await reader.readexactly(1)
    for _ in range(4):
        time.sleep(held_s)  # noqa: ASYNC251
        await asyncio.sleep(0)
    return data


@pytest.mark.parametrize("held_s", [0.0, 0.005])
async def test_what_arrived_in_a_pause_counts_also_on_a_processor_that_is_busy_after_it(
    held_s: float,
) -> None:
    near, far = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=near)

    def pause() -> None:
        far.send(b"x")
        time.sleep(2 * TIMEOUT_S)

    asyncio.get_running_loop().call_soon(pause)
    async with socket_timeout(TIMEOUT_S):
        assert await read_in_steps(reader, held_s) == b"x"
    writer.close()
    far.close()


async def test_a_block_that_goes_on_without_end_times_out() -> None:
    async def take_turns() -> None:
        for _ in itertools.count():
            await asyncio.sleep(0)

    with pytest.raises(TimeoutError):
        async with socket_timeout(TIMEOUT_S):
            await take_turns()
