"""State machines over what the entries tell one another, with faults, on the paused clock.

Each machine runs a small fleet on the fake network, brings about faults in an order that
hypothesis chooses, checks its invariant after every step, then heals everything and checks that
the fleet comes together within the bound.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from itertools import pairwise
from typing import Any

import looptime
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from godwitpath.config.envelope import CURRENT_KEY, encode_envelope
from godwitpath.config_sync.messages import ConfigPush, pack
from godwitpath.upstreams.stops import Stop, encode_stop, stop_key
from godwitpath.upstreams.table import Upstream
from godwitpath_standin.fakes.kv import FakeKeyValueStore
from godwitpath_standin.fakes.peer_fleet import Fleet, envelope, until
from test.test_upstreams import FixedList, NoticeCloud, instance

# Shrinking a failure of a whole fleet takes minutes; the steps of the first one are short enough.
PROFILE = settings(
    max_examples=12,
    stateful_step_count=10,
    derandomize=True,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
)
ENTRIES = [f"e{i}" for i in range(4)]
UPSTREAMS = [f"u{i}" for i in range(3)]
TOGETHER_S = 60.0
"""Within this a healed fleet is together again."""

entry_names = st.sampled_from(ENTRIES)
upstream_names = st.sampled_from(UPSTREAMS)


class FleetMachine(RuleBasedStateMachine):
    """The faults that all machines share."""

    fleet: Fleet

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.store = FakeKeyValueStore()
        self.starts = 0

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(work)

    def wait(self, time_s: float) -> None:
        self.run(asyncio.sleep(time_s))

    def until(self, condition: Callable[[], bool]) -> None:
        self.run(until(condition, TOGETHER_S, 0.5))

    @rule(time_s=st.sampled_from([0.1, 1.0, 4.0, 15.0]))
    def time_passes(self, time_s: float) -> None:
        self.wait(time_s)

    @rule(one=entry_names, other=entry_names, both_ways=st.booleans())
    def cut(self, one: str, other: str, both_ways: bool) -> None:
        self.fleet.network.cut(one, other, both_ways)

    @rule()
    def heal(self) -> None:
        self.fleet.network.heal()

    @rule(name=entry_names)
    def pause(self, name: str) -> None:
        self.fleet.network.pause(name)

    @rule(name=entry_names)
    def wake(self, name: str) -> None:
        async def wake() -> None:
            self.fleet.network.wake(name)

        self.run(wake())

    @rule(name=entry_names)
    def restart(self, name: str) -> None:
        async def restart() -> None:
            await self.fleet.kill(name)
            await asyncio.sleep(1.0)
            self.started(self.fleet.add(name))

        self.run(restart())

    @rule(loss=st.sampled_from([0.0, 0.2]), jitter_s=st.sampled_from([0.0, 0.3]))
    def disturb(self, loss: float, jitter_s: float) -> None:
        faults = self.fleet.network.faults
        faults.loss, faults.jitter_s, faults.duplication = loss, jitter_s, loss

    def started(self, entry: Any) -> None:
        """Look at a new entry."""

    def start(self, **ports: Any) -> None:
        async def start() -> None:
            self.fleet = Fleet(len(ENTRIES), store=self.store, **ports)
            for entry in self.fleet.entries.values():
                self.started(entry)
            await asyncio.sleep(3.0)

        self.run(start())

    def heal_all(self) -> None:
        self.store.outage = False
        self.disturb(0.0, 0.0)
        self.heal()
        for name in ENTRIES:
            self.wake(name)

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        try:
            self.heal_all()
            self.until(self.together)
        finally:
            self.run(self.fleet.stop())
            self.loop.close()

    def together(self) -> bool:
        return self.fleet.all_alive()


class MembershipMachine(FleetMachine):
    """Every entry is seen alive by all once the faults are over."""

    @initialize()
    def begin(self) -> None:
        self.start()


class ConfigMachine(FleetMachine):
    """No entry goes back, and all come to the greatest revision that anyone had."""

    @initialize()
    def begin(self) -> None:
        self.written = 0
        self.heard: list[list[int]] = []
        self.submit()
        # In a single region two of the four watch the store, and two hear from them.
        self.start(regions=1)

    def started(self, entry: Any) -> None:
        self.heard.append(entry.revisions)

    def write(self, revision: int) -> None:
        async def write() -> None:
            current = await self.store.get(CURRENT_KEY)
            value = encode_envelope(envelope(revision))
            await self.store.put(CURRENT_KEY, value, current.revision if current else 0)

        if not self.store.outage:
            self.run(write())

    @rule()
    def submit(self) -> None:
        if not self.store.outage:
            self.written += 1
            self.write(self.written)

    @rule(back=st.integers(1, 3))
    def restore_late(self, back: int) -> None:
        self.write(max(1, self.written - back))

    @rule(outage=st.booleans())
    def store_outage(self, outage: bool) -> None:
        self.store.outage = outage

    @rule()
    def silence_watches(self) -> None:
        self.store.silence_watches()

    @rule(one=entry_names, other=entry_names, back=st.integers(0, 3))
    def offer_old(self, one: str, other: str, back: int) -> None:
        message = ConfigPush(pack(envelope(max(1, self.written - back))))
        self.run(self.fleet.entries[one].transport.send(other, message))

    @invariant()
    def nobody_goes_back(self) -> None:
        for revisions in getattr(self, "heard", []):
            assert all(one < two for one, two in pairwise(revisions))

    def together(self) -> bool:
        in_force = {entry.config.revision for entry in self.fleet.entries.values()}
        greatest = max(revision for revisions in self.heard for revision in revisions)
        alive = {max(e.revisions) for e in self.fleet.entries.values() if e.revisions}
        return len(in_force) == 1 and in_force == {max(alive)} and max(alive) <= greatest


class UpstreamMachine(FleetMachine):
    """Within an incarnation nothing leads back, and all come to the same table."""

    @initialize()
    def begin(self) -> None:
        self.listing, self.cloud = FixedList(*UPSTREAMS), NoticeCloud()
        self.noticed: set[str] = set()
        self.steps: dict[tuple[int, str, int], list[str]] = {}
        self.start(instance_list=self.listing, cloud=self.cloud)

    def started(self, entry: Any) -> None:
        self.starts += 1
        start = self.starts

        def note(upstream: Upstream) -> None:
            key = (start, upstream.upstream_id, upstream.incarnation)
            self.steps.setdefault(key, []).append(upstream.state)

        entry.table.on_change(note)

    @rule(name=upstream_names, followers=st.integers(1, 4))
    def notice(self, name: str, followers: int) -> None:
        if self.cloud.notice(name, followers):
            self.noticed.add(name)
        self.wait(0.1)

    @rule(name=upstream_names, state=st.sampled_from(["live", "leaving", "absent"]))
    def list_says(self, name: str, state: str) -> None:
        kept = [one for one in self.listing.listed if one.instance_id != name]
        self.listing.listed = kept if state == "absent" else [*kept, instance(name, state)]

    @rule(name=upstream_names, cancel=st.booleans())
    def announce_stop(self, name: str, cancel: bool) -> None:
        stop = Stop("upstream", name, "t")

        async def write() -> None:
            current = await self.store.get(stop_key(stop))
            if cancel and current:
                await self.store.delete(stop_key(stop), current.revision)
            elif not cancel and not current:
                await self.store.put(stop_key(stop), encode_stop(stop), 0)

        self.run(write())

    @invariant()
    def nothing_leads_back(self) -> None:
        order = ["serving", "leaving", "gone"]
        for states in getattr(self, "steps", {}).values():
            ranks = [order.index(state) for state in states]
            assert ranks == sorted(ranks)

    def together(self) -> bool:
        views = [
            {
                (u.upstream_id, u.incarnation, u.state)
                for u in entry.table.all()
                if u.state != "gone"
            }
            for entry in self.fleet.entries.values()
        ]
        return all(view == views[0] for view in views)


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = PROFILE
TestConfigMachine = ConfigMachine.TestCase
TestConfigMachine.settings = PROFILE
TestUpstreamMachine = UpstreamMachine.TestCase
TestUpstreamMachine.settings = PROFILE
