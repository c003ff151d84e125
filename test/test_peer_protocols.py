"""Model-based tests of the peer protocols under faults, on simulated time.

Each state machine runs a small fleet on the fake network, injects faults in an order chosen by
hypothesis and checks its invariants after every step. At the end it clears all faults and checks
that the fleet converges within the time bound.
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

# No shrinking: it takes minutes for a whole fleet, and the first failing example is short enough.
PROFILE = settings(
    max_examples=12,
    stateful_step_count=10,
    derandomize=True,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
)
ENTRIES = [f"e{i}" for i in range(4)]
UPSTREAMS = [f"u{i}" for i in range(3)]
CONVERGENCE_TIMEOUT_S = 60.0
"""Time within which a fleet must converge after all faults are cleared."""

entry_names = st.sampled_from(ENTRIES)
upstream_names = st.sampled_from(UPSTREAMS)


class FleetMachine(RuleBasedStateMachine):
    """Base of the state machines, with the faults that all of them inject."""

    fleet: Fleet

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.store = FakeKeyValueStore()
        self.entry_incarnations = 0

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(coroutine)

    def wait(self, time_s: float) -> None:
        self.run(asyncio.sleep(time_s))

    def until(self, condition: Callable[[], bool]) -> None:
        self.run(until(condition, CONVERGENCE_TIMEOUT_S, 0.5))

    @rule(time_s=st.sampled_from([0.1, 1.0, 4.0, 15.0]))
    def advance_time(self, time_s: float) -> None:
        self.wait(time_s)

    @rule(sender=entry_names, receiver=entry_names, both_ways=st.booleans())
    def cut(self, sender: str, receiver: str, both_ways: bool) -> None:
        self.fleet.network.cut(sender, receiver, both_ways)

    @rule()
    def heal(self) -> None:
        self.fleet.network.heal()

    @rule(name=entry_names)
    def pause(self, name: str) -> None:
        self.fleet.network.pause(name)

    @rule(name=entry_names)
    def wake(self, name: str) -> None:
        async def wake() -> None:
            self.fleet.network.resume(name)

        self.run(wake())

    @rule(name=entry_names)
    def restart(self, name: str) -> None:
        async def restart() -> None:
            await self.fleet.kill(name)
            await asyncio.sleep(1.0)
            self.on_entry_started(self.fleet.add(name))

        self.run(restart())

    @rule(loss=st.sampled_from([0.0, 0.2]), jitter_s=st.sampled_from([0.0, 0.3]))
    def set_frame_faults(self, loss: float, jitter_s: float) -> None:
        faults = self.fleet.network.faults
        faults.loss, faults.jitter_s, faults.duplication = loss, jitter_s, loss

    def on_entry_started(self, entry: Any) -> None:
        """Hook for subclasses: an entry was started."""

    def start(self, **ports: Any) -> None:
        async def start() -> None:
            self.fleet = Fleet(len(ENTRIES), store=self.store, **ports)
            for entry in self.fleet.entries.values():
                self.on_entry_started(entry)
            await asyncio.sleep(3.0)

        self.run(start())

    def heal_all(self) -> None:
        self.store.outage = False
        self.set_frame_faults(0.0, 0.0)
        self.heal()
        for name in ENTRIES:
            self.wake(name)

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        try:
            self.heal_all()
            self.until(self.converged)
        finally:
            self.run(self.fleet.stop())
            self.loop.close()

    def converged(self) -> bool:
        return self.fleet.all_alive()


class MembershipMachine(FleetMachine):
    """Every entry sees all others as alive after the faults are cleared."""

    @initialize()
    def begin(self) -> None:
        self.start()


class ConfigMachine(FleetMachine):
    """The revision of an entry never decreases, and all entries converge to the greatest one."""

    @initialize()
    def begin(self) -> None:
        self.written = 0
        self.revision_histories: list[list[int]] = []
        self.submit()
        # In a single region two of the four entries watch the store; two receive pushes and pulls.
        self.start(regions=1)

    def on_entry_started(self, entry: Any) -> None:
        self.revision_histories.append(entry.revisions)

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

    @rule(revisions_back=st.integers(1, 3))
    def restore_old_backup(self, revisions_back: int) -> None:
        self.write(max(1, self.written - revisions_back))

    @rule(outage=st.booleans())
    def store_outage(self, outage: bool) -> None:
        self.store.outage = outage

    @rule()
    def silence_watches(self) -> None:
        self.store.suppress_watch_events()

    @rule(sender=entry_names, receiver=entry_names, revisions_back=st.integers(0, 3))
    def push_old_revision(self, sender: str, receiver: str, revisions_back: int) -> None:
        message = ConfigPush(pack(envelope(max(1, self.written - revisions_back))))
        self.run(self.fleet.entries[sender].transport.send(receiver, message))

    @invariant()
    def revisions_only_increase(self) -> None:
        for revisions in getattr(self, "revision_histories", []):
            assert all(one < two for one, two in pairwise(revisions))

    def converged(self) -> bool:
        current_revisions = {entry.config.revision for entry in self.fleet.entries.values()}
        greatest = max(revision for revisions in self.revision_histories for revision in revisions)
        latest_revisions = {max(e.revisions) for e in self.fleet.entries.values() if e.revisions}
        return (
            len(current_revisions) == 1
            and current_revisions == {max(latest_revisions)}
            and max(latest_revisions) <= greatest
        )


class UpstreamMachine(FleetMachine):
    """Within an incarnation upstream states only advance, and all entries converge to one table."""

    @initialize()
    def begin(self) -> None:
        self.instance_list, self.cloud = FixedList(*UPSTREAMS), NoticeCloud()
        self.noticed: set[str] = set()
        self.state_histories: dict[tuple[int, str, int], list[str]] = {}
        self.start(instance_list=self.instance_list, cloud=self.cloud)

    def on_entry_started(self, entry: Any) -> None:
        self.entry_incarnations += 1
        entry_incarnation = self.entry_incarnations

        def record_state(upstream: Upstream) -> None:
            key = (entry_incarnation, upstream.upstream_id, upstream.incarnation)
            self.state_histories.setdefault(key, []).append(upstream.state)

        entry.table.on_change(record_state)

    @rule(name=upstream_names, followers=st.integers(1, 4))
    def notice(self, name: str, followers: int) -> None:
        if self.cloud.notice(name, followers):
            self.noticed.add(name)
        self.wait(0.1)

    @rule(name=upstream_names, state=st.sampled_from(["live", "leaving", "absent"]))
    def set_listed_state(self, name: str, state: str) -> None:
        others = [one for one in self.instance_list.listed if one.instance_id != name]
        self.instance_list.listed = (
            others if state == "absent" else [*others, instance(name, state)]
        )

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
    def upstream_states_only_advance(self) -> None:
        order = ["serving", "leaving", "gone"]
        for states in getattr(self, "state_histories", {}).values():
            ranks = [order.index(state) for state in states]
            assert ranks == sorted(ranks)

    def converged(self) -> bool:
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
