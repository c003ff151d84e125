"""Gossip experiment on a simulated network and clock, for fleets of any size.

Compares three variants of disseminating a wave of leaving upstreams: pushes to all entries with the
facts also piggybacked on pings, pushes only to entries that route to the upstream's service with
piggybacking, and pushes only to those entries without piggybacking.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from random import Random

import looptime

from godwitpath.membership.member import Member
from godwitpath.upstreams.facts import UpstreamFact, encode_fact
from godwitpath.upstreams.feed import UPSTREAMS_TOPIC
from godwitpath.upstreams.push_targets import push_targets
from godwitpath_bench.gossip_entry import upstream_fact
from godwitpath_standin.fakes.peer_fleet import Fleet, FleetEntry, envelope, until

SERVICES = 12
SERVICES_ROUTED = 4
"""Number of services to which an entry routes in the filtered variants."""

WAVE_UPSTREAMS = 12
"""Number of upstreams that leave at the same time, one per service."""

MESSAGE_LOSS_FRACTION = 0.02
STEADY_S = 20.0
WAVE_DURATION_S = 20.0
QUEUE_DRAIN_TIMEOUT_S = 300.0
POLL_INTERVAL_S = 0.05
DELIVERY_TIMEOUT_S = 15.0
"""Time after a change at which its fact counts as lost for an entry that has not received it."""

VARIANTS = ("to everybody", "filtered, riding on pings", "filtered, nothing on pings")


def simulate_gossip(size: int, seed: int) -> Iterable[str]:
    """Simulate every variant with a number of entries and yield the figures as text."""
    for variant in VARIANTS:
        loop = looptime.new_event_loop()
        try:
            figures = loop.run_until_complete(_measure(size, seed, variant))
        finally:
            loop.close()
        yield f"{size} fake entries, upstream facts {variant}, loss {MESSAGE_LOSS_FRACTION:.0%}"
        for name, value in figures.items():
            yield f"  {name:48} {value:>10.4g}"


def _routed_services(entry_id: str) -> set[str]:
    numbers = Random(entry_id).sample(range(SERVICES), SERVICES_ROUTED)
    return {f"service-{number}" for number in numbers}


async def _measure(size: int, seed: int, variant: str) -> dict[str, float]:
    fleet = Fleet(size, regions=3, seed=seed)
    try:
        for entry in fleet.entries.values():
            for number in range(3 * SERVICES):
                entry.table.apply(upstream_fact(number))
            if variant != VARIANTS[0]:
                _filter_pushes(entry)
            if variant == VARIANTS[2]:
                _disable_piggybacking(entry)
        figures = {"until all know all, s": await until(fleet.all_alive, 60.0, POLL_INTERVAL_S)}
        # Facts from the start are piggybacked on pings until the queues are empty.
        await until(lambda: _queues_empty(fleet), QUEUE_DRAIN_TIMEOUT_S, 1.0)
        fleet.network.faults.loss = MESSAGE_LOSS_FRACTION
        figures |= await _measure_wave(fleet)
        if variant == VARIANTS[0]:
            figures |= await _measure_config_and_failure(fleet)
        return figures
    finally:
        await fleet.stop()


async def _measure_wave(fleet: Fleet) -> dict[str, float]:
    before = _sent_bytes(fleet)
    await asyncio.sleep(STEADY_S)
    steady_bytes_per_s = (_sent_bytes(fleet) - before) / STEADY_S / len(fleet.entries)
    source = fleet.entries["e0"]
    leaving = [upstream_fact(number) for number in range(WAVE_UPSTREAMS)]
    before = _sent_bytes(fleet)
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    for fact in leaving:
        source.feed.mark_leaving(fact.upstream_id, 30.0)
    try:
        known_after_s = await until(
            lambda: not _count_missing_facts(fleet, leaving), DELIVERY_TIMEOUT_S, POLL_INTERVAL_S
        )
        missing_facts = 0
    except AssertionError:
        known_after_s, missing_facts = DELIVERY_TIMEOUT_S, _count_missing_facts(fleet, leaving)
    await asyncio.sleep(max(0.0, started_at_s + WAVE_DURATION_S - loop.time()))
    extra_bytes = (
        _sent_bytes(fleet)
        - before
        - steady_bytes_per_s * len(fleet.entries) * (loop.time() - started_at_s)
    )
    return {
        "steady sent bytes/s for an entry": steady_bytes_per_s,
        "wave known where needed, s": known_after_s,
        "facts not where needed after 15 s": missing_facts,
        "bytes/fact and entry": extra_bytes / WAVE_UPSTREAMS / len(fleet.entries),
    }


async def _measure_config_and_failure(fleet: Fleet) -> dict[str, float]:
    entry = fleet.entries["e1"]
    entry.config.offer(envelope(2, 40_000))
    in_force_after_s = await until(
        lambda: all(e.config.revision == 2 for e in fleet.entries.values()), 60.0, POLL_INTERVAL_S
    )
    failed_id = list(fleet.entries)[-1]
    await fleet.kill(failed_id)
    removed_after_s = await until(
        lambda: fleet.all_report(failed_id, "gone"), 60.0, POLL_INTERVAL_S
    )
    states = [e.states() for e in fleet.entries.values()]
    wrongly_removed = sum(
        state == "gone" for s in states for name, state in s.items() if name != failed_id
    )
    return {
        "configuration in force everywhere, s": in_force_after_s,
        "dead entry gone for everybody, s": removed_after_s,
        "others called gone": wrongly_removed,
    }


def _queues_empty(fleet: Fleet) -> bool:
    dumps = (entry.membership.exchange.dump() for entry in fleet.entries.values())
    return not any(dump["queued_facts"] for dump in dumps)


def _sent_bytes(fleet: Fleet) -> int:
    return sum(entry.transport.counts["sent_bytes"] for entry in fleet.entries.values())


def _count_missing_facts(fleet: Fleet, leaving: list[UpstreamFact]) -> int:
    """Return the number of facts missing at entries that route to their service.

    A fact that is missing at several entries counts once per entry.
    """
    missing_facts = 0
    for entry in fleet.entries.values():
        needed = _routed_services(entry.entry_id)
        for fact in leaving:
            known = entry.table.get(fact.upstream_id)
            missing_facts += fact.service in needed and (known is None or known.state == "serving")
    return missing_facts


def _filter_pushes(entry: FleetEntry) -> None:
    exchange = entry.membership.exchange

    async def push(facts: list[UpstreamFact], from_region: str) -> None:
        # Entries of the local region get only the facts that they need; relays elsewhere get all.
        targets = push_targets(entry.local, entry.membership.live(), from_region)
        for member in targets:
            needed = [fact for fact in facts if _needs(entry.local, member, fact)]
            if needed:
                payloads = [encode_fact(fact) for fact in needed]
                await exchange.send_now(UPSTREAMS_TOPIC, payloads, [member])

    entry.feed._push = push  # type: ignore[method-assign]


def _needs(local: Member, member: Member, fact: UpstreamFact) -> bool:
    return member.region != local.region or fact.service in _routed_services(member.entry_id)


def _disable_piggybacking(entry: FleetEntry) -> None:
    exchange = entry.membership.exchange
    put = exchange.put

    def put_other_topics(topic: str, key: str, payload: bytes) -> None:
        if topic != UPSTREAMS_TOPIC:
            put(topic, key, payload)

    exchange.put = put_other_topics  # type: ignore[method-assign]
