"""Tests of callers of one service beside junk without end at another, or from other callers.

Two other daemons run at the same time without junk, as what the responses are compared with, so
that whatever else the machine does delays both alike.
"""

from __future__ import annotations

import asyncio

import pytest

from test.endless_parts import (
    FAULTY_ENGINES,
    Seen,
    Sender,
    observe_both,
    sender,
    two_daemons,
)

MEMORY_MB = 300
"""Memory of a daemon, as the users specify."""

CALLERS = 60
OBSERVED_S = 6.0
CLOSED_WITHIN_S = 4.0


def check(calm: Seen, beside: Seen) -> None:
    """Check the sound callers and the memory against the targets."""
    assert beside.unanswered == 0, f"{beside}; calm: {calm}"
    assert beside.largest_mb < MEMORY_MB, f"{beside}; calm: {calm}"
    assert beside.p95_s <= 2.0 * calm.p95_s, f"{beside}; calm: {calm}"


async def until_closed(engines: Sender) -> None:
    """Wait until the engines have no open connection."""
    async with asyncio.timeout(CLOSED_WITHIN_S):
        while (await engines.state())["open"]:  # noqa: ASYNC110
            await asyncio.sleep(0.1)


@pytest.mark.parametrize(
    ("kind", "service", "target"),
    [("comments", "lm", "/stream/x"), ("bytes", "desk", "/read/x"), ("fields", "desk", "/read/x")],
)
async def test_an_endless_response_delays_no_other_service(
    kind: str, service: str, target: str
) -> None:
    async with two_daemons() as calm_daemons, two_daemons() as daemons:
        async with sender("engines", kind, FAULTY_ENGINES) as engines:
            daemons.register_faulty(service, engines.started)
            async with sender("service", target, CALLERS, *daemons.ports):
                calm, beside = await observe_both(calm_daemons, daemons, OBSERVED_S)
            assert (await engines.state())["requests"] >= CALLERS
            await until_closed(engines)
        check(calm, beside)


@pytest.mark.parametrize("kind", ["pipelined", "bytes"])
async def test_endless_requests_without_a_key_delay_no_other_caller(kind: str) -> None:
    async with two_daemons() as calm_daemons, two_daemons() as daemons:
        async with sender("junk", kind, CALLERS, *daemons.ports) as callers:
            calm, beside = await observe_both(calm_daemons, daemons, OBSERVED_S)
            assert (await callers.state())["channels"] >= CALLERS
        check(calm, beside)
