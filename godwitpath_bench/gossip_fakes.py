"""The gossip experiment on the fake network and the paused clock, for fleets of any size.

Three ways of spreading a wave of leaving upstreams are compared: to everybody with the facts
riding on pings besides, only to entries that route to the upstream's service with the facts riding
on pings, and only to those entries with nothing riding on pings.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from random import Random

import looptime

from godwitpath.membership.member import Member
from godwitpath.upstreams.facts import UpstreamFact, encode_fact
from godwitpath.upstreams.feed import UPSTREAMS_TOPIC
from godwitpath.upstreams.receivers import receivers
from godwitpath_bench.gossip_entry import upstream_fact
from godwitpath_standin.fakes.peer_fleet import Fleet, FleetEntry, envelope, until

SERVICES = 12
SERVICES_ROUTED = 4
"""Services that an entry routes to where the sources filter."""

WAVE = 12
"""Upstreams that leave at once, one of each service."""

LOSS = 0.02
STEADY_S = 20.0
WAVE_S = 20.0
QUIET_S = 300.0
STEP_S = 0.05
LOST_S = 15.0
"""News that is not where it is needed by then counts as lost."""

WAYS = ("to everybody", "filtered, riding on pings", "filtered, nothing on pings")


def fake_lines(size: int, seed: int) -> Iterable[str]:
    """Run every way with a number of entries; yields the figures as text."""
    for way in WAYS:
        loop = looptime.new_event_loop()
        try:
            figures = loop.run_until_complete(_measure(size, seed, way))
        finally:
            loop.close()
        yield f"{size} fake entries, upstream facts {way}, loss {LOSS:.0%}"
        for name, value in figures.items():
            yield f"  {name:48} {value:>10.4g}"


def _routed(entry_id: str) -> set[str]:
    numbers = Random(entry_id).sample(range(SERVICES), SERVICES_ROUTED)
    return {f"service-{number}" for number in numbers}


async def _measure(size: int, seed: int, way: str) -> dict[str, float]:
    fleet = Fleet(size, regions=3, seed=seed)
    try:
        for entry in fleet.entries.values():
            for number in range(3 * SERVICES):
                entry.table.apply(upstream_fact(number))
            if way != WAYS[0]:
                _filter_pushes(entry)
            if way == WAYS[2]:
                _keep_off_pings(entry)
        figures = {"until all know all, s": await until(fleet.all_alive, 60.0, STEP_S)}
        # What the start left to be told rides on pings for a while.
        await until(lambda: _quiet(fleet), QUIET_S, 1.0)
        fleet.network.faults.loss = LOSS
        figures |= await _wave(fleet)
        if way == WAYS[0]:
            figures |= await _others(fleet)
        return figures
    finally:
        await fleet.stop()


async def _wave(fleet: Fleet) -> dict[str, float]:
    before = _sent(fleet)
    await asyncio.sleep(STEADY_S)
    steady = (_sent(fleet) - before) / STEADY_S / len(fleet.entries)
    source = fleet.entries["e0"]
    leaving = [upstream_fact(number) for number in range(WAVE)]
    before = _sent(fleet)
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    for fact in leaving:
        source.feed.leaving(fact.upstream_id, 30.0)
    try:
        known_s = await until(lambda: not _unknown(fleet, leaving), LOST_S, STEP_S)
        lost = 0
    except AssertionError:
        known_s, lost = LOST_S, _unknown(fleet, leaving)
    await asyncio.sleep(max(0.0, started_at_s + WAVE_S - loop.time()))
    extra = _sent(fleet) - before - steady * len(fleet.entries) * (loop.time() - started_at_s)
    return {
        "steady sent bytes/s for an entry": steady,
        "wave known where needed, s": known_s,
        "facts not where needed after 15 s": lost,
        "bytes/fact and entry": extra / WAVE / len(fleet.entries),
    }


async def _others(fleet: Fleet) -> dict[str, float]:
    entry = fleet.entries["e1"]
    entry.config.offer(envelope(2, 40_000))
    in_force_s = await until(
        lambda: all(e.config.revision == 2 for e in fleet.entries.values()), 60.0, STEP_S
    )
    lost = list(fleet.entries)[-1]
    await fleet.kill(lost)
    gone_s = await until(lambda: fleet.all_see(lost, "gone"), 60.0, STEP_S)
    states = [e.states() for e in fleet.entries.values()]
    wrong = sum(state == "gone" for s in states for name, state in s.items() if name != lost)
    return {
        "configuration in force everywhere, s": in_force_s,
        "dead entry gone for everybody, s": gone_s,
        "others called gone": wrong,
    }


def _quiet(fleet: Fleet) -> bool:
    dumps = (entry.membership.exchange.dump() for entry in fleet.entries.values())
    return not any(dump["queued_facts"] for dump in dumps)


def _sent(fleet: Fleet) -> int:
    return sum(entry.transport.counts["sent_bytes"] for entry in fleet.entries.values())


def _unknown(fleet: Fleet, leaving: list[UpstreamFact]) -> int:
    """Return how many facts are not known to an entry that routes to their service."""
    unknown = 0
    for entry in fleet.entries.values():
        needed = _routed(entry.entry_id)
        for fact in leaving:
            known = entry.table.get(fact.upstream_id)
            unknown += fact.service in needed and (known is None or known.state == "serving")
    return unknown


def _filter_pushes(entry: FleetEntry) -> None:
    exchange = entry.membership.exchange

    async def push(facts: list[UpstreamFact], from_region: str) -> None:
        # An entry that does not need a fact is not told it, the relays of a region excepted.
        told = receivers(entry.local, entry.membership.live(), from_region)
        for member in told:
            needed = [fact for fact in facts if _needs(entry.local, member, fact)]
            if needed:
                payloads = [encode_fact(fact) for fact in needed]
                await exchange.send_now(UPSTREAMS_TOPIC, payloads, [member])

    entry.feed._push = push  # type: ignore[method-assign]


def _needs(local: Member, member: Member, fact: UpstreamFact) -> bool:
    return member.region != local.region or fact.service in _routed(member.entry_id)


def _keep_off_pings(entry: FleetEntry) -> None:
    exchange = entry.membership.exchange
    put = exchange.put

    def put_others(topic: str, key: str, payload: bytes) -> None:
        if topic != UPSTREAMS_TOPIC:
            put(topic, key, payload)

    exchange.put = put_others  # type: ignore[method-assign]
