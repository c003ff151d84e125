"""Real daemons of a zone of which two parts do not hear each other, while other zones hear both."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.gateway.engines import EngineEntry, EngineState
from godwitpath.gateway.peer_state import STATEMENT_S, ZoneState
from godwitpath.ports.engine import Address
from test.gateway_fleet import Daemon, fleet
from test.test_gateway_peer_hearing import REPORTS, SilencedTransport

ENGINES = 24
PLAY_S = 8.0
LOOK_S = 0.02


def divide(zone: list[Daemon]) -> None:
    """Let two halves of a zone not hear each other."""
    parts = (zone[::2], zone[1::2])
    for own, others in (parts, parts[::-1]):
        ports = {each.port for each in others}
        for each in own:
            sender = each.peers.sender
            sender.transport = SilencedTransport(  # type: ignore[assignment]
                sender.transport, REPORTS, ports
            )


async def test_two_parts_of_a_divided_zone_that_other_zones_hear_do_not_both_grant() -> None:
    async with fleet(18, "ab") as daemons:
        await asyncio.sleep(3.0)
        divide([each for each in daemons if each.zone == "a"])
        entries = [
            EngineEntry(f"limited-{number}", "lm", Address("h", 9), "a", EngineState.READY, 64, 1)
            for number in range(ENGINES)
        ]
        loop = asyncio.get_running_loop()
        until_s = loop.time() + PLAY_S
        twice = []
        while loop.time() < until_s:
            # The other zone reports several times for each report of this one.
            for each in daemons:
                if each.zone == "b":
                    each.ctx.quota.urgent.set()
            for entry in entries:
                granting = [
                    each.name for each in daemons if each.ctx.permits._grantors.may_grant(entry)
                ]
                if len(granting) > 1:
                    twice.append((round(until_s - loop.time(), 2), entry.engine_id, granting))
            await asyncio.sleep(LOOK_S)
        assert not twice, (len(twice), twice[:3])


@pytest.mark.parametrize(
    ("aggregator", "members", "silent_s", "follows"),
    [
        (("d02", 1), [("d02", 1)], 0.1, True),
        (("d02", 2), [("d02", 2)], 0.1, True),
        (("d01", 1), [("d01", 1), ("d02", 1)], 0.1, True),
        (("d01", 1), [("d01", 1)], 0.1, False),
        (("d03", 1), [("d03", 1), ("d02", 1)], 0.1, False),
        (("d03", 1), [("d03", 1)], STATEMENT_S, False),
        (("d03", 1), [("d03", 1)], STATEMENT_S + 0.1, True),
    ],
)
def test_a_zone_that_hears_two_aggregators_of_another_follows_one(
    aggregator: tuple[str, int], members: list[tuple[str, int]], silent_s: float, follows: bool
) -> None:
    state = ZoneState(aggregator=("d02", 1), received_at_s=0.0)
    assert state.follows(aggregator, members, silent_s) is follows


async def test_quota_units_of_a_divided_zone_are_counted_by_the_zones_that_hear_both_parts() -> (
    None
):
    async with fleet(18, "ab") as daemons:
        await asyncio.sleep(3.0)
        divide([each for each in daemons if each.zone == "a"])
        await asyncio.sleep(4.0)
        elsewhere = next(each for each in daemons if each.zone == "b")
        zone = elsewhere.peers.view.zones["a"]
        baselines = set()
        until_s = asyncio.get_running_loop().time() + 3.0
        while asyncio.get_running_loop().time() < until_s:
            baselines.add(id(zone.quota_used))
            await asyncio.sleep(LOOK_S)
        assert len(baselines) == 1
